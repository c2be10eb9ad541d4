"""Tests of the connections of HTTP clients."""
