"""Test reads of the configuration service while a peer delivers the same key."""

import threading

from redwingspring.audit import AuditTrail
from redwingspring.hosts import HostState
from redwingspring.metrics import Metrics
from redwingspring.publication import Publication
from redwingspring.stamp import PublishedValue, make_stamp
from redwingspring.values import CONFIGURATION_KEY, ValueStore

from .base import RedwingspringTestCase


class RecordingAuditTrail(AuditTrail):
    def __init__(self):
        super().__init__()
        self.actions = []

    def record(self, action, subject, detail=""):
        self.actions.append(action)


class NetworkStub:
    def register(self, body_class, handler):
        pass


class MembershipStub:
    name = "h1"
    state = HostState.SERVING
    on_stamp = None

    def live_names(self):
        return ["h1"]

    def update(self):
        pass

    def peer_names(self):
        return []


class ReaderStub:
    """Let a peer deliver its value during the first read, then end the watch."""

    def __init__(self, values, peer_value, response, stopping):
        self.values, self.peer_value = values, peer_value
        self.response, self.stopping = response, stopping

    def read(self, key, after=0, wait=0):
        self.values.offer(self.peer_value, "pushed by h2")
        self.stopping.set()
        return self.response


def make_values(revision, *texts):
    values = [
        PublishedValue(CONFIGURATION_KEY, make_stamp(revision, text), text)
        for text in texts
    ]
    return sorted(values, key=lambda value: value.stamp)


class PublicationTest(RedwingspringTestCase):
    def read_after_peer_delivery(self, peer_value, response):
        audit, stopping = RecordingAuditTrail(), threading.Event()
        self.values = ValueStore(lambda value, source: None, audit, Metrics())
        reader = ReaderStub(self.values, peer_value, response, stopping)
        publication = Publication(
            self.values, reader, NetworkStub(), MembershipStub(), Metrics()
        )
        publication.run_watch(CONFIGURATION_KEY, stopping)
        return audit.actions

    def test_a_conflict_is_recorded_when_a_peer_delivers_the_winner_first(self):
        """The response of the service changes no value but shows the conflict."""
        loser, winner = make_values(2, "a: 1", "a: 2")
        actions = self.read_after_peer_delivery(winner, loser)
        self.assertEqual(["configuration-taken", "configuration-conflict"], actions)
        self.assertEqual(winner, self.values.get(CONFIGURATION_KEY))

    def test_the_same_value_from_a_peer_and_the_service_is_no_conflict(self):
        (value,) = make_values(2, "a: 1")
        self.assertEqual(
            ["configuration-taken"], self.read_after_peer_delivery(value, value)
        )
