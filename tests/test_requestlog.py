from redwingspring.requestlog import RequestLog, RequestState
from redwingspring.verdict import Verdict

from .base import RedwingspringTestCase


class RequestLogTest(RedwingspringTestCase):
    def test_a_later_refusal_does_not_hide_that_an_id_may_have_run(self):
        log = RequestLog()
        log.start("a")
        log.finish("a", Verdict.MAY_HAVE_RUN)
        log.start("a")
        log.finish("a", Verdict.NOT_RUN)
        self.assertEqual(RequestState.MAY_HAVE_RUN, log.find("a"))

    def test_a_second_post_with_a_running_id_is_not_sent(self):
        log = RequestLog()
        self.assertTrue(log.start("a", exclusive=True))
        self.assertFalse(log.start("a", exclusive=True))

    def test_a_post_may_be_sent_again_after_not_run(self):
        log = RequestLog()
        log.start("a", exclusive=True)
        log.finish("a", Verdict.NOT_RUN)
        self.assertTrue(log.start("a", exclusive=True))

    def test_the_oldest_ids_are_evicted_beyond_the_capacity(self):
        log = RequestLog(capacity=2)
        for request_id in "abc":
            log.start(request_id)
            log.finish(request_id, Verdict.RAN)
        self.assertEqual(RequestState.UNKNOWN, log.find("a"))
        self.assertEqual(RequestState.RAN, log.find("c"))

    def test_the_id_of_a_request_in_progress_is_not_evicted(self):
        # If the id were evicted, a second POST with it would be accepted.
        log = RequestLog(capacity=3)
        log.start("a", exclusive=True)
        for number in range(10):
            log.start(str(number))
            log.finish(str(number), Verdict.RAN)
        self.assertFalse(log.start("a", exclusive=True))
        log.finish("a", Verdict.NOT_RUN)
        self.assertTrue(log.start("a", exclusive=True))
