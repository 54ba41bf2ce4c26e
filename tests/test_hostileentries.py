"""Entries and messages of other writers that are odd, hostile or random."""

import json
import os
import zlib

from hypothesis import HealthCheck, given, seed, settings
from hypothesis import strategies as st

from redwingspring.decisions import DecisionLog
from redwingspring.errors import DocumentError
from redwingspring.feed import FeedPage, StoreMirror
from redwingspring.feedmessages import (
    MAX_MESSAGE_BYTES,
    Confirmation,
    FeedUpdate,
    decode_update,
    encode_update,
)
from redwingspring.gossip import decode_gossip, encode_gossip
from redwingspring.instances import InstanceDirectory
from redwingspring.metrics import Metrics
from redwingspring.platform import store
from redwingspring.platform.documents import decode_change
from redwingspring.platform.headers import parse_response_headers
from redwingspring.storestate import (
    StoreChange,
    StoreError,
    StorePosition,
    StoreSnapshot,
    StoreState,
)

from .base import RedwingspringTestCase
from .standins import HostFixture, StoreStandIn, wait_until
from .test_platform import ENTRY

# A run by hand uses FUZZ_CASES=10000 and another seed.
CASES = int(os.environ.get("FUZZ_CASES", "60"))
SEED = int(os.environ.get("FUZZ_SEED", "20261205"))
DEPTH = 100_000


def fuzz(*strategies):
    """Return a decorator that runs a test on seeded random cases."""

    def decorate(test):
        configured = settings(
            max_examples=CASES,
            deadline=None,
            database=None,
            suppress_health_check=list(HealthCheck),
        )
        return seed(SEED)(configured(given(*strategies)(test)))

    return decorate


def change_entry(path, value):
    """Return the entry of a target with one field replaced."""
    entry = json.loads(json.dumps(ENTRY))
    *parents, last = path.split(".")
    part = entry
    for name in parents:
        part = part[name]
    part[last] = value
    return json.dumps(entry).encode()


def nest(depth, inner=b""):
    return b"[" * depth + inner + b"]" * depth


ODD_ENTRIES = {
    "nested": nest(DEPTH),
    "nested in a known field": b'{"address":' + nest(DEPTH) + b"}",
    "nested in an unknown field": json.dumps(ENTRY).encode()[:-1]
    + b',"extra":'
    + nest(DEPTH)
    + b"}",
    "nested objects": b'{"a":' * DEPTH + b"1" + b"}" * DEPTH,
    "port 0": change_entry("address", "10.0.0.9:0"),
    "port 65536": change_entry("address", "10.0.0.9:65536"),
    "long port": change_entry("address", "10.0.0.9:" + "9" * 5000),
    "negative port": change_entry("address", "10.0.0.9:-1"),
    "many slots": change_entry("info.max_concurrency", 10**30),
    "far start": change_entry("born", 10**40),
    "start of 5000 digits": json.dumps(ENTRY)
    .replace("1700000000000", "9" * 5000)
    .encode(),
    "negative start": change_entry("born", -1),
    "infinite warm-up": json.dumps(ENTRY).replace("1.5", "1e400").encode(),
    "long warm-up": change_entry("status.warmup_left_s", 1e300),
    "no bytes": b"",
    "not UTF-8": b"\xff\xfe",
    "null": b"null",
}


