"""Common test case of the contract tests of the etcd adapter."""

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
    """Starts a stand-in and connects an adapter for each test.

    Attributes:
        options: Keyword arguments of the adapter's constructor.
    """

    options: ClassVar[dict[str, float]] = {}

    def setUp(self) -> None:
        self.standin = self.enterContext(StoreStandin())
        self.store = self.open_store(**self.options)

    def open_store(self, **options: float) -> EtcdStore:
        """Connects an adapter that is closed after the test."""
        return self.enterContext(EtcdStore(self.standin.url, **options))

    def read_item(self, key: bytes = KEY) -> KeyValue | None:
        """Returns a key with its value and revision, or None if it does not exist."""
        return self.store.get(key).unwrap().item
