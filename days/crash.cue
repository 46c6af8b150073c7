// Processes die with resets and come back cold under the same address.
name: "crash"
faults: [{kind: "crash", at: "3s", lasts: "2s", part: 0.3}]
