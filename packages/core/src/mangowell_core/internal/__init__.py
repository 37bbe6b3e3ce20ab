"""Internal modules, which may change without notice."""
