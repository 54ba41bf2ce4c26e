from redwingspring.policy.usageallotments import LATENESS_S, RateLimit, UsageBound
from redwingspring.policy.usagecaps import CESSION_S
from redwingspring.policy.usagehosts import HostPlace
from redwingspring.policy.usagemessages import OwnerStamp, UsageReply
from redwingspring.policy.usagerights import (
    RENEWAL_S,
    SILENCE_S,
    StaticShare,
    UsageRights,
)

from .base import RedwingspringTestCase

BOUND = UsageBound()


class UsageRightsTest(RedwingspringTestCase):
    def setUp(self):
        super().setUp()
        self.now = 100.0
        self.sequence = 0
        self.rights = UsageRights("host-1", 0, BOUND)

    def step(self, ranked, silent=(), seconds=0.1, hosts=10):
        """Exchange what is due; return the messages by their receivers."""
        self.now += seconds
        asks = {}
        for owner in self.rights.advance(self.now, ranked, hosts):
            self.sequence += 1
            ask = asks[owner] = self.rights.build_ask(self.now, owner, self.sequence)
            if owner not in silent:
                self.reply(owner, ask.sequence)
        return asks

    def reply(self, owner, sequence, run=1):
        stamp = OwnerStamp(run, int(self.now * 1000))
        self.rights.record_reply(UsageReply(0, owner, sequence, stamp), self.now)

    def run_steps(self, count, *args, **options):
        return [self.step(*args, **options) for _ in range(count)]

    def test_the_share_is_ceded_only_after_the_clock_of_the_owner_is_known(self):
        asks = [a["a"] for a in self.run_steps(12, ("a", "b")) if a]
        self.assertEqual(0, asks[0].hosts)
        self.assertEqual(10, asks[1].hosts)
        self.assertTrue(asks[1].stamp.clock_ms > 0)
        self.assertTrue(len(asks) <= 3 + 1.2 / RENEWAL_S, len(asks))

    def test_the_share_of_a_silent_owner_is_ceded_again_only_after_its_end(self):
        self.run_steps(5, ("a", "b"))
        ended_at = self.now + CESSION_S
        ceded = []
        for _ in range(30):
            asks = self.step(("a", "b"), silent=("a",))
            ceded += [self.now for ask in asks.values() if ask.host and ask.hosts]
            if "b" in asks and asks["b"].hosts:
                break
        self.assertEqual("b", self.rights.choose_owner(self.now))
        self.assertTrue(ceded[-1] >= ended_at - 0.5)
        last_to_a = max(time for time in ceded if time < ceded[-1])
        self.assertTrue(ceded[-1] >= last_to_a + CESSION_S - 0.001)

    def test_a_share_is_released_before_another_owner_gets_it(self):
        self.run_steps(5, ("a", "b"))
        steps = self.run_steps(10, ("c", "a", "b"))
        order = [
            (owner, ask.release, ask.hosts > 0)
            for asks in steps
            for owner, ask in asks.items()
        ]
        released = order.index(("a", True, False))
        self.assertTrue(released < order.index(("c", False, True)))

    def test_a_credit_is_given_once_in_a_window(self):
        credits = 0
        for number in range(40):
            asks = self.step((f"owner-{number // 4}",))
            credits += sum(ask.credit for ask in asks.values())
        self.assertEqual(1, credits)

    def test_a_restarted_owner_gets_the_share_again_at_once(self):
        """Its new process knows nothing of the share and would have no tokens."""
        self.run_steps(5, ("a",))
        self.sequence += 1
        self.reply("a", self.sequence, run=2)
        ask = self.rights.build_ask(self.now, "a", self.sequence + 1)
        self.assertEqual((10, 2), (ask.hosts, ask.stamp.run))
        self.reply("a", self.sequence - 1, run=1)
        ask = self.rights.build_ask(self.now, "a", self.sequence + 2)
        self.assertEqual(2, ask.stamp.run)

    def test_a_resumed_host_does_not_take_its_owner_for_silent(self):
        self.run_steps(5, ("a", "b"))
        self.step(("a", "b"), silent=("a",), seconds=RENEWAL_S)
        self.step(("a", "b"), seconds=10 * SILENCE_S)
        self.assertEqual("a", self.rights.choose_owner(self.now))

    def test_a_host_without_a_known_number_of_hosts_asks_but_cedes_nothing(self):
        steps = self.run_steps(12, ("a",), hosts=0)
        asks = [ask for step in steps for ask in step.values()]
        self.assertTrue(asks)
        self.assertFalse([ask for ask in asks if ask.hosts])
        self.assertEqual("a", self.rights.choose_owner(self.now))


class StaticShareTest(RedwingspringTestCase):
    def test_all_hosts_together_admit_the_static_part_in_each_window(self):
        for limit in (RateLimit(36.0, 36.0), RateLimit(1.0, 1.0)):
            shares = [StaticShare(BOUND) for _ in range(101)]
            expected = int(BOUND.allot(limit).static)
            self.assertTrue(expected > 0)
            for now in (1.0, 1.0 + BOUND.window_s, 1.1 + BOUND.window_s + LATENESS_S):
                admitted = sum(
                    share.take(12345, limit, HostPlace(index, 101), now)
                    for index, share in enumerate(shares)
                    for _ in range(9)
                )
                wanted = 0 if now == 1.0 + BOUND.window_s else expected
                self.assertEqual(wanted, admitted)

    def test_a_cancelled_request_can_be_replaced(self):
        share, place = StaticShare(BOUND), HostPlace(0, 1)
        limit = RateLimit(1.0, 1.0)
        while share.take(5, limit, place, 1.0):
            pass
        self.assertFalse(share.cancel(5, 0.5))
        self.assertTrue(share.cancel(5, 1.0))
        self.assertTrue(share.take(5, limit, place, 1.0))
        self.assertFalse(share.take(5, limit, place, 1.0))
        self.assertFalse(share.cancel(6, 1.0))
        self.assertFalse(share.take(6, limit, None, 1.0))
