"""Tests of writing tickets: races, lost answers and a store that is down."""

from __future__ import annotations

import unittest
from collections import deque
from concurrent.futures import ThreadPoolExecutor
from dataclasses import dataclass
from functools import partial

from jackdawkeel.controllers.document import CONFIGURATION_KEY
from jackdawkeel.controllers.document import decode_document
from jackdawkeel.controllers.document import encode_document
from jackdawkeel.controllers.ticket_submission import MAX_WRITE_ATTEMPTS
from jackdawkeel.controllers.ticket_submission import READ_BACK_DELAYS_S
from jackdawkeel.controllers.ticket_submission import submit_ticket
from jackdawkeel.controllers.tickets import apply_ticket
from jackdawkeel.errors import ErrorKind
from jackdawkeel.store.etcd import EtcdStore
from jackdawkeel.ticket import AvailabilityZoneModel
from jackdawkeel.ticket import ConfigurationDocument
from jackdawkeel.ticket import ServiceModel
from jackdawkeel.ticket import TicketModel
from tests.controllers.memory_store import Fault
from tests.controllers.memory_store import MemoryStore
from tests.standins.store import StoreStandin


ZONE_OUT = TicketModel(availability_zones={"a": AvailabilityZoneModel(False)})
ZONE_IN = TicketModel(availability_zones={"a": AvailabilityZoneModel(True)})
TWO_OUT = TicketModel(
    availability_zones={
        "a": AvailabilityZoneModel(False),
        "b": AvailabilityZoneModel(False),
    }
)
NO_READ = [Fault.DOWN] * len(READ_BACK_DELAYS_S)


def read_document(store: MemoryStore) -> ConfigurationDocument:
    """Returns the stored document."""
    item = store.items.get(CONFIGURATION_KEY)
    return decode_document(item.value if item else b"").unwrap()


def write_rival(store: MemoryStore, number: int, ticket: TicketModel) -> None:
    """Writes a ticket as another operator through another entry."""
    item = store.items.get(CONFIGURATION_KEY)
    document = apply_ticket(read_document(store), number, ticket).unwrap().document
    revision = item.mod_revision if item else 0
    store.swap(CONFIGURATION_KEY, revision, encode_document(document))


def ignore_delay(delay_s: float) -> None:
    """Stands in for the sleep between two reads."""


@dataclass(frozen=True)
class FaultCase:
    """Faults of one submission of ticket 5, and the expected error."""

    name: str
    swaps: list[Fault]
    gets: list[Fault]
    expected_kind: ErrorKind | None
    in_force: bool


OK = Fault.NONE
LOST = Fault.ANSWER_LOST
DOWN = Fault.DOWN
CASES = [
    FaultCase("no fault", [], [], None, True),
    FaultCase("down before the read", [], [DOWN], ErrorKind.STORE_UNAVAILABLE, False),
    FaultCase("down before the write", [DOWN], [], ErrorKind.STORE_UNAVAILABLE, False),
    FaultCase("answer lost", [LOST], [], None, True),
    FaultCase("request lost", [Fault.REQUEST_LOST], [], None, True),
    FaultCase("applied late", [Fault.APPLIED_AFTER_READ], [], None, True),
    FaultCase("one read back fails", [LOST], [OK, DOWN], None, True),
    FaultCase(
        "answer lost, then down", [LOST], [OK, *NO_READ], ErrorKind.TICKET_UNKNOWN, True
    ),
    FaultCase(
        "request lost, then down",
        [Fault.REQUEST_LOST],
        [OK, *NO_READ],
        ErrorKind.TICKET_UNKNOWN,
        False,
    ),
    FaultCase(
        "request lost, then refused",
        [Fault.REQUEST_LOST, DOWN],
        [],
        ErrorKind.TICKET_UNKNOWN,
        False,
    ),
    FaultCase(
        "all requests lost",
        [Fault.REQUEST_LOST] * MAX_WRITE_ATTEMPTS,
        [],
        ErrorKind.TICKET_UNKNOWN,
        False,
    ),
]


