"""Node on a platform that provides its settings and lists its workers."""
