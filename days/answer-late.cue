// Answers come after their time-out, when the next allocation is out.
name: "answer-late"
faults: [{kind: "late", at: "2s", lasts: "7s", part: 0.3, size: 0.7}]
