"""Talk to operators: the console, the document and its validation."""
