"""Soak tests: real processes under seeded faults, checked from outside."""
