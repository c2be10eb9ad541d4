"""A soak: real processes under seeded faults, judged by callers and targets."""
