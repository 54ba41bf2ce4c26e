"""The fault soak: what it finds, and a short run of it."""

import tempfile
from pathlib import Path

from harness.soak import Soak
from harness.soakcallers import Call
from harness.soakfleet import make_body

from .base import RedwingspringTestCase

# Seeds of runs that once failed, with their cause.
REGRESSIONS = ()
SEED = 20261204
# A seed that plays planned work only.
PLANNED_SEED = 20261205
SECONDS = 5.0


def make_folder(test):
    folder = tempfile.TemporaryDirectory(prefix="soak-")
    test.addCleanup(folder.cleanup)
    return Path(folder.name)


class CheckTest(RedwingspringTestCase):
    """A soak whose checks find nothing would pass whatever the hosts do."""

    def setUp(self):
        super().setUp()
        self.soak = Soak(SEED, 0, make_folder(self))
        self.addCleanup(self.soak.fleet.close)
        self.soak._calm_since = 100.0
        for stand_in in (self.soak.fleet.store, *self.soak.fleet.targets):
            self.addCleanup(stand_in.close)

    def check(self, ran=1, **changes):
        values = {"status": 200, "body": make_body("r1"), "method": "POST"}
        call = Call(
            **{"request_id": "r1", "host": 0, "started": 50.0, "ended": 50.1}
            | values
            | changes
        )
        target = self.soak.fleet.targets[0]
        target.runs = [("r1", call.method, "/", b"")] * ran
        target.arrivals = ["r1"] * ran
        self.soak.callers[0].calls = [call]
        return [line.split(":")[0] for line in self.soak.check()]

    def test_a_sound_call_breaks_nothing(self):
        self.assertEqual([], self.check())
        self.assertEqual([], self.check(status=503, ran=0))
        self.assertEqual([], self.check(status=502, told="may-have-run"))

    def test_a_body_that_is_cut_or_foreign_is_found(self):
        problem = ["the answer is not whole or not its own"]
        self.assertEqual(problem, self.check(body=make_body("r1")[:-1]))
        self.assertEqual(problem, self.check(body=make_body("r2")))

    def test_a_false_not_run_is_found(self):
        for changes in ({"status": 503}, {"status": 504, "told": "not-run"}):
            self.assertEqual(["not-run is not true"], self.check(**changes))

    def test_a_second_run_and_too_many_attempts_are_found(self):
        twice = "a non-idempotent request ran twice"
        self.assertEqual([twice], self.check(ran=2))
        self.assertEqual([], self.check(ran=2, method="GET"))
        many = "more attempts than allowed"
        self.assertEqual([many], self.check(ran=3, method="GET"))

    def test_an_answer_that_nothing_ran_for_is_found(self):
        self.assertEqual(["an answer without a run"], self.check(ran=0))

    def test_a_late_answer_a_break_and_a_lasting_failure_are_found(self):
        late = "no answer within the deadline"
        self.assertEqual([late], self.check(ended=52.7))
        broke = "the connection broke though the host was there"
        self.assertEqual([broke], self.check(status=None))
        lasting = "not served again after the troubles"
        self.assertEqual([lasting], self.check(status=502, started=101.0, ended=101.1))

    def test_a_pipelined_request_that_a_planned_stop_cuts_is_found(self):
        self.soak.only_planned = True
        self.soak.fleet.stops[0] = [(49.0, 55.0)]
        cut = {"status": None, "method": "GET", "pipelined": True}
        problem = ["a planned stop cut a request that was passed on"]
        self.assertEqual(problem, self.check(**cut))
        self.assertEqual([], self.check(ran=0, **cut))
        self.assertEqual([], self.check(ended=56.0, **cut))

    def test_a_response_that_its_target_breaks_off_is_not_due_whole(self):
        self.soak.fleet.targets[0].broken = {"r1"}
        self.assertEqual([], self.check(status=None))

    def test_a_host_that_was_out_owes_no_answer(self):
        self.soak.fleet.outages[0] = [(49.0, 51.0)]
        self.assertEqual([], self.check(status=None, ended=53.0))


class SoakTest(RedwingspringTestCase):
    def test_no_promise_breaks_under_overlapping_troubles(self):
        for seed in (*REGRESSIONS, SEED):
            soak = Soak(seed, SECONDS, make_folder(self))
            self.assertEqual([], soak.run(), (seed, soak.played))
            self.assertGreater(len(soak.list_calls()), 100)

    def test_planned_work_loses_no_request(self):
        soak = Soak(PLANNED_SEED, SECONDS, make_folder(self))
        self.assertTrue(soak.only_planned)
        self.assertEqual([], soak.run(), soak.played)
        self.assertTrue(any(call.pipelined for call in soak.list_calls()))
