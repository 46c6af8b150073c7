// The list is out of reach while servers drain.
name: "list-down"
faults: [{kind: "list_down", at: "1s", lasts: "7s"},
  {kind: "drain", at: "2s", part: 0.2, size: 1}]
