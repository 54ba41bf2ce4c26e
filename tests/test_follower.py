"""How a host follows the store and other hosts through epochs of the store."""

from redwingspring.decisions import DecisionLog
from redwingspring.feed import StoreMirror
from redwingspring.feedmessages import Confirmation
from redwingspring.follower import StoreFollower
from redwingspring.instances import InstanceDirectory
from redwingspring.instancestate import Instance
from redwingspring.members import MemberReport, Members
from redwingspring.metrics import Metrics
from redwingspring.sources import SourceSelector
from redwingspring.storestate import (
    HistoryLost,
    InstanceChange,
    InstanceRemoval,
    StoreBusy,
    StoreChange,
    StoreError,
    StorePosition,
    StoreSnapshot,
    StoreState,
)

from .base import RedwingspringTestCase
from .standins import (
    HostFixture,
    describe_configuration,
    find_port,
    wait_until,
)
from .test_gossip import build_member

OLD = StorePosition(1, 180)
NEW = StorePosition(2, 23)
DOWN = StoreError("down")


def decode(change):
    if change.value is None:
        return InstanceRemoval(change.key)
    instance = Instance(change.key, "desk", "10.0.0.9:80", "akl-a", 3)
    return InstanceChange(instance)


def write(name, revision):
    return StoreChange(name, b"x", revision)


class Source:
    """Source whose answers a test sets; an error is raised."""

    def __init__(self, name, is_store=False):
        self.name = name
        self.is_store = is_store
        self.snapshot = DOWN
        self.update = DOWN
        self.requests = []

    def offer(self, position, *names, update=()):
        """Offer a snapshot, and changes after it."""
        self.snapshot = StoreSnapshot(tuple(write(n, 1) for n in names), position)
        self.update = (tuple(update), position)

    def read_all(self, epoch):
        self.requests.append(epoch)
        return self._answer(self.snapshot), self._confirmation

    def watch(self, after):
        self.requests.append(after)
        return *self._answer(self.update), self._confirmation

    @property
    def _confirmation(self):
        return Confirmation(0.0, 0 if self.is_store else 1)

    def close(self):
        pass

    @staticmethod
    def _answer(answer):
        if isinstance(answer, Exception):
            raise answer
        return answer


class Steps:
    """Stops a follower after a number of steps; each waits for no time."""

    def __init__(self, test, count):
        self.test = test
        self.left = count

    def is_set(self):
        self.left -= 1
        return self.left < 0

    def wait(self, seconds):
        self.test.now += seconds


