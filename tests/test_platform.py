"""Translation between the platform and the product."""

import json

from redwingspring.errors import DocumentError
from redwingspring.metrics import Metrics
from redwingspring.platform import headers, store
from redwingspring.platform.documents import decode_change
from redwingspring.storestate import (
    EvacuationChange,
    HistoryLost,
    InstanceChange,
    InstanceRemoval,
    StoreBusy,
    StoreChange,
    StoreError,
    TableChange,
)

from .base import RedwingspringTestCase
from .standins import StoreStandIn, describe_configuration, describe_route

ENTRY = {
    "address": "10.0.0.9:8080",
    "info": {
        "service": "desk",
        "config_version": "v1",
        "zone": "akl-a",
        "max_concurrency": 3,
    },
    "status": {"state": "ready", "sequence": 4, "warmup_left_s": 1.5},
    "born": 1700000000000,
}


def decode(key, value, revision=1):
    raw = value if isinstance(value, bytes | None) else json.dumps(value).encode()
    return decode_change(StoreChange(key, raw, revision))


class InstanceEntryTest(RedwingspringTestCase):
    def test_an_entry_becomes_an_instance(self):
        change = decode("servers/i-1", ENTRY)
        self.assertIsInstance(change, InstanceChange)
        instance = change.instance
        self.assertEqual(
            ("i-1", "desk", "akl-a"),
            (instance.id, instance.service, instance.data_centre),
        )
        self.assertEqual(
            (3, 1.5, False), (instance.slots, instance.cold_s, instance.leaving)
        )

    def test_a_removed_entry_names_the_instance_that_is_gone(self):
        self.assertEqual(InstanceRemoval("i-1"), decode("servers/i-1", None))

    def test_hostile_entries_name_no_target(self):
        status = ENTRY["status"]
        info = ENTRY["info"]
        hostile = [
            b"",
            b"\xff\xfe",
            b"[]",
            b"null",
            b"{" * 100_000,
            {**ENTRY, "address": "nowhere"},
            {**ENTRY, "address": 7},
            {**ENTRY, "status": {**status, "state": "confused"}},
            {**ENTRY, "status": {**status, "warmup_left_s": -1}},
            {**ENTRY, "status": "ready"},
            {**ENTRY, "info": {**info, "max_concurrency": 0}},
            {**ENTRY, "info": {**info, "service": None}},
            {**ENTRY, "info": {"service": "desk"}},
            {**ENTRY, "born": "yesterday"},
            {key: value for key, value in ENTRY.items() if key != "info"},
        ]
        for value in hostile:
            error = self.assertRaises(DocumentError, decode, "servers/i-1", value)
            self.assertIn("servers/i-1", str(error))

    def test_unknown_fields_are_ignored(self):
        change = decode("servers/i-1", {**ENTRY, "colour": "green"})
        self.assertEqual("i-1", change.instance.id)


class ConfigurationTest(RedwingspringTestCase):
    def test_a_configuration_becomes_a_routing_table(self):
        split = [{"service": "desk", "weight": 90}, {"service": "desk", "weight": 0}]
        routes = [
            describe_route("r", "/r/", "download", service=None, traffic_split=split),
            describe_route("p", "/p/", "non_idempotent", priority=0),
        ]
        change = decode("op/config", describe_configuration(7, routes))
        self.assertIsInstance(change, TableChange)
        table = change.table
        read = table.find_route("desk.example", "/r/1")
        post = table.find_route("desk.example", "/p/1")
        self.assertEqual(
            (7, True, False), (table.version, read.idempotent, post.idempotent)
        )
        self.assertEqual(["desk"], [share.service for share in read.weighted_services])
        self.assertEqual(
            (3.0, 15.0), (table.limits.header_timeout_s, table.limits.idle_timeout_s)
        )

    def test_an_invalid_configuration_is_refused_whole(self):
        bad = [
            describe_route("r", "/r/", "perhaps"),
            describe_route("r", "/r/", "idempotent", service="nobody"),
            describe_route("r", "/r/", "idempotent", service=None),
            describe_route("r", "/r/", "idempotent", timeout_s=0),
            describe_route("r", "/r/", "idempotent", max_attempts=0),
        ]
        for route in bad:
            document = describe_configuration(2, [route])
            self.assertRaises(DocumentError, decode, "op/config", document)

    def test_an_evacuation_is_there_as_long_as_its_key(self):
        self.assertEqual(
            EvacuationChange("akl-a", True), decode("op/evacuate/akl-a", {})
        )
        self.assertEqual(
            EvacuationChange("akl-a", False), decode("op/evacuate/akl-a", None)
        )

    def test_other_keys_mean_nothing(self):
        self.assertEqual(None, decode("my/leader", b"x"))


