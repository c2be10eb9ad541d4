"""Tests of claims of callers' own keys."""

from __future__ import annotations

import unittest
from collections import deque

from jackdawkeel.controllers.job_keys import GRANT_RETRY_DELAY_S
from jackdawkeel.controllers.job_keys import KEY_WINDOW_S
from jackdawkeel.controllers.job_keys import LEASE_SHARING_S
from jackdawkeel.controllers.job_keys import MAX_CLAIM_ATTEMPTS
from jackdawkeel.controllers.job_keys import SharedLease
from jackdawkeel.controllers.job_keys import claim_key
from jackdawkeel.controllers.job_keys import encode_job_key
from jackdawkeel.errors import ErrorKind
from jackdawkeel.store.etcd import EtcdStore
from tests.controllers.memory_store import Fault
from tests.controllers.memory_store import MemoryStore
from tests.standins.store import StoreStandin


class ClaimKeyTest(unittest.TestCase):
    """A key stands for one id, whatever happens to the calls."""

    def setUp(self) -> None:
        self.now = 0.0
        self.store = MemoryStore()
        self.lease = SharedLease(clock=lambda: self.now)

    def claim(self, job_id: str, key: str = "key", scope: str = "team") -> str:
        return claim_key(self.store, self.lease, scope, key, job_id).unwrap()

    def test_an_earlier_claim_stands(self) -> None:
        self.assertEqual(self.claim("first"), "first")
        self.assertEqual(self.claim("second"), "first")

    def test_scopes_and_keys_do_not_mix(self) -> None:
        pairs = [("a", "bc"), ("ab", "c"), ("", "abc"), ("abc", ""), ("a", "b")]
        self.assertEqual(len({encode_job_key(*pair) for pair in pairs}), len(pairs))

    def test_fault_table(self) -> None:
        down = Fault.DOWN
        lost = Fault.ANSWER_LOST
        unsent = Fault.REQUEST_LOST
        late = Fault.APPLIED_AFTER_READ
        lease_lost = Fault.LEASE_GONE
        cases: list[tuple[str, list[Fault], list[Fault], bool, bool]] = [
            ("answer lost", [lost], [], True, True),
            ("request lost", [unsent], [], True, True),
            ("applied after the read back", [late], [], True, True),
            ("lease lapsed", [lease_lost], [], True, True),
            ("down", [down], [], False, False),
            ("answer lost, then down", [lost], [down], False, True),
            ("request lost, then down", [unsent, down], [], False, False),
            ("all lost", [unsent] * MAX_CLAIM_ATTEMPTS, [], False, False),
        ]
        for name, swaps, gets, accepted, claimed in cases:
            with self.subTest(name):
                self.store = MemoryStore(
                    swap_faults=deque(swaps), get_faults=deque(gets)
                )
                lease = SharedLease(clock=lambda: self.now)
                answer = claim_key(self.store, lease, "team", "key", "first")
                if accepted:
                    self.assertEqual(answer.unwrap(), "first")
                else:
                    kind = answer.unwrap_err().kind
                    self.assertEqual(kind, ErrorKind.STORE_UNAVAILABLE)
                self.assertEqual(bool(self.store.items), claimed)

    def test_lost_answer_after_another_claim(self) -> None:
        self.claim("first")
        self.store.swap_faults.append(Fault.ANSWER_LOST)
        self.assertEqual(self.claim("second"), "first")

    def test_no_lease_no_claim(self) -> None:
        self.store.grant_faults.append(Fault.DOWN)
        answer = claim_key(self.store, self.lease, "team", "key", "first")
        self.assertEqual(answer.unwrap_err().kind, ErrorKind.STORE_UNAVAILABLE)
        self.assertEqual(self.store.items, {})

    def test_claims_do_not_queue_up_for_a_grant(self) -> None:
        self.store.grant_faults.extend([Fault.DOWN, Fault.DOWN])
        for _ in range(5):
            claim_key(self.store, self.lease, "team", "key", "first").unwrap_err()
        self.assertEqual(len(self.store.grant_faults), 1)
        self.now += GRANT_RETRY_DELAY_S
        claim_key(self.store, self.lease, "team", "key", "first").unwrap_err()
        self.now += GRANT_RETRY_DELAY_S
        self.assertEqual(self.claim("second"), "second")

    def test_keys_share_a_lease_for_some_minutes(self) -> None:
        self.claim("1", key="a")
        self.now = LEASE_SHARING_S - 1.0
        self.claim("2", key="b")
        self.now = LEASE_SHARING_S
        self.claim("3", key="c")
        self.assertEqual(self.store.lease_ids, [1, 1, 2])
        self.assertEqual(self.store.leases, [KEY_WINDOW_S + LEASE_SHARING_S] * 2)


class ClaimThroughGatewayTest(unittest.TestCase):
    """The same through the adapter and the stand-in."""

    def test_lapsed_lease_and_lost_answer(self) -> None:
        standin = self.enterContext(StoreStandin())
        store = self.enterContext(EtcdStore(standin.url))
        lease = SharedLease()
        claim_key(store, lease, "team", "a", "1").unwrap()
        with standin.data.changed:
            standin.data.leases.clear()
        standin.control({"lose_answers": 1})
        self.assertEqual(claim_key(store, lease, "team", "b", "2").unwrap(), "2")
        self.assertEqual(claim_key(store, lease, "team", "b", "3").unwrap(), "2")
