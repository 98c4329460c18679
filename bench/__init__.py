"""Load generation, measurement and reports for router fleets."""
