// Servers drain in waves and others come under new ids.
name: "drain"
faults: [{kind: "drain", at: "2s", part: 0.2, size: 3, every: "2500ms"}]
