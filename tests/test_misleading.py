"""Targets whose health, load or answers mislead, one test for each kind."""

import time

from redwingspring.routeforwarder import KEPT_BODY_BYTES

from .base import RedwingspringTestCase
from .standins import POSTS, HostFixture, render_request, wait_until

# Kept by a host so that it can be sent again.
KEPT_BODY = b"x" * (KEPT_BODY_BYTES // 2)
LONG_BODY = b"x" * (512 << 10)


class MisleadingTargetTest(RedwingspringTestCase):
    """Each test has one sound target beside the misleading one."""

    def start(self, mode="normal", **attributes):
        self.host = HostFixture(self, instances=2)
        self.bad, self.sound = self.host.instances
        self.bad.mode = mode
        for name, value in attributes.items():
            setattr(self.bad, name, value)

    def post(self, count):
        answers = [self.host.ask("POST", POSTS, body=b"x") for _ in range(count)]
        return [status for status, _, _ in answers]

    def test_one_that_says_well_and_fails_gets_little(self):
        """Its health stays good, so probes alone would send it half of all work."""
        for mode in ("error", "reset", "garbage", "unsigned"):
            self.start(mode)
            statuses = self.post(16)
            self.assertTrue(len(self.bad.runs) <= 2, (mode, statuses))
            self.assertTrue(statuses.count(200) >= 14, (mode, statuses))

    def test_one_that_refuses_everything_costs_no_request(self):
        self.start("shed")
        self.assertEqual([200] * 16, self.post(16))
        self.assertTrue(len(self.bad.arrivals) <= 4, len(self.bad.arrivals))

    def test_one_that_hangs_holds_few_posts(self):
        """A hanging target says that it is idle; only what it holds shows it."""
        self.start("hang", load="0,0,3,100")
        for number in range(12):
            caller = self.host.connect()
            self.addCleanup(caller.close)
            caller.send(render_request("POST", POSTS, f"hang-{number}"))
            time.sleep(0.03)
        wait_until(lambda: len(self.host.runs) == 12)
        self.assertTrue(len(self.bad.runs) <= 6, len(self.bad.runs))

    def test_one_that_says_ill_and_is_well_is_used_when_no_other_is_there(self):
        self.start(healthy=False)
        self.assertEqual([200] * 6, self.post(6))
        self.assertEqual([], self.bad.runs)
        self.sound.close()
        self.host.store.delete("servers/i-1")
        wait_until(lambda: self.host.entry.directory.list_ids() == {"i-0"})
        self.assertEqual([200] * 3, self.post(3))

    def test_one_that_goes_down_and_up_is_used_again(self):
        """Flapping: it fails for a while and is then as good as the other."""
        self.start("error")
        self.post(6)
        self.bad.mode = "normal"
        self.sound.load = "3,0,3,100"
        before = len(self.bad.runs)
        wait_until(lambda: self.post(1) and len(self.bad.runs) > before, 5)

    def test_a_dark_one_holds_nothing_up(self):
        self.start()
        self.bad.close()
        started = time.monotonic()
        self.assertEqual([200] * 8, self.post(8))
        self.assertTrue(time.monotonic() - started < 1.0)

    def test_one_that_turns_cold_without_notice_gets_its_rate_at_most(self):
        """The entry says warm; the health page alone tells of the cold start."""
        self.start(warmup_ms=3000)
        self.sound.load = "3,0,3,100"
        started = time.monotonic()
        while time.monotonic() - started < 0.9:
            self.post(1)
        # The service tolerates 9.4 requests a second at a cold target.
        self.assertTrue(len(self.bad.runs) <= 9, len(self.bad.runs))

    def test_one_that_rejects_early_does_not_lose_a_request(self):
        """It refuses before the body is in, so the send may break off."""
        self.start("early")
        for _ in range(6):
            status, headers, _ = self.host.ask("POST", POSTS, body=KEPT_BODY)
            self.assertEqual(200, status, headers)
        self.assertTrue(self.bad.arrivals)
        self.assertEqual(6, len(self.sound.runs))

    def test_one_that_rejects_a_body_too_long_to_keep_gives_a_true_not_run(self):
        self.start("early")
        for _ in range(6):
            status, headers, _ = self.host.ask("POST", POSTS, body=LONG_BODY)
            if status == 503:
                self.assertEqual("not-run", headers["request-run"])
        self.assertTrue(self.bad.arrivals)
        self.assertTrue(self.sound.runs)
