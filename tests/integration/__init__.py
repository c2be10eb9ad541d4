"""Tests of the guarantees under failure, with real processes checked from outside."""

from __future__ import annotations
