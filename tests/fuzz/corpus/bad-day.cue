// The bad day: at least five troubles at a time, alone and together.
name: "bad day"
seconds: "24s"
fronts: 3
servers: 12
cells: 12
faults: [
	{kind: "neighbour", at: "2s", lasts: "16s", part: 0.3, size: 0.5, every: "2s"},
	{kind: "hang", at: "4s", lasts: "5s", part: 0.15},
	{kind: "crowd", at: "5s", lasts: "6s", part: 0.2, size: 1.5},
	{kind: "list_late", at: "5s", lasts: "8s", size: 1.5},
	{kind: "crash", at: "6s", lasts: "3s", part: 0.15},
	{kind: "lost_reset", at: "6s", lasts: "6s", part: 0.25, size: 0.3},
	{kind: "drain", at: "7s", part: 0.1, size: 2, every: "4s"},
	{kind: "front_kill", at: "8s", lasts: "1s", front: 1},
	{kind: "front_stall", at: "10s", lasts: "5s", size: 1.5, every: "1s", front: 0},
	{kind: "late", at: "11s", lasts: "5s", part: 0.2, size: 0.7},
	{kind: "vanish", at: "13s", lasts: "4s", part: 0.1},
	{kind: "reports_late", at: "13s", lasts: "6s", part: 1, size: 2},
	{kind: "list_down", at: "15s", lasts: "4s"},
	{kind: "streams_cut", at: "16s", lasts: "2s", part: 0.5},
	{kind: "leavers", at: "17s", lasts: "5s", part: 0.3},
	{kind: "front_kill", at: "19s", lasts: "1s", front: 2},
]
