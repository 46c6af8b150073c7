// Answers to set-ups are lost by silence and by reset; the plays have started.
name: "answer-lost"
faults: [{kind: "lost_silent", at: "2s", lasts: "7s", part: 0.3, size: 0.3},
  {kind: "lost_reset", at: "3s", lasts: "7s", part: 0.3, size: 0.3}]
