"""The operators' console and the store of the document."""
