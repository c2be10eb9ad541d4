"""Tests of the store interface and its adapter."""
