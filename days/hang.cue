// Servers stand still: set-ups are read and not answered, plays get nothing.
name: "hang"
faults: [{kind: "hang", at: "3s", lasts: "4s", part: 0.2}]
