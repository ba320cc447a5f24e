"""The configuration: the document, its sections, and how nodes come by them."""
