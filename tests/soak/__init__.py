"""Fault soak: faults are injected into real processes, guarantees checked."""
