import threading
import time

from redwingspring.admission import ServiceAdmission
from redwingspring.policy.retries import INITIAL_TOKENS, AttemptBudget
from redwingspring.verdict import Reason

from .base import RedwingspringTestCase
from .stubs import make_states


def deadline_in(seconds=5.0):
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
            self.assertTrue(admission.acquire_slot(deadline_in()).is_ok())

    def test_a_released_slot_goes_to_the_first_queued_request(self):
        admission = self.make_admission()
        self.fill(admission)
        results = []
        thread = threading.Thread(
            target=lambda: results.append(admission.acquire_slot(deadline_in()))
        )
        thread.start()
        while not admission.waiting:
            time.sleep(0.001)
        admission.release_slot()
        thread.join(5)
        self.assertTrue(results[0].is_ok())
        self.assertEqual(2, admission.in_flight)

    def test_a_queued_request_is_refused_after_the_maximum_wait(self):
        admission = self.make_admission()
        self.fill(admission)
        self.assert_refused(Reason.NO_CAPACITY, admission.acquire_slot(deadline_in()))
        self.assertEqual((2, 0), (admission.in_flight, admission.waiting))

    def test_a_request_is_refused_at_once_when_the_queue_is_full(self):
        admission = self.make_admission(queue_length=0)
        self.fill(admission)
        self.assert_refused(Reason.QUEUE_FULL, admission.acquire_slot(deadline_in()))

    def test_a_request_after_its_deadline_takes_no_slot(self):
        admission = self.make_admission()
        self.assert_refused(Reason.DEADLINE, admission.acquire_slot(time.time() - 1))
        self.assertEqual(0, admission.in_flight)

    def test_a_request_that_cannot_finish_before_its_deadline_is_not_queued(self):
        admission = self.make_admission()
        self.fill(admission)
        admission.latency.median = 1.0
        started = time.monotonic()
        self.assert_refused(
            Reason.NO_CAPACITY, admission.acquire_slot(deadline_in(0.9))
        )
        self.assertLess(time.monotonic() - started, 0.1)

    def test_a_request_is_refused_at_once_when_no_target_accepts_work(self):
        admission = self.make_admission()
        self.states[0].leaving = True
        self.assert_refused(Reason.NO_CAPACITY, admission.acquire_slot(deadline_in()))

    def test_refusals_by_targets_lower_the_limit_and_responses_raise_it(self):
        admission = self.make_admission(slots=10)
        self.fill(admission, 10)
        admission.record_refused()
        self.assertEqual(
            10, admission.limit, "a single refusal must not lower the limit"
        )
        for _ in range(5):
            admission.record_refused()
        self.assertEqual(
            9.0, admission.limit, "one overload must lower the limit only once"
        )
        for _ in range(20):
            admission.record_answered()
        self.assertEqual(10, admission.limit)


class AttemptBudgetTest(RedwingspringTestCase):
    def test_extra_attempts_stay_within_their_share_of_first_attempts(self):
        budget = AttemptBudget(0.1)
        taken = 0
        for _ in range(1000):
            budget.record_first_attempt()
            taken += budget.take()
        self.assertLessEqual(taken, 100 + INITIAL_TOKENS)

    def test_a_share_of_zero_allows_no_extra_attempt(self):
        self.assertFalse(AttemptBudget(0.0).take())

    def test_the_token_of_an_attempt_that_was_not_sent_can_be_returned(self):
        budget = AttemptBudget(0.1)
        while budget.take():
            pass
        budget.restore()
        self.assertTrue(budget.take())
