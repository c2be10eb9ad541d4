"""Tests of jackdawkeel; ``./scripts/test`` runs them."""
