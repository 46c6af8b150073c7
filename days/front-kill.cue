// Fronts are killed outright under load and started again.
name: "front-kill"
faults: [{kind: "front_kill", at: "3s", lasts: "1s", front: 0},
  {kind: "front_kill", at: "7s", lasts: "500ms", front: 1}]
