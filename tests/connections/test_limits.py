"""Tests of the limits that follow from the machine, and of the counts of refusals."""

from __future__ import annotations

import json
import unittest

from jackdawkeel.connections.limits import FILE_DESCRIPTORS
from jackdawkeel.connections.limits import MAX_INTERNAL_CONNECTIONS
from jackdawkeel.connections.limits import MIB
from jackdawkeel.connections.limits import MachineLimits
from jackdawkeel.connections.limits import limit_callers
from jackdawkeel.connections.limits import limit_links
from jackdawkeel.connections.refusals import RefusalCause
from jackdawkeel.connections.refusals import RefusalCounts
from jackdawkeel.connections.refusals import RefusalLog
from jackdawkeel.logs import EventLog
from jackdawkeel.policy.caller_limits import limit_waiting_callers


class LimitsTest(unittest.TestCase):
    def test_limits_fit_into_the_machine(self) -> None:
        for memory_mb, descriptors in ((100, 500), (300, 4100), (1024, 4096)):
            with self.subTest(memory_mb=memory_mb, descriptors=descriptors):
                machine = MachineLimits(memory_mb * MIB, descriptors)
                callers = limit_callers(machine, 16 * MIB)
                links = limit_links(machine)
                connections = (
                    FILE_DESCRIPTORS
                    + callers.max_connections
                    + links.max_connections
                    + 2 * MAX_INTERNAL_CONNECTIONS
                )
                self.assertLess(connections, descriptors + MAX_INTERNAL_CONNECTIONS)
                held = callers.memory_bytes + links.memory_bytes
                self.assertLessEqual(held, machine.memory_bytes // 4)
                self.assertLess(callers.max_body_bytes, callers.memory_bytes)

    def test_waiting_callers_leave_half_of_the_connections(self) -> None:
        self.assertEqual(60, limit_waiting_callers(160, 120))
        self.assertEqual(160, limit_waiting_callers(160, 1000))


class RefusalLogTest(unittest.TestCase):
    def test_refusals_since_the_last_report_are_one_event(self) -> None:
        lines: list[bytes] = []
        counts = RefusalCounts()
        log = RefusalLog(counts, EventLog("entry", "i", "zone", lines.append))
        log.report()
        for _ in range(3):
            counts.count(RefusalCause.MEMORY)
        counts.count(RefusalCause.MALFORMED)
        log.report()
        log.report()
        counts.count(RefusalCause.MEMORY)
        log.report()
        causes = [json.loads(line)["causes"] for line in b"".join(lines).splitlines()]
        self.assertEqual([{"memory": 3, "malformed": 1}, {"memory": 1}], causes)
        self.assertEqual({"memory": 4, "malformed": 1}, counts.read())
