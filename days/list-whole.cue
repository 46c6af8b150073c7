// The list is replaced whole in the middle of a burst, again and again.
name: "list-whole"
faults: [{kind: "crowd", at: "3s", lasts: "4s", part: 0.3, size: 1.5},
  {kind: "list_whole", at: "3500ms"}, {kind: "list_whole", at: "4s"}, {kind: "list_whole", at: "4500ms"},
  {kind: "drain", at: "4s", part: 0.2, size: 1}]
