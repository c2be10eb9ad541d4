"""Tests; run with ./scripts/test."""
