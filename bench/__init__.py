"""Measurements of mangowell, run by ``make bench``."""
