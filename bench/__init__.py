"""Benchmarks and capacity models; the test suite does not depend on their figures."""
