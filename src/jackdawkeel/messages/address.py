"""The address of a process, which most messages carry."""

from __future__ import annotations

import msgspec


class PeerAddress(msgspec.Struct, frozen=True, array_like=True):
    """Names one process: its incarnation, and where its link listens."""

    incarnation: str
    link: str
