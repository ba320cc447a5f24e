"""The configuration: the document, its sections and their distribution to nodes."""
