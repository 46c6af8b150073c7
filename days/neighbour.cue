// Another program takes a share of links, on and off.
name: "neighbour"
faults: [{kind: "neighbour", at: "2s", lasts: "8s", part: 0.4, size: 0.6, every: "1500ms"}]
