"""Parts that may change without notice."""
