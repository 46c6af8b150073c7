// A crowd comes for a few titles that few servers hold.
name: "crowd"
faults: [{kind: "crowd", at: "3s", lasts: "5s", part: 0.2, size: 2}]
