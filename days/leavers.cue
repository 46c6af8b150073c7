// Many players leave between allocation and answer.
name: "leavers"
faults: [{kind: "leavers", at: "2s", lasts: "8s", part: 0.5}]
