import random
from dataclasses import replace

from redwingspring.gossip import MAX_DATAGRAM_BYTES, decode_gossip, encode_gossip
from redwingspring.members import (
    FAILURE_TIMEOUT_S,
    MAX_ENTRIES,
    Member,
    MemberReport,
    Members,
    MemberState,
    compute_capacity,
)

from .base import RedwingspringTestCase

DATA_CENTRES = ("akl-a", "ham-b", "wlg-c", "dud-d")


def build_member(number, started_at=1000, beat=1, state=MemberState.SERVING):
    return Member(
        f"host-{number}",
        f"10.0.{number // 200}.{number % 200}:8161",
        f"10.0.{number // 200}.{number % 200}:7720",
        DATA_CENTRES[number % 4],
        started_at,
        beat,
        state,
    )


class CapacityTest(RedwingspringTestCase):
    def test_a_slow_link_counts_like_a_slow_processor(self):
        self.assertEqual(86, compute_capacity(0.86, 1000.0))
        self.assertEqual(5, compute_capacity(0.43, 5.0))
        self.assertEqual(1, compute_capacity(0.01, 0.1))


class MembersTest(RedwingspringTestCase):
    def setUp(self):
        super().setUp()
        self.now = 50.0
        self.members = Members(build_member(0), self.clock)

    def clock(self):
        return self.now

    @property
    def serving(self):
        return self.members.list_serving_names()

    def hear(self, number, age_s=0.0, **changes):
        self.members.merge([MemberReport(build_member(number, **changes), age_s)])

    def test_a_host_whose_beat_stops_is_no_longer_named(self):
        self.hear(1)
        self.now += FAILURE_TIMEOUT_S + 0.1
        self.hear(1)
        self.assertEqual(["host-0"], self.serving)

    def test_a_leaving_host_is_no_longer_named_and_does_not_come_back(self):
        self.hear(1, beat=5)
        self.hear(1, beat=6, state=MemberState.LEAVING)
        self.hear(1, beat=5)
        self.assertEqual(["host-0"], self.serving)

    def test_a_host_that_starts_again_is_named_though_its_beat_is_lower(self):
        self.hear(1, beat=900)
        self.hear(1, started_at=2000, beat=1)
        self.now += FAILURE_TIMEOUT_S - 0.1
        self.hear(1, started_at=2000, beat=2)
        self.now += 0.2
        self.assertEqual(["host-0", "host-1"], self.serving)

    def test_a_start_after_a_step_back_of_the_clock_is_found(self):
        self.hear(1, started_at=9000, beat=900)
        self.now += FAILURE_TIMEOUT_S + 0.1
        self.hear(1, started_at=7000, beat=1)
        self.assertEqual(["host-0", "host-1"], self.serving)

    def test_old_news_of_a_dead_host_does_not_make_it_look_alive(self):
        self.hear(1, age_s=FAILURE_TIMEOUT_S - 0.5)
        self.assertEqual(["host-0", "host-1"], self.serving)
        self.now += 0.6
        self.assertEqual(["host-0"], self.serving)

    def test_a_report_of_this_host_by_others_is_ignored(self):
        self.hear(0, started_at=9000)
        self.assertEqual(1000, self.members.own.started_at)


class DatagramTest(RedwingspringTestCase):
    def test_a_report_survives_the_encoding(self):
        report = [
            MemberReport(replace(build_member(n), capacity=n + 1), n / 10)
            for n in range(MAX_ENTRIES)
        ]
        data = encode_gossip(report, True)
        self.assertTrue(len(data) < MAX_DATAGRAM_BYTES)
        self.assertEqual((report, True), decode_gossip(data))

    def test_bytes_that_are_no_report_are_refused(self):
        good = encode_gossip([MemberReport(build_member(1), 0.0)], False)
        source = random.Random(1)
        for _ in range(300):
            data = bytearray(good[: source.randrange(len(good))])
            for _ in range(source.randrange(4)):
                if data:
                    data[source.randrange(len(data))] = source.randrange(256)
            decode_gossip(bytes(data))
        self.assertEqual(None, decode_gossip(b""))
        self.assertEqual(None, decode_gossip(b"\xff" * 40))


class SpreadTest(RedwingspringTestCase):
    """Gossip among many hosts, without sockets."""

    def run_rounds(self, hosts, dead, rounds, source):
        for _ in range(rounds):
            self.now += 0.4
            for number, host in enumerate(hosts):
                if number in dead:
                    continue
                host.advance()
                for member in host.choose_peers(source):
                    target = int(member.name.removeprefix("host-"))
                    if target not in dead:
                        hosts[target].merge(host.choose_reports(source))

    def start(self, count, source):
        self.now = 0.0
        hosts = [Members(build_member(n), lambda: self.now) for n in range(count)]
        for host in hosts:
            for seed in hosts[:3]:
                # A host asks the seeds until another one answers.
                seed.merge([MemberReport(host.own, 0.0)])
                host.merge(seed.choose_reports(source))
        self.run_rounds(hosts, (), 12, source)
        return hosts

    def test_all_hosts_are_found_and_the_dead_are_dropped_at_135_hosts(self):
        source = random.Random(7)
        hosts = self.start(135, source)
        # A host that one answer leaves out for a moment is in the next one.
        self.assertTrue(min(len(host.list_serving()) for host in hosts) >= 0.97 * 135)
        dead = set(range(0, 135, 2))
        # A directory answer may name a dead host for six seconds.
        self.run_rounds(hosts, dead, 15, source)
        alive = {f"host-{n}" for n in range(135)} - {f"host-{n}" for n in dead}
        for number, host in enumerate(hosts):
            if number not in dead:
                named = set(host.list_serving_names())
                self.assertEqual(set(), named - alive)
                self.assertTrue(len(named) >= 0.97 * len(alive))
