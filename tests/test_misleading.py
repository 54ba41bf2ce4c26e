"""Targets whose health, load or responses are misleading, a test for each kind."""

import time

from redwingspring.exchanges import Exchange
from redwingspring.platform import headers
from redwingspring.routeforwarder import MAX_BUFFERED_BODY_BYTES
from redwingspring.upstream import MAX_IDLE_NON_IDEMPOTENT_S

from .base import RedwingspringTestCase
from .standins import POSTS, HostFixture, render_request, wait_until

# Short enough for a host to keep it for another attempt.
KEPT_BODY = b"x" * (MAX_BUFFERED_BODY_BYTES // 2)
LONG_BODY = b"x" * (512 << 10)


class MisleadingTargetTest(RedwingspringTestCase):
    """Each test runs a misleading target and a working one."""

    def start(self, mode="normal", **attributes):
        self.host = HostFixture(self, instances=2)
        self.misleading, self.working = self.host.instances
        self.misleading.mode = mode
        for name, value in attributes.items():
            setattr(self.misleading, name, value)

    def post(self, count):
        answers = [self.host.ask("POST", POSTS, body=b"x") for _ in range(count)]
        return [status for status, _, _ in answers]

    def test_a_healthy_target_that_fails_requests_gets_few_of_them(self):
        """Its probes succeed, so they alone would give it half of all requests."""
        for mode in ("error", "reset", "garbage", "unsigned"):
            self.start(mode)
            statuses = self.post(16)
            self.assertTrue(len(self.misleading.runs) <= 2, (mode, statuses))
            self.assertTrue(statuses.count(200) >= 14, (mode, statuses))

    def test_a_target_that_refuses_everything_fails_no_request(self):
        self.start("shed")
        self.assertEqual([200] * 16, self.post(16))
        self.assertTrue(
            len(self.misleading.arrivals) <= 4, len(self.misleading.arrivals)
        )

    def test_a_hanging_target_gets_few_posts(self):
        """It reports itself idle; only unanswered requests reveal it."""
        self.start("hang", load="0,0,3,100")
        for number in range(12):
            caller = self.host.connect()
            self.addCleanup(caller.close)
            caller.send(render_request("POST", POSTS, f"hang-{number}"))
            time.sleep(0.03)
        wait_until(lambda: len(self.host.runs) == 12)
        self.assertTrue(len(self.misleading.runs) <= 6, len(self.misleading.runs))

    def test_a_target_reported_unhealthy_is_used_if_there_is_no_other(self):
        self.start(healthy=False)
        self.assertEqual([200] * 6, self.post(6))
        self.assertEqual([], self.misleading.runs)
        self.working.close()
        self.host.store.delete("servers/i-1")
        wait_until(lambda: self.host.entry.directory.list_ids() == {"i-0"})
        self.assertEqual([200] * 3, self.post(3))

    def test_a_recovered_target_is_used_again(self):
        """A flapping target fails for a while and then works as well as the other."""
        self.start("error")
        self.post(6)
        self.misleading.mode = "normal"
        self.working.load = "3,0,3,100"
        runs_before = len(self.misleading.runs)
        wait_until(lambda: self.post(1) and len(self.misleading.runs) > runs_before, 5)

    def test_an_unreachable_target_delays_no_request(self):
        self.start()
        self.misleading.close()
        started = time.monotonic()
        self.assertEqual([200] * 8, self.post(8))
        self.assertTrue(time.monotonic() - started < 1.0)

    def test_a_target_in_an_unlisted_cold_start_stays_within_its_rate(self):
        """Discovery lists it as warm; only its health page shows the cold start."""
        self.start(warmup_ms=3000)
        self.working.load = "3,0,3,100"
        started = time.monotonic()
        while time.monotonic() - started < 0.9:
            self.post(1)
        # A cold target of the service may get 9.4 requests a second.
        self.assertTrue(len(self.misleading.runs) <= 9, len(self.misleading.runs))

    def test_a_target_that_drops_idle_connections_is_not_ejected(self):
        """Whatever is sent next on such a connection is reset."""
        self.start(forget_idle_s=0.05)
        self.working.forget_idle_s = 0.05
        for _ in range(8):
            self.assertEqual([200], self.post(1))
            time.sleep(0.12)
        metrics = self.host.entry.metrics.snapshot()
        self.assertEqual(0, metrics.get("attempts.failed.connect", 0))
        states = self.host.entry.directory.view.services["desk"]
        self.assertEqual([0.0, 0.0], [state.ejected_until for state in states])
        self.assertEqual(8, len(self.host.runs))

    def test_a_post_without_a_probe_uses_no_connection_that_was_idle_for_long(self):
        self.start()
        self.post(1)
        states = self.host.entry.directory.view.services["desk"]
        state = next(state for state in states if state.pool._idle)
        state.pool._idle[-1].idle_since -= 2 * MAX_IDLE_NON_IDEMPOTENT_S
        idle = state.pool._idle[-1]
        exchange = Exchange(state, headers)
        exchange.begin_without_probe(None, idempotent=False)
        self.assertIsNot(idle, exchange.connection)

    def test_an_early_refusal_loses_no_request(self):
        """The target refuses before it has read the body, so the send may break off."""
        self.start("early")
        # Of two equal targets, the six requests might all choose the working one.
        self.working.load = "0,0,3,150"
        for _ in range(6):
            status, headers, _ = self.host.ask("POST", POSTS, body=KEPT_BODY)
            self.assertEqual(200, status, headers)
        self.assertTrue(self.misleading.arrivals)
        self.assertEqual(6, len(self.working.runs))

    def test_an_early_refusal_of_a_body_too_long_to_keep_is_reported_as_not_run(self):
        self.start("early")
        # Of two equal targets, the six requests might all choose the working one.
        self.working.load = "0,0,3,150"
        for _ in range(6):
            status, headers, _ = self.host.ask("POST", POSTS, body=LONG_BODY)
            if status == 503:
                self.assertEqual("not-run", headers["request-run"])
        self.assertTrue(self.misleading.arrivals)
        self.assertTrue(self.working.runs)
