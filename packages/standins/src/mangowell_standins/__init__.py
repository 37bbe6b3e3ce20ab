"""Stand-ins for the systems around a node, for the demo, tests and benchmarks."""
