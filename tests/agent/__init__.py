"""Tests of the package ``agent``."""