class OddEntryTest(RedwingspringTestCase):
    def test_an_odd_entry_names_no_target(self):
        for name, value in ODD_ENTRIES.items():
            change = StoreChange("servers/odd", value, 1)
            self.assertRaises(DocumentError, decode_change, change)
            self.assertTrue(name)

    def test_an_id_that_no_header_can_carry_names_no_target(self):
        value = json.dumps(ENTRY).encode()
        for instance_id in ("", "a\r\nHost: b", "å", "a b", "x" * 201):
            change = StoreChange(f"servers/{instance_id}", value, 1)
            self.assertRaises(DocumentError, decode_change, change)

    def test_a_host_follows_the_store_past_each_odd_entry(self):
        host = HostFixture(self, instances=1)
        for number, value in enumerate(ODD_ENTRIES.values()):
            host.store.put(f"servers/odd-{number}", value)
        host.store.put("servers/i-9", host.instances[0].entry())
        wait_until(lambda: host.entry.directory.list_ids() == {"i-0", "i-9"})
        metrics = host.entry.metrics.snapshot()
        self.assertEqual(len(ODD_ENTRIES), metrics["store.invalid_entries"])
        self.assertNotIn("process.thread_failures", metrics)
        self.assertEqual(200, host.ask()[0])

    def test_a_host_starts_although_the_store_has_odd_entries(self):
        host = HostFixture(self, instances=1)
        for number, value in enumerate(ODD_ENTRIES.values()):
            host.store.put(f"servers/odd-{number}", value)
        host.store.compact_history()
        host.store.put("servers/i-9", host.instances[0].entry())
        wait_until(lambda: host.entry.directory.list_ids() == {"i-0", "i-9"})
        self.assertNotIn("process.thread_failures", host.entry.metrics.snapshot())

    def test_an_unexpected_error_in_one_entry_does_not_stop_the_others(self):
        def decode(change):
            if change.key == "servers/bad":
                raise OverflowError("a bug")
            return decode_change(change)

        metrics = Metrics()
        directory = InstanceDirectory()
        state = StoreState(directory, decode, metrics, DecisionLog(metrics))
        value = json.dumps(ENTRY).encode()
        changes = [StoreChange(f"servers/{name}", value, 2) for name in ("bad", "good")]
        state.apply_changes(changes, StorePosition(0, 2))
        self.assertEqual({"good"}, directory.list_ids())
        self.assertEqual(1, metrics.snapshot()["store.invalid_entries"])


class OddItemTest(RedwingspringTestCase):
    """Items that are odd outside their value."""

    def setUp(self):
        super().setUp()
        self.stand_in = StoreStandIn()
        self.addCleanup(self.stand_in.close)
        self.metrics = Metrics()
        self.client = store.StoreClient(self.stand_in.address, self.metrics)

    def test_the_other_items_are_read(self):
        odd_items = [
            {"key": "servers/\ud800", "value": "", "revision": 2},
            {"key": "servers/a", "value": "", "revision": 2**64},
            {"key": "servers/b", "value": "", "revision": -1},
            {"key": "servers/c", "value": "", "revision": True},
            {"key": "servers/d", "value": "", "revision": "2"},
            {"key": "servers/e", "value": "", "revision": 2e19},
            {"key": "servers/f", "value": "", "revision": 1e30},
            {"key": 5, "value": "", "revision": 2},
            None,
        ]
        for number, item in enumerate(odd_items):
            self.stand_in.items[f"servers/{number}"] = item
        self.stand_in.put("servers/z", b"x")
        snapshot = self.client.read_all()
        self.assertEqual(["servers/z"], [c.key for c in snapshot.changes])
        position = StorePosition(0, 3)
        encode_update(FeedUpdate(snapshot.changes, position, True, Confirmation()))
        self.client.read_all()
        counts = self.metrics.snapshot()
        self.assertEqual(2 * len(odd_items), counts["store.invalid_items"])

    def test_an_item_that_is_not_an_object_is_not_logged(self):
        """It may be a part of the configuration, with API keys."""
        secret = "yx5x42q492cqf75rjvz4"
        items = ([{"api_keys": [secret]}], secret, {"key": {"api_keys": [secret]}})
        for number, item in enumerate(items):
            self.stand_in.items[f"servers/{number}"] = item
        with self.assertLogs("redwingspring", "WARNING") as logs:
            self.client.read_all()
        self.assertEqual(2, len(logs.output))
        self.assertNotIn(secret, str(logs.output))

    def test_a_response_that_nests_without_end_is_a_failure_of_the_store(self):
        self.stand_in.read_range = lambda query: _Raw(nest(DEPTH))
        self.assertRaises(StoreError, self.client.read_all)

    def test_a_revision_of_the_store_beyond_the_feed_is_a_failure_of_the_store(self):
        for revision in (2**64, 2e19, 1e30, -1):
            self.stand_in.revision = revision
            self.assertRaises(StoreError, self.client.read_all)


