a: *1 | (int & >=0)
#D: {b?: string, c!: [...#D], ...}
d: #D & {c: [{c: []}]}
m: [string]: {x: =~"^a"}
