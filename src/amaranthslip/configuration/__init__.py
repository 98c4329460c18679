"""Configuration: the document, its parts and its versions."""
