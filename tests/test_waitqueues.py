"""Lines of waiting requests against the load patterns that they answer."""

import random
import threading

from redwingspring.loadsamples import LoadSample
from redwingspring.placement import choose_best
from redwingspring.shares import HostCount, ProbeShare
from redwingspring.waitpolicy import (
    RequestTiming,
    may_cross_data_centres,
    should_reject,
)
from redwingspring.waitqueues import WaitQueue

from .base import RedwingspringTestCase


class WaitingLineTest(RedwingspringTestCase):
    def test_the_most_urgent_goes_first_then_the_oldest(self):
        line = WaitQueue()
        tickets = {
            name: line.enter(priority, received)
            for name, priority, received in (
                ("new", 2, 3.0),
                ("old", 2, 1.0),
                ("urgent", 1, 4.0),
            )
        }
        order = []
        while tickets:
            [name] = [n for n, ticket in tickets.items() if ticket.first.is_set()]
            line.leave(tickets.pop(name))
            order.append(name)
        self.assertEqual(["urgent", "old", "new"], order)

    def test_an_urgent_request_that_comes_later_takes_the_lead(self):
        line = WaitQueue()
        first = line.enter(2, 1.0)
        line.enter(1, 2.0)
        self.assertFalse(first.first.is_set())

    def test_a_request_that_is_late_lets_those_in_time_go_first(self):
        now = [10.0]
        line = WaitQueue(lambda: now[0])
        urgent = line.enter(1, 1.0, late_at=10.5)
        self.assertTrue(urgent.first.is_set())
        now[0] = 11.0
        other = line.enter(2, 2.0, late_at=12.0)
        self.assertTrue(other.first.is_set())
        self.assertEqual((1, 0), (line.count_ahead(urgent), line.count_ahead(other)))

    def test_a_line_that_has_just_formed_is_not_taken_for_a_slow_one(self):
        """A place found long ago would look like 2.5 a second in an empty line."""
        now = [10.0]
        line = WaitQueue(lambda: now[0])
        line.leave(line.enter(1, 10.0), placed=True)
        now[0] = 10.35
        for _ in range(3):
            line.enter(1, now[0])
        self.assertEqual(0, line.placements_per_s)
        now[0] = 10.37
        line.leave(line.enter(0, now[0]), placed=True)
        wait = RequestTiming(0.02, 1.5, 0.3, 0.09)
        self.assertFalse(should_reject(wait, 2, line.placements_per_s))

    def test_the_rate_of_a_line_that_lasts_is_taken_over_a_while(self):
        now = [10.0]
        line = WaitQueue(lambda: now[0])
        line.enter(1, 10.0)
        for _ in range(100):
            now[0] += 0.01
            line.leave(line.enter(0, now[0]), placed=True)
        self.assertTrue(95 < line.placements_per_s < 105, line.placements_per_s)
        now[0] += 0.3
        self.assertTrue(20 < line.placements_per_s < 30, line.placements_per_s)

    def test_a_told_load_wakes_the_first_in_line_once(self):
        line = WaitQueue()
        line.notify_load()
        self.assertTrue(line.wait_for_load(1.0))
        self.assertFalse(line.wait_for_load(0.001))

    def test_nobody_is_left_behind_when_many_come_and_go(self):
        line = WaitQueue()
        served = []

        def wait(priority):
            ticket = line.enter(priority, 0.0)
            if ticket.first.wait(10):
                served.append(priority)
            line.leave(ticket)

        threads = [threading.Thread(target=wait, args=(n % 3,)) for n in range(60)]
        for thread in threads:
            thread.start()
        for thread in threads:
            thread.join()
        self.assertEqual((60, 0), (len(served), len(line)))


class BurstReplayTest(RedwingspringTestCase):
    """Many requests wait at once while targets are full."""

    def play(self, in_line):
        """Return how many probes some seconds of a burst take."""
        source = random.Random(4)
        waiting, probes = 0, 0
        for _ in range(250):
            # More arrive than places get free.
            waiting = min(40, waiting + source.randrange(3))
            asking = min(waiting, 1) if in_line else waiting
            probes += 3 * asking
            samples = [LoadSample(source.choice((2, 3, 3)), 0, 3) for _ in range(3)]
            free = samples[choose_best(samples, source)].running < 3
            waiting -= free and waiting > 0
        return probes

    def test_probes_do_not_grow_with_the_number_of_waiting_requests(self):
        self.assertTrue(self.play(in_line=True) < self.play(in_line=False) / 3)


class ReturningCallersReplayTest(RedwingspringTestCase):
    """Rejected callers come back with little time during a burst."""

    def play(self, knows_late):
        """Return how many requests of a burst find a place in time."""
        now = [0.0]
        line = WaitQueue(lambda: now[0])
        source = random.Random(8)
        tickets, in_time = {}, 0
        for step in range(1500):
            now[0] = step * 0.01
            if source.random() < 0.9:
                returns = source.random() < 0.5
                late_at = now[0] + (-0.05 if returns else 0.15)
                known = late_at if knows_late else float("inf")
                tickets[line.enter(2, now[0], known)] = late_at
            # Only half of those that arrive find a place.
            if step % 2 and tickets:
                [first] = [t for t in tickets if t.first.is_set()]
                in_time += tickets.pop(first) >= now[0]
                line.leave(first, placed=True)
            for ticket in [t for t in tickets if now[0] - t.received > 0.3]:
                del tickets[ticket]
                line.leave(ticket)
        return in_time

    def test_more_is_in_time_when_late_requests_stand_behind(self):
        self.assertTrue(self.play(True) > 1.5 * self.play(False))


class ProbeShareTest(RedwingspringTestCase):
    def test_the_sum_over_hosts_stays_within_the_rate(self):
        now = [100.0]
        hosts = HostCount(lambda: now[0])
        hosts.note(18)
        shares = [ProbeShare(60.0, hosts, lambda: now[0]) for _ in range(18)]
        sent = 0
        for _ in range(3200):
            now[0] += 0.01
            sent += sum(share.take("desk", 34, 3) for share in shares)
        self.assertTrue(sent <= 60 * 34 * 32, sent)
        self.assertTrue(sent >= 0.5 * 60 * 34 * 32, sent)

    def test_a_burst_may_use_what_calm_seconds_left(self):
        hosts = HostCount(lambda: 100.0)
        hosts.note(18)
        share = ProbeShare(60.0, hosts, lambda: 100.0)
        self.assertTrue(sum(share.take("desk", 34, 2) for _ in range(600)) > 650)


class SpreadTest(RedwingspringTestCase):
    def test_a_long_response_stays_in_its_data_centre_for_longer(self):
        wait = RequestTiming(0.05, 1.0, 0.3)
        self.assertTrue(may_cross_data_centres(wait, 1500))
        self.assertFalse(may_cross_data_centres(wait, 90_000))
        self.assertTrue(may_cross_data_centres(RequestTiming(0.25, 1.0, 0.3), 90_000))