class SubmitTicketTest(unittest.TestCase):
    """The answer to the operator agrees with the stored configuration."""

    def test_fault_table(self) -> None:
        for case in CASES:
            with self.subTest(case.name):
                store = MemoryStore()
                write_rival(store, 2, ZONE_IN)
                store.swap_faults = deque(case.swaps)
                store.get_faults = deque(case.gets)
                answer = submit_ticket(store, 5, ZONE_OUT, ignore_delay)
                zone = read_document(store).availability_zones["a"]
                self.assertEqual(zone.ticket, 5 if case.in_force else 2)
                if case.expected_kind:
                    self.assertEqual(answer.unwrap_err().kind, case.expected_kind)
                    continue
                item = store.items[CONFIGURATION_KEY]
                self.assertEqual(answer.unwrap().revision, item.mod_revision)
                self.assertEqual(answer.unwrap().encoded, item.value)

    def test_the_first_ticket_creates_the_document(self) -> None:
        store = MemoryStore()
        submit_ticket(store, 1, ZONE_OUT).unwrap()
        self.assertFalse(read_document(store).availability_zones["a"].state.in_service)

    def test_the_same_ticket_again_writes_nothing(self) -> None:
        store = MemoryStore()
        first = submit_ticket(store, 1, ZONE_OUT).unwrap()
        self.assertEqual(submit_ticket(store, 1, ZONE_OUT).unwrap(), first)
        self.assertEqual(store.revision, first.revision)

    def test_race_table(self) -> None:
        service = TicketModel(services={"s": ServiceModel()})
        cases = [
            ("other object", 9, service, None),
            ("same object, earlier number", 3, ZONE_IN, None),
            ("same object, later number", 9, ZONE_IN, ErrorKind.SUPERSEDED),
            ("same number, other content", 5, ZONE_IN, ErrorKind.TICKET_CONFLICT),
            ("the same ticket", 5, ZONE_OUT, None),
        ]
        for name, number, rival, expected_kind in cases:
            with self.subTest(name):
                store = MemoryStore()
                store.before_swap.append(partial(write_rival, store, number, rival))
                answer = submit_ticket(store, 5, ZONE_OUT)
                self.assertEqual(
                    answer.err() and answer.unwrap_err().kind, expected_kind
                )
                zones = read_document(store).availability_zones
                expected = 5 if expected_kind is None else number
                self.assertEqual(zones["a"].ticket, expected)

    def test_race_that_never_ends_is_bounded(self) -> None:
        store = MemoryStore()
        for number in range(1, MAX_WRITE_ATTEMPTS + 1):
            ticket = TicketModel(services={f"s{number}": ServiceModel()})
            store.before_swap.append(partial(write_rival, store, number, ticket))
        error = submit_ticket(store, 500, ZONE_OUT).unwrap_err()
        self.assertEqual(error.kind, ErrorKind.STORE_UNAVAILABLE)
        self.assertNotIn("a", read_document(store).availability_zones)

    def test_lost_answer_then_a_later_ticket(self) -> None:
        cases = [
            ("on all objects", LOST, ZONE_OUT, ErrorKind.TICKET_UNKNOWN),
            ("on one of two objects", LOST, TWO_OUT, None),
            ("write lost", Fault.REQUEST_LOST, TWO_OUT, ErrorKind.TICKET_UNKNOWN),
        ]
        for name, fault, ticket, expected_kind in cases:
            with self.subTest(name):
                store = MemoryStore(swap_faults=deque([fault]))

                def write_later(delay_s: float, store: MemoryStore = store) -> None:
                    write_rival(store, 9, ZONE_IN)

                answer = submit_ticket(store, 5, ticket, write_later)
                self.assertEqual(
                    answer.err() and answer.unwrap_err().kind, expected_kind
                )

    def test_document_has_a_largest_size(self) -> None:
        store = MemoryStore()
        names = [f"{number:0100}" for number in range(9000)]
        large = TicketModel(services={name: ServiceModel() for name in names})
        error = submit_ticket(store, 1, large).unwrap_err()
        self.assertEqual(error.kind, ErrorKind.BODY_TOO_LARGE)
        self.assertEqual(store.items, {})

    def test_a_damaged_document_is_not_overwritten(self) -> None:
        store = MemoryStore()
        store.swap(CONFIGURATION_KEY, 0, b"damaged")
        error = submit_ticket(store, 1, ZONE_OUT).unwrap_err()
        self.assertEqual(error.kind, ErrorKind.INTERNAL)
        self.assertEqual(store.items[CONFIGURATION_KEY].value, b"damaged")


class SubmitThroughGatewayTest(unittest.TestCase):
    """The same through the adapter and the stand-in."""

    def setUp(self) -> None:
        self.standin = self.enterContext(StoreStandin())
        self.store = self.enterContext(EtcdStore(self.standin.url))

    def test_racing_operators_lose_nothing(self) -> None:
        numbers = range(1, 17)
        pool = self.enterContext(ThreadPoolExecutor(8))
        self.standin.control({"lose_answers": 5})

        def submit(number: int) -> bool:
            ticket = TicketModel(services={f"s{number}": ServiceModel()})
            return submit_ticket(self.store, number, ticket).is_ok()

        self.assertTrue(all(pool.map(submit, numbers)))
        item = self.store.get(CONFIGURATION_KEY).unwrap().item
        assert item is not None
        document = decode_document(item.value).unwrap()
        expected = {f"s{number}": number for number in numbers}
        found = {name: record.ticket for name, record in document.services.items()}
        self.assertEqual(found, expected)
        self.assertEqual(len(self.standin.record()["writes"]), len(numbers))
