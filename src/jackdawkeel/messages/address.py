"""The address of a process."""

from __future__ import annotations

import msgspec


class PeerAddress(msgspec.Struct, frozen=True, array_like=True):
    """The address of one process.

    Attributes:
        incarnation: Unique id of the process, new with each start.
        link: Link address that it listens on, ``tcp://IP:PORT``.
    """

    incarnation: str
    link: str
