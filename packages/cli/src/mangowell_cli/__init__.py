"""Command line of mangowell for operators."""
