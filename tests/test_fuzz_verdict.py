import errno
import os
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

FUZZ_CASES = int(os.environ.get("REDWINGSPRING_FUZZ_CASES", "400"))
# CI plays the same cases each time; scripts/fuzz_verdict.py draws fresh seeds.
SEED = int(os.environ.get("REDWINGSPRING_FUZZ_SEED", "20261205"))
MUTATION_CASES = 160
# Seeds that failed before, with the number of cases that they need.
# 735516998: a stand-in target ran a request whose head was truncated by a cut.
REGRESSION_SEEDS = ((735516998, 400),)


class FuzzVerdictTest(RedwingspringTestCase):
    def run_fuzz(self, cases, faults=FAULTS, seed=SEED):
        print(f"seed {seed}, {cases} cases")
        fuzz = VerdictFuzz(seed, cases, faults=faults).run()
        self.addCleanup(fuzz.close)
        return fuzz

    def assert_detected(self, message, *kinds):
        """Check that the fuzz detects a disabled or broken mechanism.

        Only the faults that the mechanism guards against are injected, so that
        there are enough of them with every seed.
        """
        violations = self.run_fuzz(MUTATION_CASES, kinds or FAULTS).find_violations()
        matching = [line for line in violations if line.startswith(message)]
        self.assertTrue(matching, f"seed {SEED}: no violation starts with {message!r}")

    def test_verdicts_hold_at_every_failure_point(self):
        fuzz = self.run_fuzz(FUZZ_CASES)
        print(fuzz.summarise())
        self.assertEqual([], fuzz.find_violations(), f"seed {SEED}")

    def test_regression_seeds_pass(self):
        for seed, cases in REGRESSION_SEEDS:
            fuzz = self.run_fuzz(cases, seed=seed)
            self.assertEqual([], fuzz.find_violations(), f"seed {seed}")

    def test_a_false_not_run_in_a_response_is_detected(self):
        always_unsent = property(lambda self: False, lambda self, value: None)
        with mock.patch.object(TargetConnection, "started", always_unsent, create=True):
            self.assert_detected("false not-run in the response")

    def test_a_false_not_run_on_the_request_page_is_detected(self):
        always_unsent = property(lambda self: False, lambda self, value: None)
        with mock.patch.object(TargetConnection, "started", always_unsent, create=True):
            self.assert_detected("false not-run on the page")

    def test_retries_of_non_idempotent_requests_are_detected(self):
        with mock.patch.object(Dispatcher, "_may_repeat", lambda *args: True):
            self.assert_detected("ran ", "reset-after-body", "reset-after-work")

    def test_a_crossed_response_is_detected(self):
        with mock.patch.object(upstream, "check_head", lambda *args: None):
            self.assert_detected("wrong body", "crossed-id")

    def test_a_truncated_body_relayed_as_complete_is_detected(self):
        read = TargetResponse.read

        def end_early(self):
            try:
                return read(self)
            except ResponseBroken:
                return b""

        with mock.patch.object(TargetResponse, "read", end_early):
            self.assert_detected("wrong body", "truncated", "reset-in-body")

    def test_an_id_that_stays_in_progress_is_detected(self):
        with mock.patch.object(RequestLog, "finish", lambda *args: None):
            self.assert_detected("still running on the page")

    def test_a_false_ran_is_detected(self):
        finish = RequestLog.finish

        def finish_as_ran(log, request_id, verdict):
            finish(log, request_id, Verdict.RAN)

        with mock.patch.object(RequestLog, "finish", finish_as_ran):
            self.assert_detected("false ran on the page")

    def test_a_response_with_another_id_is_detected(self):
        other_ids = iter(f"other-{number}" for number in range(MUTATION_CASES))
        with mock.patch.object(
            forwarder, "read_request_id", lambda environ: Ok(next(other_ids))
        ):
            self.assert_detected("another request's id")

    def test_a_request_without_a_response_is_detected(self):
        reset_error = ConnectionResetError(errno.ECONNRESET, "reset")
        with mock.patch.object(Forwarder, "__call__", side_effect=reset_error):
            self.assert_detected("no response")
