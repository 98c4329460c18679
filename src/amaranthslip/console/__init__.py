"""Console: the web pages and the JSON API of the operators' port."""
