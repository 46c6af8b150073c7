// A front stands still for 2 s, again and again, then finds everything at once.
name: "front-stall"
faults: [{kind: "front_stall", at: "2s", lasts: "8s", size: 2, every: "1500ms", front: 0},
  {kind: "drain", at: "3s", part: 0.1, size: 1}]
