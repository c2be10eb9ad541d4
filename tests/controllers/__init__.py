"""Tests of the package ``controllers``."""
