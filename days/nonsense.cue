// Servers answer set-ups with something else.
name: "nonsense"
faults: [{kind: "nonsense", at: "2s", lasts: "5s", part: 0.2}]
