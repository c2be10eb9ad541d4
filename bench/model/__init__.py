"""A discrete-event model of the fleet that runs the real policy functions."""

from __future__ import annotations
