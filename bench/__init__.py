"""Benchmarks of mangowell, run by ``make bench``."""
