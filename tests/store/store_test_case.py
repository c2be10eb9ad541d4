"""What the contract tests of the store adapter share."""

from __future__ import annotations

import unittest
from typing import TYPE_CHECKING
from typing import ClassVar

from jackdawkeel.store.etcd import EtcdStore
from tests.standins.store import StoreStandin


if TYPE_CHECKING:
    from jackdawkeel.store.interface import KeyValue


KEY = b"/test/key"
WAIT_S = 10.0


class StoreTestCase(unittest.TestCase):
    """A stand-in and an adapter for each test.

    Attributes:
        options: Keyword arguments of the adapter.
    """

    options: ClassVar[dict[str, float]] = {}

    def setUp(self) -> None:
        self.standin = self.enterContext(StoreStandin())
        self.store = self.open_store(**self.options)

    def open_store(self, **options: float) -> EtcdStore:
        """Returns an adapter that is closed after the test."""
        return self.enterContext(EtcdStore(self.standin.url, **options))

    def read_item(self, key: bytes = KEY) -> KeyValue | None:
        """Returns what a key holds."""
        return self.store.get(key).unwrap().item
