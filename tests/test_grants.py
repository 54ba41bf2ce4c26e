from redwingspring.grants import CLOCK_MARGIN_S, MAX_TERM_S, GrantTable
from redwingspring.policy.ramps import RampLimits, ramps
from redwingspring.policy.slots import COLD

from .base import RedwingspringTestCase

TARGET = "10.0.0.1:80"
LIMITS = RampLimits(cold_slots=1, slots=3, step_responses=2)


class GrantTableTest(RedwingspringTestCase):
    def setUp(self):
        super().setUp()
        self.now = 100.0
        allow = ramps.find("stepwise")
        self.table = GrantTable(
            lambda kind, target, progress: allow(progress, LIMITS), lambda: self.now
        )

    def pass_restart_delay(self):
        self.now += MAX_TERM_S + CLOCK_MARGIN_S

    def request_slot(self, holder="a", number=1, slot=0):
        return self.table.request(holder, number, COLD, TARGET, slot, 1.0)

    def release_slot(self, holder="a", number=1, slot=0, whole=True):
        self.table.release(holder, number, COLD, TARGET, slot, whole)

    def test_a_restarted_grantor_refuses_while_a_lost_grant_may_last(self):
        self.assertFalse(self.request_slot().granted)
        self.now += MAX_TERM_S
        self.assertFalse(self.request_slot().granted)
        self.now += CLOCK_MARGIN_S
        self.assertTrue(self.request_slot().granted)

    def test_a_slot_has_one_holder_until_expiry_and_a_clock_margin(self):
        self.pass_restart_delay()
        self.assertTrue(self.request_slot("a").granted)
        self.assertFalse(self.request_slot("b").granted)
        self.now += 1.0
        self.assertFalse(self.request_slot("b").granted)
        self.now += CLOCK_MARGIN_S
        self.assertTrue(self.request_slot("b").granted)

    def test_a_late_release_does_not_free_the_next_holders_slot(self):
        self.pass_restart_delay()
        self.request_slot("a", 1)
        self.now += 2.0
        self.request_slot("b", 2)
        self.release_slot("a", 1)
        self.assertFalse(self.request_slot("c", 3).granted)

    def test_only_complete_responses_advance_the_ramp(self):
        self.pass_restart_delay()
        self.assertFalse(self.request_slot(slot=1).granted)
        for number, whole in ((1, True), (2, False), (3, True)):
            self.request_slot(number=number)
            self.release_slot(number=number, whole=whole)
        self.assertEqual(2, self.request_slot(number=4).slots_allowed)
        self.assertTrue(self.request_slot(number=5, slot=1).granted)

    def test_the_ramp_restarts_for_a_target_that_turns_cold_again(self):
        self.pass_restart_delay()
        for number in range(6):
            self.request_slot(number=number)
            self.release_slot(number=number)
        self.assertEqual(4, self.request_slot(number=7).slots_allowed)
        self.release_slot(number=7, whole=False)
        self.table.reset_ramp(TARGET)
        self.assertEqual(1, self.request_slot(number=8).slots_allowed)
