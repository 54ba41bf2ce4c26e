"""Targets that refuse a request and state how long they want no other."""

import time

from redwingspring.clock import read_clock
from redwingspring.instancestate import MAX_BACKOFF_S, Instance, InstanceState
from redwingspring.platform.headers import parse_response_headers
from redwingspring.policy.waitpolicy import RequestTiming, choose_retry_after

from .base import RedwingspringTestCase
from .standins import POSTS, HostFixture

DATE = "Sat, 05 Dec 2026 04:00:00 GMT"


class RetryAfterHeaderTest(RedwingspringTestCase):
    def parse(self, value, **others):
        return parse_response_headers({"Retry-After": value, **others}).retry_after_s

    def test_seconds_and_fractions_are_read(self):
        self.assertEqual(3.0, self.parse("3"))
        self.assertEqual(0.25, self.parse("0.25"))

    def test_a_date_is_relative_to_the_clock_of_the_target(self):
        later = "Sat, 05 Dec 2026 04:00:07 GMT"
        self.assertEqual(7.0, self.parse(later, Date=DATE))
        self.assertEqual(None, self.parse(DATE, Date=later))
        self.assertEqual(None, self.parse(later))
        self.assertEqual(None, self.parse(later, Date="soon"))

    def record(self, state, value, refused=True):
        metadata = parse_response_headers({"Retry-After": value})
        state.record_conditions(metadata, refused, 0.0)

    def test_only_a_refusal_asks_for_a_pause(self):
        state = InstanceState(Instance("i", "desk", "10.0.0.9:80", "a", 3), None, 0.0)
        self.record(state, "4", refused=False)
        self.assertFalse(state.is_backing_off(0.1))

    def test_values_without_a_positive_number_are_ignored(self):
        for value in ("", "-5", "0", "nan", "-inf", "soon", "1 2", "\x00"):
            self.assertEqual(None, self.parse(value), value)

    def test_an_absurd_value_is_bounded(self):
        for value in ("inf", "1e400", "9" * 4000):
            instance = Instance("i-1", "desk", "10.0.0.9:80", "akl-a", 3)
            state = InstanceState(instance, None, 0.0)
            self.record(state, value)
            self.assertTrue(state.is_backing_off(MAX_BACKOFF_S - 1), value[:9])
            self.assertFalse(state.is_backing_off(MAX_BACKOFF_S), value[:9])

    def test_a_shorter_value_does_not_end_a_longer_one(self):
        state = InstanceState(Instance("i", "desk", "10.0.0.9:80", "a", 3), None, 0.0)
        for value in ("4", "1"):
            self.record(state, value)
        self.assertTrue(state.is_backing_off(3.9))


class RetryTimeTest(RedwingspringTestCase):
    def test_callers_return_spread_after_the_first_target_accepts_requests(self):
        timing = RequestTiming(0.0, 3.0, 0.3)
        times = [choose_retry_after(timing, 5, backoff_s=0.8) for _ in range(200)]
        self.assertTrue(min(times) >= 0.8)
        self.assertTrue(max(times) <= 1.2)
        self.assertTrue(max(times) - min(times) > 0.3)


class RefusingTargetTest(RedwingspringTestCase):
    def post(self, host, count):
        answers = [host.ask("POST", POSTS, body=b"x") for _ in range(count)]
        return [status for status, _, _ in answers]

    def test_a_target_gets_neither_requests_nor_probes_until_the_time_is_over(self):
        host = HostFixture(self, instances=2)
        refusing, working = host.instances
        refusing.mode, refusing.retry_after = "shed", "0.8"
        working.load = "2,0,3,100"
        started = time.monotonic()
        self.assertEqual([200] * 3, self.post(host, 3))
        arrivals, probes = len(refusing.arrivals), refusing.probes
        self.assertEqual(1, arrivals)
        while time.monotonic() - started < 0.6:
            self.assertEqual([200], self.post(host, 1))
        self.assertEqual((arrivals, probes), (len(refusing.arrivals), refusing.probes))
        refusing.mode = "normal"
        time.sleep(0.4)
        self.post(host, 4)
        self.assertTrue(refusing.runs)

    def test_a_request_is_rejected_at_once_while_all_targets_want_none(self):
        host = HostFixture(self, instances=2)
        for instance in host.instances:
            instance.mode, instance.retry_after = "shed", "5"
        self.post(host, 3)
        arrivals = sum(len(instance.arrivals) for instance in host.instances)
        started = read_clock()
        status, headers, _ = host.ask("POST", POSTS, body=b"x")
        self.assertTrue(read_clock() - started < 0.2)
        self.assertEqual((503, "not-run"), (status, headers["request-run"]))
        self.assertTrue(4.0 < float(headers["retry-after"]) <= 7.5)
        self.assertEqual(2, arrivals)
        self.assertEqual(2, sum(len(i.arrivals) for i in host.instances))
