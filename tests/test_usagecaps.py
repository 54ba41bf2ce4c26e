"""Rate limits over all hosts, in simulated time."""

import operator
import random
from dataclasses import replace
from functools import partial

from redwingspring.policy.usageallotments import LATENESS_S, RateLimit, UsageBound
from redwingspring.policy.usagecaps import REMEMBERED_S, UsageOwner
from redwingspring.policy.usagemessages import OwnerStamp, UsageAsk

from .base import RedwingspringTestCase
from .usagesimulation import DATA_CENTRES, TEAM, Simulation

LARGE, MEDIUM, SMALL = (36.0, 36.0), (3.0, 3.0), (1.0, 1.0)
# Until the hosts know each other and hold shares.
START_S = 4.0


def is_in_minority(number):
    return number % 5 < 2


def is_in_first_data_centre(number):
    return number % 3 == 0


class AllotmentTest(RedwingspringTestCase):
    def test_the_parts_of_a_limit_are_the_bound_together(self):
        for limit in (LARGE, MEDIUM, SMALL, (36.0, 0.0), (0.1, 50.0)):
            limit = RateLimit(*limit)
            bound = UsageBound()
            a = bound.allot(limit)
            refill = a.rate_factor * a.rate_per_s * (bound.window_s + LATENESS_S)
            total = refill + a.depth + 2 * a.credit + a.static
            self.assertAlmostEqual(bound.compute_bound(limit), total)
            self.assertTrue(a.rate_per_s == limit.rate_per_s and a.depth >= limit.burst)

    def test_a_limit_without_a_reserve_is_not_exceeded(self):
        bound = UsageBound(overage=0.0, slack=0.0)
        a = bound.allot(RateLimit(*LARGE))
        self.assertTrue(a.rate_per_s * (5 + LATENESS_S) + a.depth <= 216.001)
        self.assertEqual(0.0, a.static + a.credit)


