"""Stand-ins and processes that the scripts of this review share."""
