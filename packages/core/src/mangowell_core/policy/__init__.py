"""Decisions on the path of a request."""
