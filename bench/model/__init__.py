"""A discrete-event model that runs the policy functions without processes."""

from __future__ import annotations
