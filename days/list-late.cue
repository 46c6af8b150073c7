// The list comes seconds late while servers drain and die.
name: "list-late"
faults: [{kind: "list_late", at: "1s", lasts: "9s", size: 2},
  {kind: "drain", at: "2s", part: 0.2, size: 2, every: "3s"},
  {kind: "crash", at: "4s", lasts: "3s", part: 0.1}]
