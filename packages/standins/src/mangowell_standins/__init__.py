"""Stand-ins for the platform, for demo, tests and measurement."""