class HeadersTest(RedwingspringTestCase):
    def test_the_load_is_read_with_its_slowness(self):
        metadata = headers.read_response(
            {"Server-Load": "3,1,8,250", "Warmup-Ms": "900"}
        )
        load = metadata.load
        self.assertEqual(
            (3, 1, 8, 2.5), (load.running, load.waiting, load.slots, load.slowness)
        )
        self.assertEqual(0.9, metadata.cold_s)

    def test_a_load_that_cannot_be_read_is_no_load(self):
        for text in ("", "1,2", "a,b,c", "1,2,nan", "-1,0,3", "1,2,3,x"):
            self.assertEqual(None, headers.read_response({"Server-Load": text}).load)

    def test_a_missing_or_broken_time_is_no_time(self):
        for text in (None, "", "soon", "-5", "nan", "inf"):
            environ = {"HTTP_REQUEST_ID": "r"}
            if text is not None:
                environ["HTTP_DEADLINE_MS"] = text
            self.assertEqual(None, headers.read_request(environ).time_left_s)

    def test_a_send_names_the_time_left_and_the_instance(self):
        self.assertEqual(
            {"Request-Id": "r", "Deadline-Ms": "750", "Target-Instance": "i"},
            headers.render_request("r", 0.7504, "i"),
        )


class StoreClientTest(RedwingspringTestCase):
    def setUp(self):
        super().setUp()
        self.stand_in = StoreStandIn()
        self.addCleanup(self.stand_in.close)
        self.client = store.StoreClient(self.stand_in.address, Metrics())

    def test_all_pages_are_read(self):
        self.stand_in.page_size = 3
        for number in range(8):
            self.stand_in.put(f"servers/{number}", b"x")
        snapshot = self.client.read_all()
        self.assertEqual(8, len(snapshot.changes))
        self.assertEqual(self.stand_in.revision, snapshot.revision)

    def test_a_watch_tells_changes_and_where_to_go_on(self):
        after = self.stand_in.revision
        self.stand_in.put("servers/1", b"x")
        self.stand_in.delete("servers/1")
        changes, revision = self.client.watch(after, 1.0)
        self.assertEqual([b"x", None], [change.value for change in changes])
        self.assertEqual(((), revision), self.client.watch(revision, 0.05))

    def test_each_trouble_of_the_store_has_an_error_of_its_own(self):
        self.stand_in.put("servers/1", b"x")
        self.stand_in.compact_history()
        self.assertRaises(HistoryLost, self.client.watch, 1, 0.1)
        for status, error in ((429, StoreBusy), (503, StoreBusy), (500, StoreError)):
            self.stand_in.status = status
            self.assertRaises(error, self.client.read_all)

    def test_a_silent_store_is_noticed(self):
        self.stand_in.hangs = True
        self.patch(store, "WATCH_MARGIN_S", 0.1)
        self.assertRaises(StoreError, self.client.watch, 1, 0.1)

    def test_a_store_that_is_gone_is_noticed(self):
        self.stand_in.close()
        self.assertRaises(StoreError, self.client.read_all)
