"""Tests of applying tickets to the configuration document."""

from __future__ import annotations

import unittest

from jackdawkeel.controllers.document import decode_document
from jackdawkeel.controllers.document import encode_document
from jackdawkeel.controllers.tickets import apply_ticket
from jackdawkeel.controllers.tickets import took_effect
from jackdawkeel.errors import ErrorKind
from jackdawkeel.ticket import MAX_TICKET_NUMBER
from jackdawkeel.ticket import AvailabilityZoneModel
from jackdawkeel.ticket import ConfigurationDocument
from jackdawkeel.ticket import ServiceModel
from jackdawkeel.ticket import TeamModel
from jackdawkeel.ticket import TicketModel


def zones(**in_service: bool) -> TicketModel:
    """Builds a ticket that puts availability zones in or out of service."""
    states = {name: AvailabilityZoneModel(state) for name, state in in_service.items()}
    return TicketModel(availability_zones=states)


def apply_all(*tickets: tuple[int, TicketModel]) -> ConfigurationDocument:
    """Applies tickets one after the other, each of which must succeed."""
    document = ConfigurationDocument()
    for number, ticket in tickets:
        document = apply_ticket(document, number, ticket).unwrap().document
    return document


class ApplyTicketTest(unittest.TestCase):
    """A ticket applies as a whole and never overwrites a later one."""

    def test_later_ticket_replaces_the_whole_state(self) -> None:
        first = TicketModel(services={"arrivals": ServiceModel(False, 500)})
        second = TicketModel(services={"arrivals": ServiceModel()})
        record = apply_all((1, first), (2, second)).services["arrivals"]
        self.assertEqual((record.ticket, record.state), (2, ServiceModel()))

    def test_other_objects_are_unchanged(self) -> None:
        teams = TicketModel(teams={"auditors": TeamModel(5.0)})
        document = apply_all((9, teams), (3, zones(west=False)))
        self.assertEqual(document.teams["auditors"].ticket, 9)
        self.assertEqual(document.availability_zones["west"].ticket, 3)

    def test_refused_tickets_change_nothing(self) -> None:
        document = apply_all((5, zones(a=False, b=True)), (9, zones(b=False)))
        document = apply_ticket(document, 7, zones(c=True)).unwrap().document
        superseded, conflict = ErrorKind.SUPERSEDED, ErrorKind.TICKET_CONFLICT
        cases = [
            ("lower number", 4, zones(a=True), superseded, "ticket 5"),
            ("one of two objects is later", 8, zones(a=True, b=True), superseded, "9"),
            ("names the object", 8, zones(b=True), superseded, "availability zone b"),
            ("repeated after a later one", 5, zones(a=False, b=True), superseded, "9"),
            ("same number, other state", 9, zones(b=True), conflict, "ticket 9"),
            ("same number, other object", 9, zones(z=True), conflict, "ticket 9"),
            ("same number, one more", 9, zones(b=False, z=True), conflict, "9"),
            ("same number, one less", 7, zones(a=True), conflict, "ticket 7"),
            ("zero", 0, zones(a=True), ErrorKind.BAD_REQUEST, "1 to"),
            ("negative", -1, zones(a=True), ErrorKind.BAD_REQUEST, "1 to"),
            ("over", MAX_TICKET_NUMBER + 1, zones(a=True), ErrorKind.BAD_REQUEST, "to"),
        ]
        before = encode_document(document)
        for name, number, ticket, kind, words in cases:
            with self.subTest(name):
                error = apply_ticket(document, number, ticket).unwrap_err()
                self.assertEqual(error.kind, kind)
                self.assertIn(words, error.message)
                self.assertEqual(encode_document(document), before)

    def test_repeated_ticket_changes_nothing(self) -> None:
        ticket = zones(a=False, b=True)
        document = apply_all((5, ticket), (9, zones(c=True)))
        applied = apply_ticket(document, 5, ticket).unwrap()
        self.assertTrue(applied.already_applied)
        self.assertEqual(applied.document, document)

    def test_encoded_document_decodes_to_the_same(self) -> None:
        ticket = TicketModel(
            services={"arrivals": ServiceModel(True, 100)},
            availability_zones={"west": AvailabilityZoneModel(False)},
            teams={"auditors": TeamModel(2.5), "clerks": TeamModel()},
        )
        document = apply_all((3, ticket))
        self.assertEqual(decode_document(encode_document(document)).unwrap(), document)

    def test_damaged_documents_are_errors(self) -> None:
        for encoded in (b"{", b"[]", b"\xff", b'{"services": 1}', b"[" * 5000):
            with self.subTest(encoded[:20]):
                error = decode_document(encoded).unwrap_err()
                self.assertEqual(error.kind, ErrorKind.INTERNAL)

    def test_ticket_is_proven_by_a_remaining_object(self) -> None:
        ticket = zones(a=False, b=True)
        document = apply_all((5, ticket), (9, zones(b=False)))
        self.assertTrue(took_effect(document, 5, ticket))
        self.assertFalse(took_effect(document, 5, zones(a=True, b=True)))
        self.assertFalse(took_effect(document, 6, ticket))
