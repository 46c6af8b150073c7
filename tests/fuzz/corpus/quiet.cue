// Nothing goes wrong.
name: "quiet"
