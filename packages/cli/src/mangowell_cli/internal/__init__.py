"""Internal modules; they may change without notice."""
