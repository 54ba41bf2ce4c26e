"""Wait queues under the load patterns they are made for."""

import random
import threading

from redwingspring.policy.loadsamples import LoadSample
from redwingspring.policy.placement import choose_best
from redwingspring.policy.shares import HostCount, ProbeShare
from redwingspring.policy.waitpolicy import (
    RequestTiming,
    may_cross_data_centres,
    should_reject,
)
from redwingspring.policy.waitqueues import WaitQueue

from .base import RedwingspringTestCase


class WaitQueueTest(RedwingspringTestCase):
    def test_requests_leave_by_priority_then_by_age(self):
        queue = WaitQueue()
        entries = {
            name: queue.enter(priority, received_at)
            for name, priority, received_at in (
                ("new", 2, 3.0),
                ("old", 2, 1.0),
                ("urgent", 1, 4.0),
            )
        }
        order = []
        while entries:
            [name] = [n for n, entry in entries.items() if entry.at_head.is_set()]
            queue.leave(entries.pop(name))
            order.append(name)
        self.assertEqual(["urgent", "old", "new"], order)

    def test_a_later_request_of_higher_priority_becomes_the_head(self):
        queue = WaitQueue()
        earlier = queue.enter(2, 1.0)
        queue.enter(1, 2.0)
        self.assertFalse(earlier.at_head.is_set())

    def test_a_late_request_comes_after_those_in_time(self):
        now = [10.0]
        queue = WaitQueue(lambda: now[0])
        urgent = queue.enter(1, 1.0, late_at=10.5)
        self.assertTrue(urgent.at_head.is_set())
        now[0] = 11.0
        other = queue.enter(2, 2.0, late_at=12.0)
        self.assertTrue(other.at_head.is_set())
        self.assertEqual((1, 0), (queue.count_ahead(urgent), queue.count_ahead(other)))

    def test_the_rate_ignores_the_time_while_the_queue_was_empty(self):
        """Else one old placement would look like a rate of 2.5 requests a second."""
        now = [10.0]
        queue = WaitQueue(lambda: now[0])
        queue.leave(queue.enter(1, 10.0), placed=True)
        now[0] = 10.35
        for _ in range(3):
            queue.enter(1, now[0])
        self.assertEqual(0, queue.placements_per_s)
        now[0] = 10.37
        queue.leave(queue.enter(0, now[0]), placed=True)
        timing = RequestTiming(0.02, 1.5, 0.3, 0.09)
        self.assertFalse(should_reject(timing, 2, queue.placements_per_s))

    def test_the_rate_of_a_lasting_queue_is_measured_over_a_window(self):
        now = [10.0]
        queue = WaitQueue(lambda: now[0])
        queue.enter(1, 10.0)
        for _ in range(100):
            now[0] += 0.01
            queue.leave(queue.enter(0, now[0]), placed=True)
        self.assertTrue(95 < queue.placements_per_s < 105, queue.placements_per_s)
        now[0] += 0.3
        self.assertTrue(20 < queue.placements_per_s < 30, queue.placements_per_s)

    def test_a_reported_load_wakes_the_head_of_the_queue_once(self):
        queue = WaitQueue()
        queue.notify_load()
        self.assertTrue(queue.wait_for_load(1.0))
        self.assertFalse(queue.wait_for_load(0.001))

    def test_every_request_becomes_the_head_under_concurrent_use(self):
        queue = WaitQueue()
        reached_head = []

        def wait_in_queue(priority):
            entry = queue.enter(priority, 0.0)
            if entry.at_head.wait(10):
                reached_head.append(priority)
            queue.leave(entry)

        threads = [
            threading.Thread(target=wait_in_queue, args=(n % 3,)) for n in range(60)
        ]
        for thread in threads:
            thread.start()
        for thread in threads:
            thread.join()
        self.assertEqual((60, 0), (len(reached_head), len(queue)))


class BurstSimulationTest(RedwingspringTestCase):
    """Many requests wait concurrently while targets are full."""

    def simulate(self, queued):
        """Return the number of probes in some seconds of a burst."""
        rng = random.Random(4)
        waiting, probes = 0, 0
        for _ in range(250):
            # More requests arrive than slots become free.
            waiting = min(40, waiting + rng.randrange(3))
            probing = min(waiting, 1) if queued else waiting
            probes += 3 * probing
            samples = [LoadSample(rng.choice((2, 3, 3)), 0, 3) for _ in range(3)]
            free = samples[choose_best(samples, rng)].running < 3
            waiting -= free and waiting > 0
        return probes

    def test_probes_do_not_grow_with_the_number_of_waiting_requests(self):
        self.assertTrue(self.simulate(queued=True) < self.simulate(queued=False) / 3)


class RetryingCallersSimulationTest(RedwingspringTestCase):
    """Rejected callers retry with little remaining time during a burst."""

    def simulate(self, knows_late):
        """Return how many requests of a burst are placed in time."""
        now = [0.0]
        queue = WaitQueue(lambda: now[0])
        rng = random.Random(8)
        late_at_by_entry, in_time = {}, 0
        for step in range(1500):
            now[0] = step * 0.01
            if rng.random() < 0.9:
                is_retry = rng.random() < 0.5
                late_at = now[0] + (-0.05 if is_retry else 0.15)
                known = late_at if knows_late else float("inf")
                late_at_by_entry[queue.enter(2, now[0], known)] = late_at
            # A request is placed in every second step, about half of the arrivals.
            if step % 2 and late_at_by_entry:
                [head] = [e for e in late_at_by_entry if e.at_head.is_set()]
                in_time += late_at_by_entry.pop(head) >= now[0]
                queue.leave(head, placed=True)
            for entry in [e for e in late_at_by_entry if now[0] - e.received_at > 0.3]:
                del late_at_by_entry[entry]
                queue.leave(entry)
        return in_time

    def test_more_requests_are_in_time_if_late_ones_come_last(self):
        self.assertTrue(self.simulate(True) > 1.5 * self.simulate(False))


class ProbeShareTest(RedwingspringTestCase):
    def test_the_probes_of_all_hosts_stay_within_the_rate(self):
        now = [100.0]
        hosts = HostCount(lambda: now[0])
        hosts.record_count(18)
        shares = [ProbeShare(60.0, hosts, lambda: now[0]) for _ in range(18)]
        sent = 0
        for _ in range(3200):
            now[0] += 0.01
            sent += sum(share.take("desk", 34, 3) for share in shares)
        self.assertTrue(sent <= 60 * 34 * 32, sent)
        self.assertTrue(sent >= 0.5 * 60 * 34 * 32, sent)

    def test_a_burst_may_use_probes_saved_under_low_load(self):
        hosts = HostCount(lambda: 100.0)
        hosts.record_count(18)
        share = ProbeShare(60.0, hosts, lambda: 100.0)
        self.assertTrue(sum(share.take("desk", 34, 2) for _ in range(600)) > 650)


class CrossDataCentreTest(RedwingspringTestCase):
    def test_a_request_with_a_long_response_stays_local_for_longer(self):
        timing = RequestTiming(0.05, 1.0, 0.3)
        self.assertTrue(may_cross_data_centres(timing, 1500))
        self.assertFalse(may_cross_data_centres(timing, 90_000))
        self.assertTrue(may_cross_data_centres(RequestTiming(0.25, 1.0, 0.3), 90_000))
