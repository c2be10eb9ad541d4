"""Tests of the calls to targets."""
