"""Tests of the HTTP client that calls targets."""
