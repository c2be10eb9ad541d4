"""Tests of the ejection of failing agents."""

from __future__ import annotations

import unittest

from jackdawkeel.policy.ejection import EjectionState
from jackdawkeel.policy.ejection import admit_probe
from jackdawkeel.policy.ejection import record_counters
from jackdawkeel.policy.ejection import remove_agent
from jackdawkeel.policy.ejection import update_ejected


Counters = dict[str, tuple[int, int]]


def build_state(counters: Counters) -> EjectionState:
    """Returns the state after one heartbeat from each agent."""
    state = EjectionState()
    for name, (completed, failed) in counters.items():
        record_counters(state, name, completed, failed)
    return state


class UpdateEjectedTest(unittest.TestCase):
    def test_ejects_failing_agents_while_the_others_are_healthy(self) -> None:
        good = (50, 0)
        cases: list[tuple[str, Counters, set[str]]] = [
            ("fails everything", {"a": (0, 12), "b": good, "c": good}, {"a"}),
            ("fails nearly everything", {"a": (1, 19), "b": good, "c": good}, {"a"}),
            ("fails half", {"a": (10, 10), "b": good, "c": good}, set()),
            ("too few tasks", {"a": (0, 9), "b": good, "c": good}, set()),
            ("all fail", {"a": (0, 30), "b": (0, 30), "c": (0, 30)}, set()),
            ("others unknown", {"a": (0, 30)}, set()),
            ("one of two", {"a": (0, 30), "b": good}, {"a"}),
            (
                "a third of six at most, the worst",
                {
                    "a": (0, 30),
                    "b": (0, 40),
                    "c": (0, 50),
                    "d": (90, 0),
                    "e": (90, 0),
                    "f": good,
                },
                {"b", "c"},
            ),
        ]
        for name, counters, expected in cases:
            with self.subTest(name):
                state = build_state(counters)
                ejected = update_ejected(state, {"s": list(counters)}, 0)
                self.assertEqual(ejected, expected)

    def test_the_only_agent_of_a_service_is_not_ejected(self) -> None:
        state = build_state({"a": (0, 30), "b": (50, 0)})
        services = {"s": ["a", "b"], "t": ["a"]}
        self.assertEqual(update_ejected(state, services, 0), set())

    def test_old_successes_do_not_outweigh_recent_failures(self) -> None:
        state = build_state({"a": (500, 0), "b": (500, 0)})
        record_counters(state, "a", 500, 20)
        self.assertEqual(update_ejected(state, {"s": ["a", "b"]}, 0), {"a"})

    def test_delayed_heartbeat_is_ignored(self) -> None:
        state = build_state({"a": (0, 30), "b": (50, 0)})
        record_counters(state, "a", 0, 5)
        record_counters(state, "a", 0, 30)
        self.assertEqual(len(state.agents["a"].recent), 1)

    def test_forgotten_agent_is_not_ejected(self) -> None:
        state = build_state({"a": (0, 30), "b": (50, 0)})
        update_ejected(state, {"s": ["a", "b"]}, 0)
        remove_agent(state, "a")
        self.assertEqual(update_ejected(state, {"s": ["b"]}, 0), set())


class ProbeTest(unittest.TestCase):
    def setUp(self) -> None:
        self.services = {"s": ["a", "b", "c"]}
        self.state = build_state({"a": (0, 30), "b": (50, 0), "c": (50, 0)})
        update_ejected(self.state, self.services, 10.0)

    def test_probes_are_admitted_once_per_interval(self) -> None:
        times = (10.5, 11.0, 11.5, 12.0)
        admitted = [
            admit_probe(self.state, "a", now, is_idempotent=True) for now in times
        ]
        self.assertEqual(admitted, [False, True, False, True])

    def test_agents_that_are_not_ejected_get_no_probe(self) -> None:
        self.assertFalse(admit_probe(self.state, "b", 20.0, is_idempotent=True))
        self.assertFalse(admit_probe(self.state, "unknown", 20.0, is_idempotent=True))

    def test_readmission_needs_successes_in_a_row(self) -> None:
        steps = [((1, 30), {"a"}), ((2, 31), {"a"}), ((4, 31), {"a"}), ((5, 31), set())]
        for (completed, failed), expected in steps:
            record_counters(self.state, "a", completed, failed)
            ejected = update_ejected(self.state, self.services, 20.0)
            self.assertEqual(ejected, expected)

    def test_readmitted_agent_that_fails_again_is_ejected_again(self) -> None:
        record_counters(self.state, "a", 3, 30)
        self.assertEqual(update_ejected(self.state, self.services, 20.0), set())
        record_counters(self.state, "a", 3, 41)
        self.assertEqual(update_ejected(self.state, self.services, 21.0), {"a"})
