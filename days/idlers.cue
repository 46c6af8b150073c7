// 10,000 connections that send nothing, and requests that come a byte at a time.
name: "idlers"
faults: [
	{kind: "silent_players", at: "2s", lasts: "7s", size: 7000},
	{kind: "slow_players", at: "3s", lasts: "6s", size: 100},
	{kind: "silent_players", at: "4s", lasts: "5s", size: 3000, front: 1},
]