class BoundTest(RedwingspringTestCase):
    """Teams that send ten times their rate limit; every window is checked."""

    def start(self, count, limit, flood_s, choose=None, **options):
        simulation = Simulation(count, limit, **options)
        simulation.flood(flood_s, 10 * limit[0], choose and choose(simulation))
        return simulation

    def check(self, simulation, at_least=0.0):
        self.assertTrue(simulation.find_excess() <= 0.0, simulation.find_excess())
        self.assertTrue(len(simulation.admitted) >= at_least, len(simulation.admitted))

    def test_hosts_that_all_start_at_once_keep_the_bound(self):
        for count in (5, 101):
            for limit in (SMALL, LARGE):
                simulation = self.start(count, limit, 9.0)
                simulation.run(9)
                self.check(simulation, limit[0] * 6)

    def test_a_partition_whose_sides_both_spend_keeps_the_bound(self):
        for count, limit, is_far in (
            (5, LARGE, is_in_minority),
            (5, SMALL, is_in_minority),
            (101, LARGE, is_in_first_data_centre),
            (101, MEDIUM, is_in_minority),
        ):
            simulation = self.start(count, limit, 21.0)
            simulation.run(7)
            simulation.partition(is_far)
            simulation.run(8)
            simulation.heal()
            simulation.run(6)
            self.check(simulation, limit[0] * 12)

    def test_a_flood_from_one_data_centre_of_300_hosts_keeps_the_bound(self):
        def choose(simulation):
            return lambda: 3 * simulation.rng.randrange(100)

        simulation = self.start(300, LARGE, 12.0, choose)
        simulation.run(6)
        simulation.partition(is_in_first_data_centre)
        simulation.run(6)
        self.check(simulation, 36 * 4)
        self.assertEqual(DATA_CENTRES[0], simulation.hosts["host-3"].data_centre)

    def test_a_restart_of_all_hosts_that_forget_what_they_admitted_keeps_the_bound(
        self,
    ):
        for count, limit in ((5, LARGE), (5, SMALL), (101, LARGE)):
            simulation = self.start(count, limit, 12.0)
            simulation.run(6)
            simulation.kill(range(count))
            for number in range(count):
                simulation.start(number)
            simulation.run(6)
            self.check(simulation, limit[0] * 6)

    def test_hosts_that_are_killed_and_suspended_keep_the_bound(self):
        for count, limit in ((5, LARGE), (5, MEDIUM), (101, MEDIUM)):
            simulation = self.start(count, limit, 24.0)
            simulation.run(START_S)
            for _ in range(6):
                numbers = simulation.rng.sample(range(count), max(1, count // 4))
                simulation.suspend(numbers, simulation.rng.uniform(0.5, 6))
                simulation.run(2.0)
                number = simulation.rng.randrange(count)
                simulation.kill([number])
                simulation.run(0.4)
                simulation.start(number)
                simulation.run(0.8)
            self.check(simulation, limit[0])

    def test_lost_and_late_messages_keep_the_bound(self):
        for options in ({"loss": 0.4}, {"latency_s": (0.0, 1.0)}):
            for limit in (LARGE, SMALL):
                simulation = self.start(5, limit, 15.0, **options)
                simulation.run(15)
                self.check(simulation)

    def test_a_burst_of_many_hosts_at_the_same_moment_keeps_the_bound(self):
        """Each of 101 hosts that admitted one request by itself would exceed it."""
        simulation = Simulation(101, SMALL)
        simulation.run(12)
        for number in range(101):
            simulation.request(number)
        simulation.run(1)
        self.check(simulation, 6)

    def test_a_lowered_limit_binds_one_window_after_it_is_in_force(self):
        simulation = self.start(101, LARGE, 20.0)
        simulation.run(8)
        lowered = RateLimit(2.0, 2.0, 1)
        for host in simulation.hosts.values():
            delay_s = simulation.rng.uniform(0, 1.0)
            simulation.call(delay_s, host, setattr, host, "limit", lowered)
        simulation.run(1.0)
        simulation.limit = lowered
        simulation.admitted.clear()
        simulation.run(11)
        self.check(simulation, 11)

    def test_faults_in_random_order_keep_the_bound(self):
        for seed in range(10):
            rng = random.Random(seed)
            simulation = Simulation(7, rng.choice((LARGE, SMALL)), seed, loss=0.1)
            simulation.run(START_S)
            for _ in range(8):
                number, factor = rng.randrange(7), rng.randrange(1, 7)
                fault = rng.choice(("flood", "restart", "leave", "suspend", "cut"))
                if fault == "flood":
                    simulation.flood(4.0, 10 * simulation.limit.rate_per_s)
                elif fault == "restart":
                    simulation.heal()
                    simulation.run(1.5)
                    simulation.kill([number, factor])
                    simulation.start(number)
                    simulation.start(factor)
                elif fault == "leave":
                    simulation.leave(number)
                elif fault == "suspend":
                    simulation.suspend([number, factor], rng.uniform(0.3, 6))
                else:
                    simulation.partition(partial(operator.gt, factor))
                simulation.run(rng.uniform(0.3, 4))
            self.check(simulation)

    def test_owners_never_hold_a_share_twice(self):
        simulation = self.start(5, MEDIUM, 30.0, loss=0.2)
        held = []

        def sample():
            now = simulation.now
            hosts = simulation.hosts.values()
            held.append(sum(h.owner.compute_fraction(now) for h in hosts))
            simulation.call(0.05, None, sample)

        sample()
        simulation.run(8)
        simulation.partition(is_in_minority)
        simulation.run(7)
        simulation.suspend([1, 2], 1.2)
        simulation.heal()
        simulation.run(5)
        simulation.kill([0, 3])
        simulation.start(0)
        simulation.start(3)
        simulation.run(10)
        self.assertTrue(0.9 < max(held) <= 1.0 + 1e-9, max(held))


class NoLossTest(RedwingspringTestCase):
    """Teams that send up to their rate limit and burst lose nothing to it."""

    def check(self, simulation, sent, tolerated=0):
        rejected = len(simulation.rejected)
        self.assertEqual(sent, len(simulation.admitted) + rejected)
        self.assertTrue(rejected <= tolerated, rejected)

    def test_requests_that_reach_any_host(self):
        for count, duration_s in ((5, 20.0), (101, 8.0), (300, 4.0)):
            for limit in (SMALL, LARGE):
                simulation = Simulation(count, limit)
                simulation.run(START_S)
                sent = simulation.conform(duration_s)
                simulation.run(duration_s + 1)
                self.check(simulation, sent)

    def test_requests_that_all_reach_one_host(self):
        for limit in (SMALL, MEDIUM, LARGE):
            simulation = Simulation(101, limit)
            simulation.run(START_S)
            sent = simulation.conform(8.0, lambda: 17)
            simulation.run(9)
            self.check(simulation, sent)

    def test_requests_that_wander_between_data_centres(self):
        simulation = Simulation(101, LARGE)
        simulation.run(START_S)

        def choose():
            number = simulation.rng.randrange(33)
            return 3 * number + int(simulation.now / 2) % 3

        sent = simulation.conform(8.0, choose)
        simulation.run(9)
        self.check(simulation, sent)

    def test_a_burst_after_a_long_quiet_time(self):
        simulation = Simulation(101, LARGE)
        simulation.run(START_S + 6)
        for number in range(36):
            simulation.request(number * 2)
        simulation.run(1)
        self.check(simulation, 36)

    def test_a_join_of_hosts_that_are_not_the_owner(self):
        simulation = Simulation(20, LARGE)
        simulation.run(START_S)
        sent = simulation.conform(12.0)
        owner = simulation.rank(frozenset(simulation.hosts))[0]
        numbers = [n for n in range(20) if f"host-{n}" != owner][:2]
        simulation.run(2)
        simulation.kill(numbers[:1])
        simulation.start(numbers[0])
        simulation.run(11)
        # Requests to the killed host while it is down are not counted.
        self.check(simulation, sent)

    def change_owner(self, method):
        """Send to 20 hosts without the owner, which a method takes away."""
        simulation = Simulation(20, LARGE)
        simulation.run(START_S)
        owner = int(simulation.rank(frozenset(simulation.hosts))[0][5:])
        others = [number for number in range(20) if number != owner]
        sent = simulation.conform(12.0, lambda: simulation.rng.choice(others))
        simulation.run(2)
        method(simulation, owner)
        simulation.run(11)
        return simulation, sent

    def test_requests_while_the_owner_leaves_and_starts_again(self):
        def leave(simulation, owner):
            simulation.leave(owner)
            simulation.call(6.5, None, simulation.start, owner)

        self.check(*self.change_owner(leave))

    def test_most_requests_while_the_owner_is_killed(self):
        simulation, sent = self.change_owner(lambda s, owner: s.kill([owner]))
        self.check(simulation, sent, 0.2 * sent)

    def test_a_team_below_its_share_on_each_side_of_a_partition(self):
        simulation = Simulation(101, LARGE)
        simulation.run(START_S)
        simulation.partition(is_in_first_data_centre)
        simulation.run(8)
        for _ in range(6 * 36):
            time = simulation.rng.uniform(0, 6)
            simulation.schedule(time, simulation.rng.randrange(101))
        simulation.run(7)
        self.check(simulation, 6 * 36)


class OwnerTest(RedwingspringTestCase):
    def setUp(self):
        super().setUp()
        self.owner = UsageOwner("host-1", 7, UsageBound())
        self.sequence = 0
        self.limit = RateLimit(*SMALL)

    def ask(self, now, **fields):
        self.sequence += 1
        stamp = OwnerStamp(7, int(now * 1000))
        ask = UsageAsk(0, "host-2", self.sequence, stamp=stamp)
        ask = replace(ask, team=TEAM, limit=self.limit, **fields)
        return self.owner.handle(ask, now)

    def count_tokens(self, now, **fields):
        granted = [self.ask(now, **fields).granted for _ in range(50)]
        return granted.count(True)

    def test_a_cession_with_an_old_or_foreign_clock_reading_is_not_counted(self):
        self.ask(10.0, hosts=1, stamp=OwnerStamp(7, 8000))
        self.ask(10.0, hosts=1, stamp=OwnerStamp(8, 10000))
        self.ask(10.0, hosts=1, stamp=OwnerStamp(7, 11000))
        self.assertEqual(0.0, self.owner.compute_fraction(10.1))
        self.ask(10.0, hosts=1)
        self.assertEqual(1.0, self.owner.compute_fraction(10.1))

    def test_a_delayed_message_does_not_renew_a_released_share(self):
        delayed = UsageAsk(0, "host-2", 1, 1, stamp=OwnerStamp(7, 10000))
        self.sequence = 1
        self.ask(10.0, hosts=1)
        self.ask(10.1, release=True)
        self.owner.handle(delayed, 10.2)
        self.assertEqual(0.0, self.owner.compute_fraction(10.2))

    def test_a_host_whose_clock_was_reset_is_heard_again(self):
        self.sequence = 1 << 50
        self.ask(10.0, hosts=1)
        self.sequence = 0
        self.ask(10.0 + REMEMBERED_S, hosts=1)
        self.assertEqual(0.0, self.owner.compute_fraction(10.0 + REMEMBERED_S))
        self.ask(11.0 + REMEMBERED_S, hosts=1)
        self.assertEqual(1.0, self.owner.compute_fraction(11.0 + REMEMBERED_S))

    def test_a_new_owner_starts_with_an_empty_bucket_or_with_a_credit(self):
        self.assertEqual(0, self.count_tokens(10.0, hosts=1))
        self.owner = UsageOwner("host-1", 7, UsageBound())
        credit = int(UsageBound().allot(self.limit).credit)
        self.assertEqual(credit, self.count_tokens(10.0, hosts=1, credit=True))
        self.assertEqual(0, self.count_tokens(10.0, hosts=1, credit=True))

    def test_a_released_share_takes_its_tokens_along(self):
        step_s = 0.5
        for step in range(40):
            self.ask(10.0 + step * step_s, hosts=1, returned=True)
        carry = self.ask(30.0, release=True, returned=True).carry
        next_owner = UsageOwner("host-3", 7, UsageBound())
        depth = int(UsageBound().allot(self.limit).depth)
        left, self.owner = self.owner, next_owner
        tokens = self.count_tokens(30.0, hosts=1, carry=carry)
        self.assertTrue(depth - 1 <= tokens <= depth, tokens)
        self.owner = left
        self.assertEqual(0, self.count_tokens(30.0, hosts=1))

    def test_a_team_that_used_its_tokens_has_none_at_the_next_owner(self):
        for step in range(10):
            self.ask(10.0 + step, hosts=1, returned=True)
        self.count_tokens(20.0, hosts=1)
        carry = self.ask(20.0, release=True, returned=True).carry
        self.owner = UsageOwner("host-3", 7, UsageBound())
        self.assertEqual(0, self.count_tokens(20.0, hosts=1, carry=carry))

    def test_a_returned_token_can_be_used_again_and_is_counted_once(self):
        while not self.ask(now := 10.0 + self.sequence / 20, hosts=1).granted:
            pass
        returned = UsageAsk(
            0, "host-2", self.sequence + 1, team=TEAM, limit=self.limit, returned=True
        )
        returned = replace(returned, issued=OwnerStamp(7, int(now * 1000)))
        for _ in range(3):
            self.owner.handle(returned, now)
        self.sequence += 1
        self.assertEqual(1, self.count_tokens(now, hosts=1))

    def use_tokens(self, now):
        """Return how many tokens there are at once, and use them."""
        return self.count_tokens(now, hosts=1) + self.count_tokens(now, hosts=1)

    def hold(self, start, end):
        for step in range(10 * (end - start) + 1):
            self.ask(start + step / 10, hosts=1, returned=True)

    def test_tokens_that_return_to_a_bucket_that_was_full_again_are_lost(self):
        """Requests that wait long and never run would double the limit of a window."""
        self.limit = RateLimit(*LARGE)
        self.hold(10, 20)
        depth = self.use_tokens(20.0)
        self.hold(20, 28)
        tokens = self.use_tokens(28.0)
        for _ in range(depth):
            self.ask(28.0, hosts=1, returned=True, issued=OwnerStamp(7, 20000))
        tokens += self.use_tokens(28.0)
        self.assertEqual((64, 64), (depth, tokens))

    def test_tokens_return_as_far_as_the_bucket_was_never_full_without_them(self):
        self.limit = RateLimit(*LARGE)
        self.hold(10, 20)
        depth = self.use_tokens(20.0)
        self.hold(20, 21)
        for _ in range(depth):
            self.ask(21.0, hosts=1, returned=True, issued=OwnerStamp(7, 20000))
        # It would have been full all the time.
        self.assertEqual(depth, self.use_tokens(21.0))
        for _ in range(depth):
            self.ask(21.01, hosts=1, returned=True, issued=OwnerStamp(7, 21000))
        self.assertEqual(depth, self.use_tokens(21.01))

    def test_returned_tokens_never_exceed_those_of_a_bucket_without_the_requests(self):
        self.limit = RateLimit(*LARGE)
        allotment = UsageBound().allot(self.limit)
        rng = random.Random(11)
        self.hold(10, 12)
        expected, issued, now_ms = self.owner._buckets[TEAM].level, [], 12000
        for _ in range(4000):
            elapsed_ms = rng.choice((1, 1, 1, 40, 400))
            now_ms += elapsed_ms
            refilled = expected + allotment.rate_per_s * elapsed_ms / 1000
            expected = min(allotment.depth, refilled)
            action = rng.random()
            if issued and action < 0.3:
                stamp = OwnerStamp(7, issued.pop(rng.randrange(len(issued))))
                self.ask(now_ms / 1000, hosts=1, returned=True, issued=stamp)
            elif self.ask(now_ms / 1000, hosts=1).granted:
                if action < 0.7:
                    issued.append(now_ms)
                else:
                    expected -= 1.0
            self.assertTrue(self.owner._buckets[TEAM].level <= expected + 0.1)

    def test_a_token_of_another_process_or_the_future_does_not_return(self):
        self.hold(10, 20)
        self.use_tokens(20.0)
        for stamp in (OwnerStamp(8, 20000), OwnerStamp(7, 21000), OwnerStamp(0, 0)):
            self.ask(20.0, hosts=1, returned=True, issued=stamp)
        self.assertEqual(0, self.use_tokens(20.0))

    def test_rejected_requests_get_times_of_different_tokens(self):
        self.ask(10.0, hosts=1)
        times = [self.ask(10.0, hosts=1).retry_after_s for _ in range(4)]
        self.assertEqual([1.0, 2.0, 3.0, 4.0], [round(t - times[0]) + 1 for t in times])
        self.assertTrue(self.ask(10.0, hosts=1).retry_after_s <= 5.0)

    def test_an_older_configuration_does_not_raise_a_lowered_limit_again(self):
        old, self.limit = RateLimit(*LARGE), RateLimit(*SMALL, version=2)
        for step in range(60):
            self.ask(10.0 + step / 10, hosts=1, returned=True)
        self.limit = old
        granted = self.count_tokens(16.0, hosts=1)
        self.assertTrue(granted <= UsageBound().allot(RateLimit(*SMALL)).depth)
