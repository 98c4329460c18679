"""Console: the operators' port, its forms and its API."""