class _Raw(dict):
    """A document of the stand-in whose JSON text is given."""

    def __init__(self, text):
        super().__init__()
        self.text = text.decode()


class FeedBoundsTest(RedwingspringTestCase):
    def test_a_message_that_expands_without_end_is_rejected(self):
        data = zlib.compress(b"\0" * (MAX_MESSAGE_BYTES + 1), 1)
        self.assertRaises(StoreError, decode_update, data)

    def test_an_incomplete_message_is_rejected(self):
        data = encode_update(FeedUpdate((), StorePosition(0, 1), False, Confirmation()))
        self.assertRaises(StoreError, decode_update, data[:-1])

    def test_a_revision_of_thousands_of_digits_gets_a_snapshot(self):
        mirror = StoreMirror()
        mirror.apply_snapshot(StoreSnapshot((), StorePosition(0, 3)))
        environ = {"QUERY_STRING": "after=" + "9" * 5000}
        response = FeedPage(mirror).respond(environ)
        self.assertTrue(decode_update(response.body).whole)


json_values = st.recursive(
    st.none() | st.booleans() | st.integers() | st.floats() | st.text(max_size=20),
    lambda inner: (
        st.lists(inner, max_size=4)
        | st.dictionaries(st.text(max_size=8), inner, max_size=4)
    ),
    max_leaves=12,
)
entry_paths = st.sampled_from(
    ["address", "info", "info.service", "info.zone", "info.max_concurrency"]
    + ["status", "status.state", "status.warmup_left_s", "born", "other"]
)


class FuzzTest(RedwingspringTestCase):
    @fuzz(entry_paths, json_values)
    def test_a_random_field_of_an_entry_is_used_or_rejected(self, path, value):
        self.decode(change_entry(path, value))

    @fuzz(st.binary(max_size=200))
    def test_random_bytes_of_an_entry_are_rejected(self, value):
        self.decode(value)

    def decode(self, value):
        metrics = Metrics()
        directory = InstanceDirectory()
        state = StoreState(directory, decode_change, metrics, DecisionLog(metrics))
        state.apply_changes([StoreChange("servers/i-1", value, 1)], StorePosition(0, 1))
        for states in directory.view.services.values():
            instance = states[0].instance
            self.assertTrue(1 <= instance.slots <= 10**6)
            self.assertTrue(0 < int(instance.address.rsplit(":", 1)[1]) < 65536)

    @fuzz(st.binary(max_size=300), st.booleans())
    def test_a_random_feed_message_is_decoded_or_rejected(self, data, compressed):
        try:
            decode_update(zlib.compress(data) if compressed else data)
        except StoreError:
            pass

    @fuzz(st.binary(max_size=300))
    def test_a_random_datagram_is_decoded_or_rejected(self, data):
        message = decode_gossip(data)
        if message is not None:
            encode_gossip(message)

    @fuzz(
        st.dictionaries(
            st.sampled_from(
                ["Server-Load", "Warmup-Ms", "Retry-After", "Date", "Server-Leaving"]
            ),
            st.text(max_size=30)
            | st.integers().map(str)
            | st.floats().map(str)
            | st.lists(st.integers(), max_size=5).map(lambda n: ",".join(map(str, n))),
        )
    )
    def test_random_response_headers_are_read_or_ignored(self, fields):
        metadata = parse_response_headers(fields)
        self.assertTrue(metadata.cold_s >= 0)
        self.assertTrue(metadata.retry_after_s is None or metadata.retry_after_s > 0)
