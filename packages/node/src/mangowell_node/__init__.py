"""Node process that runs beside each backend server."""
