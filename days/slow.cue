// Links give several times less.
name: "slow"
faults: [{kind: "slow", at: "3s", lasts: "5s", part: 0.25, size: 4}]
