"""Tests of how hosts read store changes from the store and from each other."""

import re
import tempfile
import threading
import zlib
from dataclasses import replace
from pathlib import Path

import capnp

from redwingspring import feed, feedmessages
from redwingspring.confirmations import LastConfirmation
from redwingspring.feed import MAX_CONFIRMED_AGE_S, FeedClient, FeedPage, StoreMirror
from redwingspring.feedmessages import (
    FROM_STORE,
    Confirmation,
    FeedUpdate,
    decode_update,
    encode_update,
)
from redwingspring.follower import StoreFollower
from redwingspring.members import MemberReport, Members
from redwingspring.metrics import Metrics
from redwingspring.sources import (
    MIN_WATCH_WAIT_S,
    READERS_REFRESH_S,
    SourceSelector,
    StoreSource,
)
from redwingspring.storestate import (
    HistoryLost,
    StoreChange,
    StoreError,
    StorePosition,
    StoreSnapshot,
)

from .base import RedwingspringTestCase
from .standins import (
    HostFixture,
    StoreStandIn,
    describe_configuration,
    find_port,
    wait_until,
)
from .test_gossip import build_member


class Clock:
    def __init__(self):
        self.now = 100.0

    def __call__(self):
        return self.now


class MirrorTest(RedwingspringTestCase):
    def setUp(self):
        super().setUp()
        self.clock = Clock()
        self.mirror = StoreMirror(self.clock)

    def fill(self):
        entries = (StoreChange("a", b"1", 3), StoreChange("b", b"2", 5))
        self.mirror.apply_snapshot(StoreSnapshot(entries, StorePosition(0, 5)))

    def test_a_mirror_without_data_from_the_store_serves_no_feed(self):
        self.assertEqual(None, self.mirror.read(None, 0))

    def test_changes_follow_the_snapshot(self):
        self.fill()
        self.mirror.apply_changes([StoreChange("a", None, 6)], StorePosition(0, 7))
        update = self.mirror.read(StorePosition(0, 5), 0)
        self.assertEqual(
            ([None], StorePosition(0, 7)),
            ([change.value for change in update.changes], update.position),
        )
        whole = self.mirror.read(None, 0)
        self.assertEqual(["b"], [change.key for change in whole.changes])

    def test_a_mirror_that_lost_the_store_stops_serving_the_feed(self):
        self.fill()
        self.clock.now += MAX_CONFIRMED_AGE_S + 0.1
        self.assertEqual(None, self.mirror.read(StorePosition(0, 5), 0))

    def test_two_mirrors_do_not_renew_each_others_confirmation(self):
        other = StoreMirror(self.clock)
        self.fill()
        for _ in range(20):
            self.clock.now += 0.1
            for source, target in ((self.mirror, other), (other, self.mirror)):
                update = source.read(None, 0)
                if update is not None:
                    snapshot = StoreSnapshot(update.changes, update.position)
                    target.apply_snapshot(snapshot, update.confirmation)
        self.assertEqual(None, self.mirror.read(None, 0))
        self.assertEqual(None, other.read(None, 0))

    def test_a_snapshot_is_served_when_the_history_is_too_short(self):
        self.patch(feed, "MAX_HISTORY", 3)
        self.fill()
        for number in range(6, 12):
            self.mirror.apply_changes(
                [StoreChange("c", b"x", number)], StorePosition(0, number)
            )
        self.assertTrue(self.mirror.read(StorePosition(0, 6), 0).whole)
        self.assertFalse(self.mirror.read(StorePosition(0, 9), 0).whole)

    def test_a_host_that_is_an_epoch_behind_learns_it_during_its_wait(self):
        """It would wait for revisions that the new epoch may never reach."""
        mirror = StoreMirror()
        mirror.apply_snapshot(StoreSnapshot((), StorePosition(1, 180)))
        errors = []

        def poll():
            after = StorePosition(1, 180)
            errors.append(self.assertRaises(HistoryLost, mirror.read, after, 5, 1))

        thread = threading.Thread(target=poll)
        thread.start()
        mirror.apply_snapshot(StoreSnapshot((), StorePosition(2, 23)))
        thread.join(5)
        self.assertEqual([2], [error.epoch for error in errors])

    def test_a_mirror_of_an_older_epoch_than_is_wanted_serves_nothing(self):
        self.mirror.apply_snapshot(StoreSnapshot((), StorePosition(1, 180)))
        self.assertEqual(None, self.mirror.read(StorePosition(2, 23), 0, 2))
        self.assertEqual(None, self.mirror.read(None, 0, 2))

    def test_data_of_an_older_epoch_neither_replaces_nor_confirms(self):
        entries = (StoreChange("a", b"1", 22),)
        self.mirror.apply_snapshot(StoreSnapshot(entries, StorePosition(2, 23)))
        self.clock.now += MAX_CONFIRMED_AGE_S + 0.1
        self.mirror.apply_snapshot(StoreSnapshot((), StorePosition(1, 180)))
        self.mirror.apply_changes([StoreChange("a", None, 181)], StorePosition(1, 181))
        self.assertEqual(None, self.mirror.read(None, 0))
        self.mirror.apply_changes((), StorePosition(2, 23))
        update = self.mirror.read(None, 0)
        self.assertEqual(
            (entries, StorePosition(2, 23)), (update.changes, update.position)
        )

    def test_a_new_epoch_is_as_old_as_its_own_confirmation(self):
        self.mirror.apply_snapshot(StoreSnapshot((), StorePosition(1, 180)))
        snapshot = StoreSnapshot((), StorePosition(2, 23))
        self.mirror.apply_snapshot(snapshot, Confirmation(0.7, 1))
        self.assertEqual(0.7, round(self.mirror.confirmed_age_s, 3))

    def test_the_page_tells_hosts_of_other_epochs_apart(self):
        self.mirror.apply_snapshot(StoreSnapshot((), StorePosition(2, 23)))
        self.patch(feed, "FEED_WAIT_S", 0)
        page = FeedPage(self.mirror)
        statuses = {
            "after=180&epoch=1": "410 Gone",
            "after=180&epoch=0": "410 Gone",
            "after=23&epoch=2": "200 OK",
            "after=5&epoch=3": "503 Service Unavailable",
            "epoch=3": "503 Service Unavailable",
            "epoch=1": "200 OK",
            # A host of the previous version, which would otherwise read the whole
            # store again without a pause.
            "after=180": "200 OK",
            "after=23&epoch=x": "200 OK",
        }
        for query, status in statuses.items():
            response = page.respond({"QUERY_STRING": query})
            self.assertEqual(status, response.status, query)

    def test_an_update_survives_encoding_and_malformed_bytes_are_rejected(self):
        changes = (StoreChange("a", b"\x00\xff", 3), StoreChange("b", None, 4))
        update = FeedUpdate(changes, StorePosition(2, 9), True, Confirmation(0.25, 1))
        self.assertEqual(update, decode_update(encode_update(update)))
        for data in (b"", b"\xff" * 60, encode_update(update)[:20]):
            self.assertRaises(StoreError, decode_update, data)

    def test_a_message_of_the_previous_version_has_no_epoch(self):
        """During an upgrade, hosts of both versions read each other's feeds."""
        message = feedmessages._schema.Feed.new_message(
            version=feedmessages.PROTOCOL_VERSION, revision=9
        )
        data = zlib.compress(message.to_bytes_packed())
        self.assertEqual(StorePosition(0, 9), decode_update(data).position)

    def test_a_compressed_list_of_targets_is_small_enough_for_a_slow_link(self):
        """A snapshot goes to 44 hosts at once when their reader changes."""
        entries = tuple(
            StoreChange(
                f"servers/i-{n:08x}",
                b'{"address":"10.1.%d.%d:8161","info":{"service":"desk",'
                b'"config_version":"v1","zone":"akl-a","max_concurrency":3},'
                b'"status":{"state":"ready","sequence":%d,"warmup_left_s":0},'
                b'"born":%d}' % (n // 200, n % 200, n % 7, 1_700_000_000_000 + n * 77),
                n,
            )
            for n in range(250)
        )
        data = encode_update(
            FeedUpdate(entries, StorePosition(0, 250), True, Confirmation())
        )
        self.assertLess(len(data), 12_000)


UNKNOWN = float("-inf")
WAIT_S = 0.9


class StoreStub:
    """Stub of a store client whose responses take time on the clock of a test."""

    def __init__(self, clock):
        self.clock = clock
        self.pause_s = 0.0
        self.answer = lambda after, wait_s: (wait_s, (), after)

    def read_all(self, epoch):
        self.clock.now += self.pause_s
        return StoreSnapshot((), StorePosition(0, 1))

    def watch(self, after, wait_s):
        self.wait_s = wait_s
        took_s, changes, revision = self.answer(after, wait_s)
        self.clock.now += took_s + self.pause_s
        return changes, StorePosition(0, revision)


class ConfirmationTest(RedwingspringTestCase):
    """An age that is measured too low accepts API keys that were revoked."""

    def setUp(self):
        super().setUp()
        self.clock = Clock()
        self.store = StoreStub(self.clock)
        self.source = StoreSource(self.store, WAIT_S, clock=self.clock)

    def watch(self, took_s, changes=(), revision=1):
        """Return how long ago a watch that took a time says it was confirmed."""
        self.store.answer = lambda after, wait_s: (took_s, changes, revision)
        confirmation = self.source.watch(StorePosition(0, 1))[2]
        return round(self.clock.now - confirmation.confirmed_at, 6)

    def test_a_snapshot_is_as_old_as_its_request(self):
        self.store.pause_s = 3.0
        self.assertEqual(self.clock.now, self.source.read_all(0)[1].confirmed_at)

    def test_a_watch_without_changes_is_confirmed_at_the_end_of_its_wait(self):
        self.assertEqual(0.1, self.watch(WAIT_S + 0.1))

    def test_a_response_that_stayed_unread_while_suspended_is_old(self):
        self.store.pause_s = 20.0
        self.assertEqual(20.0, self.watch(WAIT_S))
        change = StoreChange("a", b"", 2)
        self.assertEqual(20.5, self.watch(0.5, (change,), 2))

    def test_a_watch_that_ended_early_is_as_old_as_its_request(self):
        self.assertEqual(0.4, self.watch(0.4))

    def test_events_that_cannot_be_read_are_not_taken_for_a_whole_wait(self):
        self.assertEqual(2.0, self.watch(2.0, (), revision=3))

    def test_a_watch_after_changes_renews_the_confirmation_in_time(self):
        """The age would reach two waits, and keys would be rejected too soon."""
        self.source = StoreSource(self.store, WAIT_S, True, self.clock)
        self.source.read_all(0)
        self.watch(0.8, (StoreChange("a", b"", 2),), 2)
        self.clock.now += 0.05
        self.watch(0.1)
        self.assertAlmostEqual(0.05, self.store.wait_s)
        self.clock.now += 60
        self.watch(MIN_WATCH_WAIT_S)
        self.assertEqual(MIN_WATCH_WAIT_S, self.store.wait_s)
        self.clock.now += 0.0004
        self.watch(WAIT_S)
        self.assertEqual(WAIT_S, self.store.wait_s)
        self.watch(WAIT_S)
        self.assertAlmostEqual(WAIT_S, self.store.wait_s)

    def test_a_host_without_a_limit_on_the_age_watches_as_long_as_before(self):
        self.watch(0.8, (StoreChange("a", b"", 2),), 2)
        self.watch(WAIT_S)
        self.assertEqual(WAIT_S, self.store.wait_s)

    def relay(self, mirror, under_way_s):
        """Return the confirmation that a host gets from a mirror of another one."""
        client = FeedClient("127.0.0.1:1", Metrics(), self.clock)

        def fetch(fields):
            self.clock.now += under_way_s
            update = mirror.read(StorePosition(0, fields["after"]), 0)
            self.clock.now += under_way_s
            return decode_update(encode_update(update))

        self.patch(client, "_fetch_update", fetch)
        return client.watch(StorePosition(0, 1))[2]

    def test_ages_add_up_over_the_hops_of_the_feed(self):
        first, second = StoreMirror(self.clock), StoreMirror(self.clock)
        confirmed_at = self.clock.now
        first.apply_snapshot(
            StoreSnapshot((), StorePosition(0, 1)),
            Confirmation(confirmed_at=confirmed_at),
        )
        self.clock.now += 0.3
        received = self.relay(first, 0.25)
        self.assertAlmostEqual(confirmed_at - 0.25, received.confirmed_at, 2)
        second.apply_snapshot(StoreSnapshot((), StorePosition(0, 1)), received)
        self.clock.now += 0.2
        received = self.relay(second, 0.25)
        self.assertTrue(received.confirmed_at <= confirmed_at - 0.5)
        self.assertEqual(2, received.hops)

    def test_a_wait_of_the_feed_does_not_make_its_data_older(self):
        mirror = StoreMirror(self.clock)
        mirror.apply_snapshot(
            StoreSnapshot((), StorePosition(0, 1)),
            Confirmation(confirmed_at=self.clock.now),
        )
        condition = mirror._changed
        self.patch(
            condition,
            "wait",
            lambda s: setattr(self.clock, "now", self.clock.now + s),
        )
        arrived_at = self.clock.now
        update = mirror.read(StorePosition(0, 1), 0.4)
        self.assertAlmostEqual(arrived_at + 0.4, self.clock.now)
        self.assertAlmostEqual(0.0, update.confirmed_offset_s)

    def test_a_confirmation_from_the_future_counts_as_one_of_now(self):
        client = FeedClient("127.0.0.1:1", Metrics(), self.clock)
        update = FeedUpdate((), StorePosition(0, 1), False, Confirmation(), 1e6)
        self.patch(client, "_fetch_update", lambda fields: update)
        self.assertEqual(
            self.clock.now, client.watch(StorePosition(0, 1))[2].confirmed_at
        )

    def test_a_host_of_the_previous_version_states_no_confirmation(self):
        """Zero, the default of a missing number, would confirm its data for ever."""
        schema = Path(feed.__file__).with_name("feed.capnp").read_text()
        schema = re.sub(r"  confirmedOffsetMs.*?\n}", "}", schema, flags=re.S)
        schema = schema.replace("@0xc7e2f1904b8d3a65", "@0xc7e2f1904b8d3a66")
        with tempfile.TemporaryDirectory() as folder:
            path = Path(folder) / "previous.capnp"
            path.write_text(schema)
            previous = capnp.load(str(path))
        self.assertNotIn("confirmedOffsetMs", previous.Feed.schema.fields)
        message = previous.Feed.new_message(
            version=feedmessages.PROTOCOL_VERSION, revision=4
        )
        update = decode_update(zlib.compress(message.to_bytes_packed()))
        self.assertEqual(
            (4, UNKNOWN), (update.position.revision, update.confirmed_offset_s)
        )

    def test_an_offset_survives_encoding_and_is_never_rounded_up(self):
        for offset_s in (-1.2345, 0.0, 2.0, UNKNOWN, -1e9):
            update = FeedUpdate(
                (), StorePosition(0, 1), False, Confirmation(), offset_s
            )
            decoded = decode_update(encode_update(update)).confirmed_offset_s
            self.assertTrue(decoded <= offset_s, offset_s)
            if abs(offset_s) < 1e9:
                self.assertTrue(decoded > offset_s - 0.0011, offset_s)

    def test_a_confirmation_counts_only_once_its_state_is_in_force(self):
        """A key would be looked up in the state before the confirmed one."""
        last = LastConfirmation()
        seen = []

        class StoreStateStub:
            position = StorePosition(0, 1)

            def apply_snapshot(self, snapshot):
                seen.append(last.confirmed_at)

        follower = StoreFollower(None, StoreStateStub(), StoreMirror(), last)
        selector = SourceSelector(
            Members(build_member(1), self.clock), self.source, SourceStub, self.clock
        )
        follower._sources = selector
        follower._read_source(self.source)
        self.assertEqual([UNKNOWN], seen)
        self.assertEqual(self.clock.now, last.confirmed_at)


class SourceStub:
    """Stub of a source whose failures a test sets."""

    def __init__(self, name, is_store=False):
        self.name = name
        self.is_store = is_store
        self.error = None
        self.watch_calls = 0

    def read_all(self, epoch):
        return StoreSnapshot((), StorePosition(0, 1)), FROM_STORE

    def watch(self, after):
        self.watch_calls += 1
        if self.error is not None:
            raise self.error
        return (), after, FROM_STORE

    def close(self):
        pass


class SourceSelectorTest(RedwingspringTestCase):
    def setUp(self):
        super().setUp()
        self.clock = Clock()
        self.store = SourceStub("store", is_store=True)

    def build(self, number, count=12):
        """Return the selector of one of several hosts that all know each other."""
        members = Members(build_member(number), self.clock)
        members.merge(MemberReport(build_member(n), 0.0) for n in range(count))
        return SourceSelector(members, self.store, SourceStub, self.clock)

    def test_only_one_host_reads_the_store(self):
        """Each further host would add a priced call for each change and each wait."""
        chosen = [self.build(number).choose() for number in range(12)]
        self.assertEqual(1, chosen.count(self.store))

    def test_a_host_of_sufficient_capacity_is_the_reader(self):
        """A reader with a 5 Mbit/s link delivers a change late to most of 44 hosts."""
        weak = [replace(build_member(n), capacity=5) for n in range(12)]
        strong = [replace(build_member(n), capacity=200) for n in (12, 13)]
        members = Members(weak[0], self.clock)
        members.merge(MemberReport(member, 0.0) for member in (*weak, *strong))
        selector = SourceSelector(members, self.store, SourceStub, self.clock)
        self.assertEqual(strong[0].peer_address, selector.choose().name)

    def test_a_weak_host_is_the_reader_when_all_hosts_are_weak(self):
        weak = [replace(build_member(n), capacity=5) for n in range(12)]
        selectors = []
        for own in weak:
            members = Members(own, self.clock)
            members.merge(MemberReport(member, 0.0) for member in weak)
            selectors.append(
                SourceSelector(members, self.store, SourceStub, self.clock)
            )
        self.assertEqual(1, [c.choose() for c in selectors].count(self.store))

    def test_a_reader_falls_back_to_the_store_when_its_source_fails(self):
        selectors = [self.build(number) for number in range(12)]
        seconds = 0
        for selector in selectors:
            first = selector.choose()
            selector.record_failure(first)
            seconds += not first.is_store and selector.choose().is_store
        self.assertEqual(3, seconds)

    def test_readers_reject_data_that_another_reader_forwarded(self):
        """Two readers that lost the store would keep each other fresh for seconds."""
        for number in range(12):
            selector = self.build(number)
            source = selector.choose()
            selector.check_hops(source, Confirmation(0.0, 1))
            limit = 1 if selector._is_reader else 2
            selector.check_hops(source, Confirmation(0.0, limit))
            self.assertRaises(
                StoreError,
                selector.check_hops,
                source,
                Confirmation(0.0, limit + 1),
            )

    def test_a_host_falls_back_to_other_readers_and_then_to_the_store(self):
        selectors = [self.build(number) for number in range(12)]
        selector = next(c for c in selectors if c.choose() and not c._is_reader)
        names = []
        while (source := selector.choose()) is not None:
            names.append(source.name)
            selector.record_failure(source)
        self.assertEqual(5, len(names))
        self.assertEqual("store", names[-1])

    def test_a_host_reads_no_remote_feed_before_its_first_response(self):
        """Hundreds of hosts that start at once filled the links between them."""
        readers = {self.build(n).choose().name for n in range(12)} - {"store"}
        other = next(n for n in range(12) if self.build(n).count_hops() == 2)
        members = Members(build_member(other), self.clock)
        members.merge(MemberReport(build_member(n), 0.0) for n in range(12))
        selector = SourceSelector(
            members, self.store, SourceStub, self.clock, is_first_start=True
        )
        source = selector.choose()
        self.assertIn(source.name, readers)
        selector.record_failure(source)
        self.assertIs(self.store, selector.choose())
        selector.record_success(self.store)
        self.clock.now += READERS_REFRESH_S
        self.assertIsNot(self.store, selector.choose())

    def test_a_single_host_reads_the_store(self):
        self.assertIs(self.store, self.build(3, count=0).choose())

    def test_calls_to_a_failed_store_are_limited_by_backoff(self):
        """Refused calls are priced, and 18 hosts must not overload a failing store."""
        selectors = [self.build(number, 16) for number in range(16)]
        store_calls = 0
        for step in range(100):
            self.clock.now += 0.1
            for selector in selectors:
                others = [
                    MemberReport(build_member(n, beat=step + 2), 0.0) for n in range(16)
                ]
                selector._members.merge(others)
                while (source := selector.choose()) is not None:
                    store_calls += source.is_store
                    selector.record_failure(source)
        self.assertTrue(store_calls <= 10 * (4 * 1.2 + 12 * 0.5), store_calls)


class FollowerTest(RedwingspringTestCase):
    def test_a_new_snapshot_is_read_when_the_history_is_lost(self):
        class StoreStateStub:
            position = StorePosition(0, 7)
            snapshots = 0

            def apply_snapshot(self, snapshot):
                self.snapshots += 1

            def apply_changes(self, changes, position):
                pass

            def mark_connected(self, source):
                pass

        class StoppingStub:
            def __init__(self):
                self.left = 6

            def is_set(self):
                self.left -= 1
                return self.left < 0

        source = SourceStub("store", is_store=True)
        store_state = StoreStateStub()

        class SourceSelectorStub:
            newest_epoch = 0

            def choose(self):
                source.error = HistoryLost("x") if source.watch_calls == 1 else None
                return source

            def record_success(self, source):
                pass

            def check_hops(self, source, confirmation):
                pass

            def check_epoch(self, source, epoch):
                pass

            def record_epoch(self, epoch):
                pass

        StoreFollower(SourceSelectorStub(), store_state, StoreMirror()).run(
            StoppingStub()
        )
        self.assertEqual(2, store_state.snapshots)


class FleetTest(RedwingspringTestCase):
    def test_hosts_that_start_for_the_first_time_do_not_all_read_the_store(self):
        ports = {name: find_port() for name in ("peer", "host")}
        names = [f"edge-akl-a-{n}" for n in range(1, 6)]
        store = StoreStandIn()
        self.addCleanup(store.close)
        store.put("op/config", describe_configuration(2))
        fixtures = []
        threads = [
            threading.Thread(
                target=lambda n=n, name=name: fixtures.append(
                    HostFixture(
                        self,
                        instances=0,
                        name=name,
                        store=store.address,
                        seeds=(f"127.0.1.1:{ports['peer']}",),
                        peer_address=f"127.0.1.{n}:{ports['peer']}",
                        address=f"127.0.1.{n}:{ports['host']}",
                        first_start=True,
                    )
                )
            )
            for n, name in enumerate(names, 1)
        ]
        for thread in threads:
            thread.start()
        for thread in threads:
            thread.join(20)
        self.assertEqual(5, len(fixtures))
        for fixture in fixtures:
            self.assertEqual(2, fixture.entry.store_state.version)
        self.assertEqual(1, store.range_reads)

    def test_all_hosts_of_a_data_centre_get_changes_through_one_reader(self):
        first = HostFixture(self, name="edge-akl-a-1")
        peer = first.entry.settings.peer_address
        second = HostFixture(
            self,
            instances=0,
            name="edge-akl-a-2",
            store=first.store.address,
            seeds=(peer,),
            peer_address=f"127.0.0.2:{peer.rsplit(':', 1)[1]}",
            address=f"127.0.0.2:{first.entry.settings.address.rsplit(':', 1)[1]}",
        )
        entries = (first.entry, second.entry)
        for entry in entries:
            wait_until(lambda e=entry: len(e.members.list_serving()) == 2)
        wait_until(lambda: any(e.metrics.snapshot().get("feed.calls") for e in entries))
        before = first.store.calls
        first.store.put("op/config", describe_configuration(9))
        for entry in entries:
            wait_until(lambda e=entry: e.store_state.version == 9, 2.0)
        self.assertTrue(first.store.calls - before <= 4)

    def test_a_host_falls_back_to_the_store_when_its_reader_is_dead(self):
        host = HostFixture(self)
        dead_host = build_member(4)
        while host.entry.sources.choose().is_store:
            host.entry.members.merge([MemberReport(dead_host, 0.0)])
            dead_host = build_member(int(dead_host.name[5:]) + 4)
        host.store.put("op/config", describe_configuration(3))
        wait_until(lambda: host.entry.store_state.version == 3, 2.0)
