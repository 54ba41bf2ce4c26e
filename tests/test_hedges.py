import threading
import time

from expression import Error, Ok

from harness.benchfleet import BenchFleet, render_ratio
from harness.fleet import TargetSpec
from redwingspring.hedges import Cancellation, HedgedAttempt, HedgeTimer, LatencyWindow
from redwingspring.policy.retries import AttemptBudget
from redwingspring.verdict import Reason, fail_uncertain, refuse

from .base import RedwingspringTestCase


class _Socket:
    closed = False

    def shutdown(self, how):
        self.closed = True


class _Connection:
    def __init__(self):
        self.sock = _Socket()

    def close(self):
        self.sock.closed = True


class _Pool:
    def __init__(self):
        self.idle = []

    def take(self, limits, idempotent):
        return _Connection()

    def give_back(self, connection):
        self.idle.append(connection)


class HedgedAttemptTest(RedwingspringTestCase):
    def setUp(self):
        super().setUp()
        self.discarded = []
        self.budget = AttemptBudget(0.1)

    def run_hedged(self, first, second, hedge_after=0.0):
        """Run a hedged attempt; both attempts are functions of their cancellation."""

        def send(cancellation, hedge):
            return (second if hedge else first)(cancellation)

        hedged_attempt = HedgedAttempt(send, self.discarded.append, self.budget)
        HedgeTimer().schedule(hedged_attempt, time.monotonic() + hedge_after)
        return hedged_attempt.run()

    @staticmethod
    def wait_for_cancel(cancellation):
        end = time.monotonic() + 5
        while not cancellation.cancelled and time.monotonic() < end:
            time.sleep(0.001)
        return Error(fail_uncertain(Reason.RESET, "closed"))

    def test_a_response_to_the_hedge_cancels_the_first_attempt(self):
        outcome = self.run_hedged(self.wait_for_cancel, lambda _: Ok("hedge"))
        self.assertEqual("hedge", outcome.ok)

    def test_a_late_response_of_the_cancelled_attempt_is_discarded(self):
        def first(cancellation):
            self.wait_for_cancel(cancellation)
            return Ok("first")

        outcome = self.run_hedged(first, lambda _: Ok("hedge"))
        self.assertEqual(("hedge", ["first"]), (outcome.ok, self.discarded))

    def test_no_hedge_is_sent_after_a_response_within_the_delay(self):
        sent = []
        outcome = self.run_hedged(lambda _: Ok("first"), sent.append, 0.05)
        time.sleep(0.1)
        self.assertEqual(("first", []), (outcome.ok, sent))

    def test_a_failure_that_may_have_run_takes_precedence_over_one_that_did_not(self):
        hedged = threading.Event()
        failed = Error(fail_uncertain(Reason.RESET, "reset"))
        refused = Error(refuse(Reason.TARGET_REFUSED, "busy"))

        def first(outcome):
            hedged.wait(5)
            return outcome

        def second(outcome):
            hedged.set()
            return outcome

        for pair in ((failed, refused), (refused, failed)):
            hedged.clear()
            attempts = [
                lambda _, run=run, outcome=outcome: run(outcome)
                for run, outcome in zip((first, second), pair, strict=True)
            ]
            self.assertFalse(self.run_hedged(*attempts).error.proves_not_run)

    def test_the_hedge_response_is_discarded_when_the_first_attempt_raises(self):
        def first(_):
            time.sleep(0.05)
            raise RuntimeError

        def second(cancellation):
            self.wait_for_cancel(cancellation)
            return Ok("hedge")

        self.assertRaises(RuntimeError, self.run_hedged, first, second)
        end = time.monotonic() + 5
        while not self.discarded and time.monotonic() < end:
            time.sleep(0.001)
        self.assertEqual(["hedge"], self.discarded)

    def test_no_hedge_is_sent_when_the_budget_is_used_up(self):
        while self.budget.take():
            pass
        sent = []

        def first(_):
            time.sleep(0.05)
            return Ok("first")

        self.assertEqual("first", self.run_hedged(first, sent.append).ok)
        self.assertEqual([], sent)


class CancellationTest(RedwingspringTestCase):
    def test_a_cancellation_does_not_close_a_connection_that_was_given_back(self):
        cancellation, pool = Cancellation(), _Pool()
        connection = cancellation.wrap(pool).take(None, True)
        cancellation.give_back(connection)
        cancellation.cancel()
        self.assertFalse(connection.sock.closed)
        self.assertEqual([connection], pool.idle)

    def test_a_cancelled_attempt_closes_its_connection_and_sends_nothing(self):
        cancellation, pool = Cancellation(), _Pool()
        connection = cancellation.wrap(pool).take(None, True)
        cancellation.cancel()
        self.assertTrue(connection.sock.closed)
        self.assertTrue(cancellation.guard(lambda: None)().proves_not_run)
        cancellation.give_back(connection)
        self.assertEqual([], pool.idle)


class LatencyWindowTest(RedwingspringTestCase):
    def test_the_hedge_delay_follows_the_latency_percentile_of_the_service(self):
        window = LatencyWindow()
        for number in range(100):
            self.assertIsNone(window.hedge_delay)
            window.record(0.01 if number < 98 else 0.5)
        self.assertAlmostEqual(0.01, window.median, delta=0.001)
        self.assertGreater(window.hedge_delay, 0.4)


class HedgedFleetTest(RedwingspringTestCase):
    def setUp(self):
        super().setUp()
        options = ("--slots", "8", "--work-ms", "5", "--spread", "0")
        targets = tuple(TargetSpec("fault-desk", "akl-a", options) for _ in range(3))
        defaults = {
            "balance.policy": "random",
            "hedge.share": render_ratio(0.5),
            "eject.outlier": 0,
        }
        self.fleet = BenchFleet(targets, hosts=1, defaults=defaults)
        self.fleet.__enter__()
        self.addCleanup(self.fleet.close)

    def send(self, method, count):
        for number in range(count):
            request_id = f"{method}-{number}-{time.time_ns()}"
            response = self.fleet.request(
                method, 0, "/fault-desk/x", headers={"Request-Id": request_id}
            )
            self.assertEqual(200, response.status)
            self.assertEqual(request_id, response.headers["Request-Id"])

    def test_only_idempotent_requests_are_hedged_and_the_slower_is_cancelled(self):
        self.send("POST", 150)
        self.fleet.change_target(0, slowness=100)
        self.send("POST", 9)
        self.assertEqual(0, self.fleet.count_attempts()["repeats"])
        started = time.monotonic()
        self.send("GET", 30)
        self.assertLess(time.monotonic() - started, 5)
        counts = self.fleet.count_attempts()
        self.assertGreater(counts["repeats"], 0)
        self.assertGreater(counts["cancelled"], 0)
