from redwingspring.policy.usagehosts import (
    ALONE_S,
    REMEMBERED_S,
    SETTLE_S,
    HostPlace,
    UsageHosts,
)

from .base import RedwingspringTestCase

STEP_S = 0.5


class UsageHostsTest(RedwingspringTestCase):
    def setUp(self):
        super().setUp()
        self.now = 100.0

    def build(self, data_centres=3, seeds=2):
        return UsageHosts("host-1", "akl-a", data_centres, seeds, self.now)

    def run_for(self, hosts, duration_s, names=(), leaving=()):
        present = {name: f"dc-{name[-1]}" for name in names}
        end = self.now + duration_s
        while self.now < end:
            self.now += STEP_S
            hosts.update(present, leaving, self.now)

    def test_a_host_that_just_started_uses_no_share(self):
        """Its previous process may have ceded it, and it may not know all others."""
        hosts = self.build()
        self.run_for(hosts, SETTLE_S - STEP_S, ["host-2", "host-3"])
        self.assertEqual(None, hosts.find_place())
        self.run_for(hosts, 2 * STEP_S, ["host-2", "host-3"])
        self.assertEqual(HostPlace(0, 3), hosts.find_place())

    def test_a_suspension_during_the_start_does_not_count_as_waiting(self):
        hosts = self.build()
        self.now += 60.0
        self.run_for(hosts, STEP_S)
        self.assertEqual(None, hosts.find_place())

    def test_a_host_that_knows_no_other_waits_longer_and_expects_its_seeds(self):
        hosts = self.build(seeds=4)
        self.run_for(hosts, ALONE_S - STEP_S)
        self.assertEqual(None, hosts.find_place())
        self.run_for(hosts, 2 * STEP_S)
        self.assertEqual(HostPlace(0, 5), hosts.find_place())

    def test_hosts_in_an_unknown_data_centre_are_expected_for_a_time(self):
        """A data centre that starts cut off would take the limits for itself."""
        hosts = self.build(data_centres=2, seeds=0)
        names = [f"host-{n}1" for n in range(2, 9)]
        self.run_for(hosts, SETTLE_S, names)
        self.assertEqual(8, hosts.find_place().count)
        hosts = UsageHosts("host-1", "dc-1", 2, 0, self.now)
        self.run_for(hosts, SETTLE_S, names)
        self.assertEqual(16, hosts.find_place().count)
        self.run_for(hosts, REMEMBERED_S + 1, names)
        self.assertEqual(8, hosts.find_place().count)

    def test_a_lost_host_is_remembered_and_one_that_leaves_is_not(self):
        hosts = self.build(data_centres=1)
        self.run_for(hosts, 5.0, ["host-2", "host-3", "host-4"])
        self.run_for(hosts, 30.0, ["host-4"], leaving=["host-3"])
        self.assertEqual(HostPlace(0, 3), hosts.find_place())
        self.run_for(hosts, REMEMBERED_S + 10, ["host-4"])
        self.assertEqual(HostPlace(0, 2), hosts.find_place())

    def test_the_place_is_steady_only_while_no_host_joins_or_leaves(self):
        hosts = self.build(data_centres=1)
        self.run_for(hosts, 10.0, ["host-2", "host-3"])
        self.assertEqual(3, hosts.find_steady_place(5.0, self.now).count)
        self.run_for(hosts, 1.0, ["host-2", "host-3", "host-4"])
        self.assertEqual(None, hosts.find_steady_place(5.0, self.now))
        self.run_for(hosts, 5.0, ["host-2"])
        self.assertEqual(4, hosts.find_steady_place(5.0, self.now).count)
