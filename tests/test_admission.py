import threading
import time

from redwingspring.admission import ServiceAdmission
from redwingspring.retries import INITIAL_TOKENS, AttemptBudget
from redwingspring.verdict import Reason

from .base import RedwingspringTestCase
from .stubs import make_states


def soon(seconds=5.0):
    return time.time() + seconds


class ServiceAdmissionTest(RedwingspringTestCase):
    def make_admission(self, slots=2, **options):
        self.states = make_states(1, slots=slots)
        values = {"queue_length": 2, "queue_wait": 0.2} | options
        return ServiceAdmission(self.states, **values)

    def assert_refused(self, reason, result):
        self.assertTrue(result.is_error())
        self.assertTrue(result.error.proves_not_run)
        self.assertIs(reason, result.error.reason)

    def fill(self, admission, count=2):
        for _ in range(count):
            self.assertTrue(admission.acquire_slot(soon()).is_ok())

    def test_a_place_is_handed_to_the_first_that_waits(self):
        admission = self.make_admission()
        self.fill(admission)
        results = []
        thread = threading.Thread(
            target=lambda: results.append(admission.acquire_slot(soon()))
        )
        thread.start()
        while not admission.waiting:
            time.sleep(0.001)
        admission.release_slot()
        thread.join(5)
        self.assertTrue(results[0].is_ok())
        self.assertEqual(2, admission.in_flight)

    def test_a_wait_ends_with_a_refusal(self):
        admission = self.make_admission()
        self.fill(admission)
        self.assert_refused(Reason.NO_CAPACITY, admission.acquire_slot(soon()))
        self.assertEqual((2, 0), (admission.in_flight, admission.waiting))

    def test_a_full_queue_refuses_at_once(self):
        admission = self.make_admission(queue_length=0)
        self.fill(admission)
        self.assert_refused(Reason.QUEUE_FULL, admission.acquire_slot(soon()))

    def test_a_passed_deadline_takes_no_place(self):
        admission = self.make_admission()
        self.assert_refused(Reason.DEADLINE, admission.acquire_slot(time.time() - 1))
        self.assertEqual(0, admission.in_flight)

    def test_a_request_that_cannot_be_answered_in_time_does_not_wait(self):
        admission = self.make_admission()
        self.fill(admission)
        admission.latency.median = 1.0
        started = time.monotonic()
        self.assert_refused(Reason.NO_CAPACITY, admission.acquire_slot(soon(0.9)))
        self.assertLess(time.monotonic() - started, 0.1)

    def test_no_target_that_takes_work_refuses_at_once(self):
        admission = self.make_admission()
        self.states[0].leaving = True
        self.assert_refused(Reason.NO_CAPACITY, admission.acquire_slot(soon()))

    def test_refusals_of_targets_lower_the_limit_and_answers_raise_it(self):
        admission = self.make_admission(slots=10)
        self.fill(admission, 10)
        admission.record_refused()
        self.assertEqual(10, admission.limit, "a single refusal is no overload")
        for _ in range(5):
            admission.record_refused()
        self.assertEqual(9.0, admission.limit, "one overload counts once")
        for _ in range(20):
            admission.record_answered()
        self.assertEqual(10, admission.limit)


class BudgetTest(RedwingspringTestCase):
    def test_extra_attempts_stay_within_their_share(self):
        budget = AttemptBudget(0.1)
        taken = 0
        for _ in range(1000):
            budget.record_first_attempt()
            taken += budget.take()
        self.assertLessEqual(taken, 100 + INITIAL_TOKENS)

    def test_no_share_allows_nothing(self):
        self.assertFalse(AttemptBudget(0.0).take())

    def test_an_unused_attempt_can_be_put_back(self):
        budget = AttemptBudget(0.1)
        while budget.take():
            pass
        budget.restore()
        self.assertTrue(budget.take())
