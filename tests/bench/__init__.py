"""Tests of the measuring tools."""

from __future__ import annotations