class FollowerEpochTest(RedwingspringTestCase):
    def setUp(self):
        super().setUp()
        self.now = 100.0
        metrics = Metrics()
        self.directory = InstanceDirectory(clock=self.clock)
        decisions = DecisionLog(metrics, self.clock)
        self.state = StoreState(self.directory, decode, metrics, decisions, self.clock)
        self.mirror = StoreMirror(self.clock)
        self.store = Source("store", is_store=True)
        self.peers = []
        self.selector = self.build_selector()
        self.follower = StoreFollower(self.selector, self.state, self.mirror)

    def build_selector(self):
        """Return the selector of a host that reads another host before the store."""
        self.members = Members(build_member(1), self.clock)
        self.advance(1)
        selector = SourceSelector(self.members, self.store, self.open_feed, self.clock)
        self.assertFalse(selector.choose().is_store)
        return selector

    def open_feed(self, address):
        self.peers.append(Source(address))
        return self.peers[-1]

    def clock(self):
        return self.now

    def advance(self, seconds):
        """Let time pass in which the heartbeats of all hosts arrive."""
        self.now += seconds
        beat = int(self.now)
        reports = [MemberReport(build_member(n, beat=beat), 0.0) for n in range(12)]
        self.members.merge(reports)

    def follow(self, steps=1):
        self.follower.run(Steps(self, steps))

    @property
    def ids(self):
        return self.directory.list_ids()

    def follow_store(self):
        """Follow the store in the old epoch; no other host responds."""
        self.store.offer(OLD, "a")
        self.follow(len(self.peers) + 2)
        self.assertEqual(({"a"}, OLD), (self.ids, self.state.position))

    def test_small_events_of_a_new_epoch_do_not_apply_to_the_old_state(self):
        """The first response of the new epoch may be that of a watch."""
        self.check_events(2)

    def test_large_events_of_a_new_epoch_do_not_apply_to_the_old_state(self):
        self.check_events(500)

    def check_events(self, revision):
        self.follow_store()
        position = StorePosition(2, revision)
        self.store.update = ((write("b", revision),), position)
        self.store.snapshot = DOWN
        self.follow(2)
        self.assertEqual(({"a"}, OLD), (self.ids, self.state.position))
        self.assertEqual(OLD, self.mirror.read(None, 0).position)

    def test_the_state_stays_in_force_until_the_new_read_is_complete(self):
        self.follow_store()
        self.store.update = ((), NEW)
        self.store.snapshot = HistoryLost("the epoch changed between two pages", 3)
        self.follow(3)
        self.assertEqual(({"a"}, OLD), (self.ids, self.state.position))
        self.store.offer(StorePosition(3, 20), "a", "b")
        self.follow()
        self.assertEqual({"a", "b"}, self.ids)
        self.assertEqual(StorePosition(3, 20), self.state.position)

    def test_revisions_that_overtook_the_old_ones_are_read_from_the_start(self):
        """Only the header shows the rollback, and events are missing before these."""
        self.follow_store()
        position = StorePosition(2, 200)
        self.store.offer(position, "a", "lost", update=[write("late", 190)])
        now = self.now
        self.follow(2)
        self.assertEqual(now, self.now)
        self.assertEqual(({"a", "lost"}, position), (self.ids, self.state.position))

    def test_a_watch_without_history_reads_the_new_epoch(self):
        self.follow_store()
        self.store.offer(NEW, "a", "b")
        self.store.update = HistoryLost("gone", 2)
        self.follow(2)
        self.assertEqual(({"a", "b"}, NEW), (self.ids, self.state.position))

    def test_a_peer_of_the_old_epoch_is_refused_after_a_watch_without_history(self):
        self.follow_store()
        self.store.update = HistoryLost("gone", 2)
        self.store.snapshot = DOWN
        self.advance(1.2)
        for peer in self.peers:
            peer.offer(StorePosition(1, 300), "old")
            peer.update = DOWN
        self.follow(len(self.peers) + 2)
        self.advance(1.2)
        self.follow(len(self.peers))
        self.assertEqual({2}, {peer.requests[-1] for peer in self.peers})
        self.assertEqual(({"a"}, OLD), (self.ids, self.state.position))

    def test_two_rollbacks_in_a_row_are_followed(self):
        self.follow_store()
        for epoch in (2, 3):
            position = StorePosition(epoch, 20)
            self.store.offer(position, "a", f"new-{epoch}")
            self.follow(2)
            self.assertEqual(position, self.state.position)
            self.assertIn(f"new-{epoch}", self.ids)

    def test_a_rollback_between_the_start_and_the_first_watch_is_followed(self):
        self.store.offer(OLD, "a")
        self.store.update = HistoryLost("gone", 2)
        self.follow(len(self.peers) + 2)
        self.store.offer(NEW, "b")
        self.follow()
        self.assertEqual(({"a", "b"}, NEW), (self.ids, self.state.position))

    def test_a_host_that_is_cut_off_from_the_store_learns_the_epoch_from_a_peer(self):
        self.follow_store()
        self.store.update = self.store.snapshot = DOWN
        self.advance(3)
        peer = self.selector.choose()
        peer.offer(NEW, "a", "b")
        # A host answers a position of an older epoch with 410, without its epoch.
        peer.update = HistoryLost("a host has a newer epoch")
        self.follow(2)
        self.assertEqual(({"a", "b"}, NEW), (self.ids, self.state.position))
        self.assertEqual([OLD, 1], peer.requests[-2:])

    def test_a_peer_that_still_serves_the_old_epoch_is_left(self):
        self.follow_store()
        self.store.offer(NEW, "a", "b")
        self.follow(2)
        self.advance(3)
        stale, other = self.selector._sources[:2]
        stale.offer(StorePosition(1, 300), "a", "old")
        other.offer(NEW, "a", "b")
        self.follow(2)
        self.assertEqual([NEW], stale.requests[-1:])
        self.assertEqual([NEW], other.requests[-1:])
        self.assertEqual(({"a", "b"}, NEW), (self.ids, self.state.position))
        self.assertIs(other, self.selector.choose())
        self.assertTrue(self.state.is_connected)

    def test_a_peer_of_the_old_epoch_is_refused_once_the_store_showed_the_new_one(self):
        """The store is busy after its return, and only its header can be read."""
        self.follow_store()
        self.store.update = self.store.snapshot = StoreBusy("busy", 2)
        self.follow()
        self.advance(3)
        for peer in self.peers:
            peer.offer(StorePosition(1, 300), "old")
        self.follow(len(self.peers))
        self.assertEqual(({"a"}, OLD), (self.ids, self.state.position))
        self.assertEqual(
            {2}, {peer.requests[-1] for peer in self.selector._sources[:3]}
        )
        self.store.offer(NEW, "b")
        self.follow(len(self.peers) + 1)
        self.assertEqual(NEW, self.state.position)

    def test_a_store_that_returns_to_an_older_epoch_changes_nothing(self):
        self.follow_store()
        self.store.offer(NEW, "a", "b")
        self.follow(2)
        for update in ((), (write("old", 300),)):
            self.store.offer(StorePosition(0, 300), "old", update=update)
            self.follow()
            self.advance(3)
        self.assertEqual(({"a", "b"}, NEW), (self.ids, self.state.position))
        self.assertFalse(self.state.is_connected)

    def test_without_epochs_a_lower_revision_changes_nothing(self):
        self.store.offer(StorePosition(0, 180), "a")
        self.follow(len(self.peers) + 2)
        self.store.offer(StorePosition(0, 23), "b")
        self.follow(2)
        self.assertEqual({"a"}, self.ids)
        self.assertEqual(StorePosition(0, 180), self.state.position)


