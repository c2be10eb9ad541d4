"""Tests of the package ``link``."""
