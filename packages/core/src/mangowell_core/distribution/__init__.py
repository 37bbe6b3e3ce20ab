"""Distribution of the document and the instance list between nodes."""
