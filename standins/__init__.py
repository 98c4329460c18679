"""Simulated systems around amaranthslip; not shipped with the product."""
