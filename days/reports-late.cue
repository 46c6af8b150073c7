// Delivery reports come seconds later than usual.
name: "reports-late"
faults: [{kind: "reports_late", at: "2s", lasts: "8s", part: 1, size: 3}]
