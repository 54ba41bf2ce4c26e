"""Targets that announce in their responses that they drain."""

from redwingspring.drainnotices import (
    MAX_NOTICES,
    MAX_SHARED_NOTICES,
    SHARED_AGE_S,
    DrainNotice,
    DrainNotices,
    TargetRun,
)
from redwingspring.gossip import GossipMessage, decode_gossip, encode_gossip
from redwingspring.instances import InstanceDirectory
from redwingspring.instancestate import Instance

from .base import RedwingspringTestCase
from .standins import POSTS, HostFixture, render_request, wait_until


def build_run(number=1, started_unix_ms=1000, address="10.0.0.9:80"):
    return TargetRun(f"i-{number}", started_unix_ms, address)


class DrainNoticesTest(RedwingspringTestCase):
    def setUp(self):
        super().setUp()
        self.now = 100.0
        self.notices = DrainNotices(clock=lambda: self.now)

    def test_only_recent_notices_are_shared_and_with_their_age(self):
        self.notices.record([DrainNotice(build_run())], "response")
        self.now += 4
        [shared] = self.notices.choose_shared()
        self.assertEqual(DrainNotice(build_run(), 4.0), shared)
        self.now += SHARED_AGE_S
        self.assertEqual([], self.notices.choose_shared())
        self.assertTrue(self.notices.contains(build_run()))

    def test_a_notice_that_other_hosts_return_does_not_become_recent_again(self):
        self.notices.record([DrainNotice(build_run())], "response")
        self.now += SHARED_AGE_S + 1
        self.notices.record([DrainNotice(build_run(), 0.5)], "host")
        self.assertEqual([], self.notices.choose_shared())

    def test_a_release_of_many_targets_does_not_grow_the_datagrams(self):
        runs = [DrainNotice(build_run(number)) for number in range(MAX_NOTICES + 9)]
        self.notices.record(runs, "host")
        self.assertEqual(MAX_SHARED_NOTICES, len(self.notices.choose_shared()))
        self.assertFalse(self.notices.contains(build_run(0)))
        self.assertTrue(self.notices.contains(build_run(MAX_NOTICES)))


class DirectoryTest(RedwingspringTestCase):
    def setUp(self):
        super().setUp()
        self.now = 100.0
        self.notices = DrainNotices(clock=self.clock)
        self.directory = InstanceDirectory(None, self.clock, self.notices)
        self.put()
        self.notices.record([DrainNotice(build_run())], "host")

    def clock(self):
        return self.now

    def put(self, address="10.0.0.9:80", started_unix_ms=1000):
        instance = Instance(
            "i-1", "desk", address, "akl-a", 3, started_unix_ms=started_unix_ms
        )
        return self.directory.put(instance)

    def test_the_run_stays_unused_when_the_store_lists_it_again(self):
        """The store may have lost its history, or a host may read an older state."""
        self.assertEqual({}, self.directory.view.services)
        self.put()
        self.assertEqual({}, self.directory.view.services)
        self.directory.remove("i-1")
        self.put()
        self.assertEqual({}, self.directory.view.services)

    def test_a_later_run_under_the_same_id_is_used(self):
        self.put(started_unix_ms=2000)
        [state] = self.directory.view.services["desk"]
        self.assertTrue(self.directory.accepts(state))

    def test_another_instance_at_the_same_address_is_used(self):
        self.directory.put(Instance("i-2", "desk", "10.0.0.9:80", "akl-a", 3))
        [state] = self.directory.view.services["desk"]
        self.assertEqual("i-2", state.instance.id)

    def test_a_run_whose_notice_arrives_before_its_entry_is_not_used(self):
        """A host that has just started hears its peers before it reads the store."""
        self.notices.record([DrainNotice(build_run(3))], "host")
        instance = Instance(
            "i-3", "desk", "10.0.0.9:80", "akl-a", 3, started_unix_ms=1000
        )
        self.directory.put(instance)
        self.assertEqual({}, self.directory.view.services)


class DrainingTargetTest(RedwingspringTestCase):
    def setUp(self):
        super().setUp()
        self.host = HostFixture(self, instances=2)
        self.draining, self.working = self.host.instances

    def post(self, count):
        answers = [self.host.ask("POST", POSTS, body=b"x") for _ in range(count)]
        return [status for status, _, _ in answers]

    def test_a_target_gets_nothing_after_the_first_response_that_announces_it(self):
        self.working.load = "3,0,3,100"
        self.draining.draining = True
        self.draining.probes_drain = False
        status, headers, _ = self.host.ask("POST", POSTS, body=b"x")
        self.assertEqual(200, status)
        self.assertNotIn("server-leaving", headers)
        self.working.load = "0,0,3,100"
        arrivals = len(self.draining.arrivals)
        probes = self.draining.probes
        self.assertEqual([200] * 8, self.post(8))
        self.assertEqual(1, arrivals)
        self.assertEqual(arrivals, len(self.draining.arrivals))
        self.assertEqual(probes, self.draining.probes)

    def test_a_target_that_announces_it_in_a_probe_gets_nothing(self):
        self.draining.draining = True
        self.assertEqual([200] * 8, self.post(8))
        self.assertEqual([], self.draining.arrivals)

    def test_requests_that_wait_go_elsewhere_once_a_response_announces_it(self):
        """All slots are in use, and the response that frees one announces the drain."""
        self.draining.load = "0,0,1,100"
        self.draining.work_s = 0.1
        self.working.load = "9,9,3,900"
        caller = self.host.connect()
        self.addCleanup(caller.close)
        caller.send(render_request("POST", POSTS, "first"))
        wait_until(lambda: self.draining.runs)
        self.draining.draining = True
        self.draining.probes_drain = False
        self.draining.load = "1,0,1,100"
        waiting = self.host.connect()
        self.addCleanup(waiting.close)
        waiting.send(render_request("POST", POSTS, "second"))
        wait_until(lambda: not self.host.entry.directory.view.services.get("desk")[1:])
        self.working.load = "0,0,3,100"
        wait_until(lambda: self.working.runs)
        self.assertEqual(["first"], [run[0] for run in self.draining.runs])

    def test_a_response_of_another_instance_says_nothing_of_the_target(self):
        """Its address now belongs to another instance, which drains."""
        self.draining.draining = True
        self.draining.id = "i-other"
        self.assertEqual([200] * 6, self.post(6))
        self.assertFalse(self.host.entry.drain_notices.choose_shared())

    def test_peers_learn_of_it_by_gossip(self):
        self.draining.draining = True
        self.post(6)
        shared = tuple(self.host.entry.drain_notices.choose_shared())
        message = decode_gossip(encode_gossip(GossipMessage((), False, shared)))
        peer = HostFixture(self, instances=0)
        for instance in self.host.instances:
            peer.list_instance(instance)
        wait_until(lambda: len(peer.entry.directory.list_ids()) == 2)
        peer.entry.gossip.merge(message)
        [state] = peer.entry.directory.view.services["desk"]
        self.assertEqual("i-1", state.instance.id)
