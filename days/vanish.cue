// Servers go silent, with neither answer nor reset, and come back cold.
name: "vanish"
faults: [{kind: "vanish", at: "3s", lasts: "4s", part: 0.2}]
