"""Checks that the pages name all that callers and operators meet."""

from __future__ import annotations

import re
import unittest
from pathlib import Path

import msgspec

from jackdawkeel.console.commands import job
from jackdawkeel.errors import ERROR_TABLE
from jackdawkeel.events import EventName
from jackdawkeel.metrics import DESCRIPTIONS
from jackdawkeel.settings import AGENT_OPTIONS
from jackdawkeel.settings import CLIENT_OPTIONS
from jackdawkeel.settings import ENTRY_OPTIONS
from jackdawkeel.ticket import AvailabilityZoneModel
from jackdawkeel.ticket import ServiceModel
from jackdawkeel.ticket import TeamModel


DOCS = Path(__file__).parent.parent / "docs"
OPTIONS = {*ENTRY_OPTIONS, *AGENT_OPTIONS, *CLIENT_OPTIONS, *job.COMMAND.options}
TICKET_MODELS = (ServiceModel, AvailabilityZoneModel, TeamModel)
FINAL_WORDS = {True: "yes", False: "no"}


def read_rows(page: str) -> list[list[str]]:
    """Returns the cells of all table rows of a page, without code marks."""
    lines = (DOCS / page).read_text().splitlines()
    rows = [line.strip("|") for line in lines if line.startswith("|")]
    return [[cell.strip().replace("`", "") for cell in row.split(" |")] for row in rows]


class DocsTest(unittest.TestCase):
    def test_every_error_kind_stands_with_its_row(self) -> None:
        rows = {tuple(cells[:5]) for cells in read_rows("CALLERS.md")}
        for kind, row in ERROR_TABLE.items():
            with self.subTest(kind.value):
                retry = "" if row.retry_after_ms is None else str(row.retry_after_ms)
                final = FINAL_WORDS[row.final]
                expected = (kind, row.outcome, str(row.status), final, retry)
                self.assertIn(expected, rows)

    def test_operators_find_every_name(self) -> None:
        first = [row[0] for row in read_rows("OPERATIONS.md")]
        settings = {tuple(row[:2]) for row in read_rows("OPERATIONS.md")}
        named = {name for cell in first for name in re.split(", ", cell)}
        fields = {name for model in TICKET_MODELS for name in field_names(model)}
        expected = {
            "events": {event.value for event in EventName} - named,
            "metrics": {name.value for name in DESCRIPTIONS} - named,
            "flags": {(option.flag, option.variable) for option in OPTIONS} - settings,
            "ticket fields": fields - {name for _, name in settings},
        }
        for kind, missing in expected.items():
            with self.subTest(kind):
                self.assertEqual(missing, set())


def field_names(model: type[msgspec.Struct]) -> list[str]:
    """Returns the names of a model's fields."""
    return [field.name for field in msgspec.structs.fields(model)]
