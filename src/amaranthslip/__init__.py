"""amaranthslip: a router fleet that shares model capacity fairly."""
