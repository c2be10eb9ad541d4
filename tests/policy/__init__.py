"""Tests of the policy functions."""

from __future__ import annotations
