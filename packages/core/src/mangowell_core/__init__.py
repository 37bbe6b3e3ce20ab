"""Decisions of the mangowell configuration distribution system, free of I/O."""
