// Report streams break and come back; ends are missed meanwhile.
name: "streams"
faults: [{kind: "streams_cut", at: "3s", lasts: "2s", part: 1},
  {kind: "streams_cut", at: "7s", lasts: "1s", part: 0.5}]
