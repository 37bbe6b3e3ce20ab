"""A node on a platform that hands out its settings and lists its workers."""
