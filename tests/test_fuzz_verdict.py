import errno
import os
import random
from unittest import mock

from expression import Ok

from redwingspring import forwarder, upstream
from redwingspring.dispatch import Dispatcher
from redwingspring.forwarder import Forwarder
from redwingspring.requestlog import RequestLog
from redwingspring.targetconnection import ResponseBroken, TargetConnection
from redwingspring.targetresponse import TargetResponse
from redwingspring.verdict import Verdict

from .base import RedwingspringTestCase
from .fuzzverdict import FAULTS, VerdictFuzz

CASES = int(os.environ.get("REDWINGSPRING_FUZZ_CASES", "400"))
SEED = int(os.environ.get("REDWINGSPRING_FUZZ_SEED", random.randrange(1 << 30)))
MUTATION_CASES = 160
# Seeds that failed once, with the number of cases they need.
# 735516998: a stand-in target ran a head that the connection had cut off.
FAILED_SEEDS = ((735516998, 400),)


class FuzzVerdictTest(RedwingspringTestCase):
    def run_fuzz(self, cases, faults=FAULTS, seed=SEED):
        fuzz = VerdictFuzz(seed, cases, faults=faults).run()
        self.addCleanup(fuzz.close)
        return fuzz

    def assert_found(self, message, *kinds):
        """Check that the fuzz finds a fault when its mechanism is off.

        The kinds of faults are those that the mechanism guards against, so
        that every seed has enough of them.
        """
        faults = self.run_fuzz(MUTATION_CASES, kinds or FAULTS).find_violations()
        found = [fault for fault in faults if fault.startswith(message)]
        self.assertTrue(found, f"seed {SEED}: nothing starts with {message!r}")

    def test_no_promise_is_broken_at_any_point_of_failure(self):
        fuzz = self.run_fuzz(CASES)
        print(f"seed {SEED}, {CASES} cases: {fuzz.summarise()}")
        self.assertEqual([], fuzz.find_violations(), f"seed {SEED}")

    def test_seeds_that_failed_once_pass(self):
        for seed, cases in FAILED_SEEDS:
            fuzz = self.run_fuzz(cases, seed=seed)
            self.assertEqual([], fuzz.find_violations(), f"seed {seed}")

    def test_a_connection_that_forgets_what_it_sent_is_found(self):
        forgetful = property(lambda self: False, lambda self, value: None)
        with mock.patch.object(TargetConnection, "started", forgetful, create=True):
            self.assert_found("false not-run in the response")

    def test_a_false_page_is_found(self):
        forgetful = property(lambda self: False, lambda self, value: None)
        with mock.patch.object(TargetConnection, "started", forgetful, create=True):
            self.assert_found("false not-run on the page")

    def test_retries_of_non_idempotent_requests_are_found(self):
        with mock.patch.object(Dispatcher, "_may_repeat", lambda *args: True):
            self.assert_found("ran ", "reset-after-body", "reset-after-work")

    def test_a_crossed_response_is_found(self):
        with mock.patch.object(upstream, "check_head", lambda *args: None):
            self.assert_found("wrong body", "crossed-id")

    def test_a_short_body_that_looks_whole_is_found(self):
        read = TargetResponse.read

        def end_early(self):
            try:
                return read(self)
            except ResponseBroken:
                return b""

        with mock.patch.object(TargetResponse, "read", end_early):
            self.assert_found("wrong body", "truncated", "reset-in-body")

    def test_an_id_that_stays_in_progress_is_found(self):
        with mock.patch.object(RequestLog, "finish", lambda *args: None):
            self.assert_found("still running on the page")

    def test_a_false_ran_is_found(self):
        finish = RequestLog.finish

        def finish_as_ran(log, request_id, verdict):
            finish(log, request_id, Verdict.RAN)

        with mock.patch.object(RequestLog, "finish", finish_as_ran):
            self.assert_found("false ran on the page")

    def test_a_response_with_another_id_is_found(self):
        named = iter(f"other-{number}" for number in range(MUTATION_CASES))
        with mock.patch.object(
            forwarder, "read_request_id", lambda environ: Ok(next(named))
        ):
            self.assert_found("another request's id")

    def test_a_request_without_a_response_is_found(self):
        cut = ConnectionResetError(errno.ECONNRESET, "reset")
        with mock.patch.object(Forwarder, "__call__", side_effect=cut):
            self.assert_found("no response")
