"""Operators' command of mangowell."""
