// Connections that send nothing, and requests that come a byte at a time.
name: "idlers"
faults: [{kind: "silent_players", at: "2s", lasts: "6s", size: 1500},
  {kind: "slow_players", at: "3s", lasts: "6s", size: 100}, {kind: "silent_players", at: "4s", lasts: "5s", size: 1500, front: 1}]
