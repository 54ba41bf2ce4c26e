"""Decoding of the platform's documents and headers, and its store client."""

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
    StorePosition,
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
    def test_an_entry_is_decoded_into_an_instance(self):
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

    def test_a_deleted_entry_removes_its_instance(self):
        self.assertEqual(InstanceRemoval("i-1"), decode("servers/i-1", None))

    def test_an_invalid_entry_raises_an_error_with_its_key(self):
        status = ENTRY["status"]
        info = ENTRY["info"]
        invalid_entries = [
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
        for value in invalid_entries:
            error = self.assertRaises(DocumentError, decode, "servers/i-1", value)
            self.assertIn("servers/i-1", str(error))

    def test_unknown_fields_are_ignored(self):
        change = decode("servers/i-1", {**ENTRY, "colour": "green"})
        self.assertEqual("i-1", change.instance.id)


class ConfigurationTest(RedwingspringTestCase):
    def test_a_configuration_is_decoded_into_a_routing_table(self):
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

    def test_a_configuration_with_an_invalid_route_is_rejected(self):
        invalid_routes = [
            describe_route("r", "/r/", 7),
            describe_route("r", "/r/", ""),
            describe_route("r", "/r/", "idempotent", service="nobody"),
            describe_route("r", "/r/", "idempotent", service=None),
            describe_route("r", "/r/", "idempotent", timeout_s=0),
            describe_route("r", "/r/", "idempotent", max_attempts=0),
        ]
        for route in invalid_routes:
            document = describe_configuration(2, [route])
            self.assertRaises(DocumentError, decode, "op/config", document)

    def test_requests_of_upload_and_unknown_types_are_never_repeated(self):
        # One route of type "upload" made every host refuse the whole configuration.
        routes = [
            describe_route("u", "/u/", "upload"),
            describe_route("x", "/x/", "perhaps"),
            describe_route("r", "/r/", "idempotent"),
        ]
        with self.assertLogs("redwingspring.platform.documents", "WARNING") as logs:
            change = decode("op/config", describe_configuration(7, routes))
        table = change.table
        idempotent = [
            table.find_route("desk.example", path).idempotent
            for path in ("/u/1", "/x/1", "/r/1")
        ]
        self.assertEqual([False, False, True], idempotent)
        self.assertEqual(1, len(logs.output))
        self.assertIn("'perhaps'", logs.output[0])

    def test_an_evacuation_lasts_while_its_key_exists(self):
        self.assertEqual(
            EvacuationChange("akl-a", True), decode("op/evacuate/akl-a", {})
        )
        self.assertEqual(
            EvacuationChange("akl-a", False), decode("op/evacuate/akl-a", None)
        )

    def test_unknown_keys_are_ignored(self):
        self.assertEqual(None, decode("my/leader", b"x"))


class HeadersTest(RedwingspringTestCase):
    def test_a_load_header_is_parsed_with_its_slowness(self):
        metadata = headers.parse_response_headers(
            {"Server-Load": "3,1,8,250", "Warmup-Ms": "900"}
        )
        load = metadata.load
        self.assertEqual(
            (3, 1, 8, 2.5), (load.running, load.waiting, load.slots, load.slowness)
        )
        self.assertEqual(0.9, metadata.cold_s)

    def test_a_malformed_load_header_is_ignored(self):
        for text in ("", "1,2", "a,b,c", "1,2,nan", "-1,0,3", "1,2,3,x"):
            self.assertEqual(
                None, headers.parse_response_headers({"Server-Load": text}).load
            )

    def test_a_missing_or_malformed_deadline_is_none(self):
        for text in (None, "", "soon", "-5", "nan", "inf"):
            environ = {"HTTP_REQUEST_ID": "r"}
            if text is not None:
                environ["HTTP_DEADLINE_MS"] = text
            self.assertEqual(None, headers.parse_request_headers(environ).time_left_s)

    def test_request_headers_carry_the_time_left_and_the_instance(self):
        self.assertEqual(
            {"Request-Id": "r", "Deadline-Ms": "750", "Target-Instance": "i"},
            headers.build_request_headers("r", 0.7504, "i"),
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
        self.assertEqual(StorePosition(0, self.stand_in.revision), snapshot.position)

    def test_a_watch_returns_changes_and_the_next_revision(self):
        after = self.stand_in.revision
        self.stand_in.put("servers/1", b"x")
        self.stand_in.delete("servers/1")
        changes, position = self.client.watch(after, 1.0)
        self.assertEqual([b"x", None], [change.value for change in changes])
        self.assertEqual(((), position), self.client.watch(position.revision, 0.05))

    def test_a_watch_asks_for_all_of_its_wait(self):
        """A watch that ends sooner confirms less than one that waited."""
        waits = []
        self.stand_in.read_watch = lambda query: (
            waits.append(query["wait_ms"]) or (200, {"events": [], "store_revision": 1})
        )
        for wait_s in (0.9, 0.283, 0.57, 0.05):
            self.client.watch(1, wait_s)
        self.assertEqual(["900", "283", "570", "50"], waits)

    def test_each_failure_of_the_store_raises_its_own_error(self):
        self.stand_in.put("servers/1", b"x")
        self.stand_in.compact_history()
        self.assertRaises(HistoryLost, self.client.watch, 1, 0.1)
        for status, error in ((429, StoreBusy), (503, StoreBusy), (500, StoreError)):
            self.stand_in.status = status
            self.assertRaises(error, self.client.read_all)

    def test_a_store_that_does_not_respond_raises_an_error(self):
        self.stand_in.hangs = True
        self.patch(store, "WATCH_MARGIN_S", 0.1)
        self.assertRaises(StoreError, self.client.watch, 1, 0.1)

    def test_each_response_of_the_store_states_its_epoch(self):
        self.stand_in.epoch = 3
        self.assertEqual(3, self.client.read_all().position.epoch)
        self.assertEqual(3, self.client.watch(1, 0.0)[1].epoch)
        self.stand_in.put("servers/1", b"x")
        self.stand_in.compact_history()
        error = self.assertRaises(HistoryLost, self.client.watch, 1, 0.1)
        self.assertEqual(3, error.epoch)
        for status in (429, 503, 500):
            self.stand_in.status = status
            error = self.assertRaises(StoreError, self.client.read_all)
            self.assertEqual(3, error.epoch)

    def test_a_malformed_epoch_is_a_failed_call_that_is_logged_once(self):
        malformed = ("", "x", "-1", "+2", "1.0", "1, 2", "0x1", str(2**63), "9" * 5000)
        for text in malformed:
            self.stand_in.epoch = text
            with self.assertLogs("redwingspring.platform.store", "WARNING") as logs:
                self.assertRaises(StoreError, self.client.read_all)
                self.assertRaises(StoreError, self.client.watch, 1, 0.0)
            self.assertEqual(1, len(logs.output), text)
        counts = self.client._metrics.snapshot()
        self.assertEqual(2 * len(malformed), counts["store.invalid_epochs"])

    def test_pages_of_different_epochs_are_not_mixed(self):
        """The first page would hold entries that the store no longer has."""
        self.stand_in.epoch = 1
        self.stand_in.page_size = 3
        for number in range(8):
            self.stand_in.put(f"servers/{number}", b"x")
        copy = self.stand_in.copy()
        read_range = self.stand_in.read_range

        def read_page(query):
            if "after" in query and self.stand_in.epoch == 1:
                self.stand_in.roll_back(copy)
            return read_range(query)

        self.stand_in.read_range = read_page
        error = self.assertRaises(HistoryLost, self.client.read_all)
        self.assertEqual(2, error.epoch)
        snapshot = self.client.read_all(epoch=2)
        self.assertEqual((2, 8), (snapshot.position.epoch, len(snapshot.changes)))

    def test_a_store_that_returns_to_an_older_epoch_is_not_read_again_at_once(self):
        self.stand_in.epoch = 1
        self.assertNotIsInstance(
            self.assertRaises(StoreError, self.client.read_all, epoch=2), HistoryLost
        )

    def test_an_unreachable_store_raises_an_error(self):
        self.stand_in.close()
        self.assertRaises(StoreError, self.client.read_all)
