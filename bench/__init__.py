"""Measurements; never part of the test verdict."""