class RollbackTest(RedwingspringTestCase):
    """Hosts with the stand-in of the store, which comes back from a copy."""

    def start(self, **options):
        return HostFixture(self, epoch=1, **options)

    def start_second(self, first, **changes):
        """Start a host that reads the store through the first one, or the reverse."""
        settings = first.entry.settings
        ports = [
            address.rsplit(":", 1)[1]
            for address in (settings.peer_address, settings.address)
        ]
        values = {
            "store": first.store.address,
            "seeds": (settings.peer_address,),
            "peer_address": f"127.0.0.2:{ports[0]}",
            "address": f"127.0.0.2:{ports[1]}",
        }
        return HostFixture(self, instances=0, name="edge-akl-a-2", **values | changes)

    def use(self, host):
        """Return the ids of the targets in use."""
        states = host.entry.directory.view.services.get("desk", ())
        return {state.instance.id for state in states}

    def write_much(self, store, count=30):
        for number in range(count):
            store.put("op/other", {"number": number})

    def wait_for_epoch(self, host, epoch):
        wait_until(lambda: host.entry.store_state.position.epoch == epoch, 3.0)

    def test_what_is_written_after_a_rollback_is_in_force_on_all_hosts(self):
        """It was not in force 5 s later, while a watch waited throughout."""
        first = self.start()
        second = self.start_second(first)
        hosts = (first, second)
        for host in hosts:
            wait_until(lambda h=host: len(h.entry.members.list_serving()) == 2)
        copy = first.store.copy()
        self.write_much(first.store)
        for host in hosts:
            self.wait_for_epoch(host, 1)
        wait_until(
            lambda: (
                {h.entry.store_state.position.revision for h in hosts}
                == {first.store.revision}
            )
        )
        first.store.roll_back(copy)
        first.store.put("op/config", describe_configuration(7))
        first.list_instance(first.instances[0], status={"state": "draining"})
        for host in hosts:
            wait_until(lambda h=host: h.entry.store_state.version == 7, 2.0)
            wait_until(lambda h=host: self.use(h) == {"i-1"}, 2.0)
            self.assertEqual(2, host.entry.store_state.position.epoch)
            self.assertEqual(1, host.entry.metrics.snapshot()["store.epochs"])

    def test_a_host_without_the_store_learns_of_a_rollback_from_another(self):
        first = self.start()
        # Hosts of other data centres read the store, or the host that does.
        second = self.start_second(
            first, store=f"127.0.0.1:{find_port()}", data_centre="ham-b"
        )
        copy = first.store.copy()
        self.write_much(first.store)
        revision = first.store.revision
        wait_until(lambda: second.entry.store_state.position.revision == revision)
        first.store.roll_back(copy)
        first.store.put("op/config", describe_configuration(7))
        wait_until(lambda: second.entry.store_state.version == 7, 2.5)
        self.wait_for_epoch(second, 2)

    def test_two_rollbacks_while_the_store_is_away_are_followed(self):
        """The new revisions pass the old ones before the host reads again."""
        host = self.start()
        copy = host.store.copy()
        self.write_much(host.store)
        revision = host.store.revision
        wait_until(lambda: host.entry.store_state.position.revision == revision)
        host.store.status = 503
        host.store.roll_back(copy)
        host.store.roll_back(copy)
        host.store.put("op/config", describe_configuration(7))
        host.list_instance(host.instances[0], status={"state": "draining"})
        self.write_much(host.store, 60)
        host.store.status = 200
        wait_until(lambda: host.entry.store_state.version == 7, 4.0)
        self.assertEqual({"i-1"}, self.use(host))
        self.assertEqual(3, host.entry.store_state.position.epoch)

    def test_a_draining_target_stays_unused_and_the_configuration_in_force(self):
        host = self.start()
        copy = host.store.copy()
        host.store.put("op/config", describe_configuration(5))
        host.list_instance(host.instances[0], status={"state": "draining"})
        wait_until(lambda: self.use(host) == {"i-1"})
        self.wait_for_epoch(host, 1)
        host.store.roll_back(copy)
        self.wait_for_epoch(host, 2)
        self.assertEqual({"i-1"}, self.use(host))
        self.assertEqual(5, host.entry.store_state.version)
        host.list_instance(host.instances[0])
        wait_until(lambda: self.use(host) == {"i-0", "i-1"}, 2.0)

    def test_a_rollback_during_the_first_read_of_a_host_is_read_again(self):
        host = self.start()
        host.entry.close()
        host.list_instance(host.instances[0], address="127.0.0.1:9")
        copy = host.store.copy()
        host.list_instance(host.instances[0])
        host.store.page_size = 1
        read_range = host.store.read_range

        def read_page(query):
            if query.get("after") == "servers/i-0" and host.store.epoch == 1:
                host.store.roll_back(copy)
            return read_range(query)

        host.store.read_range = read_page
        host.start(self)
        self.wait_for_epoch(host, 2)
        states = host.entry.directory.view.services["desk"]
        self.assertIn("127.0.0.1:9", {state.instance.address for state in states})
