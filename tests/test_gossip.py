import random
from dataclasses import replace

from redwingspring.decisions import DecisionLog
from redwingspring.drainnotices import (
    MAX_SHARED_NOTICES,
    DrainNotice,
    TargetRun,
)
from redwingspring.gossip import (
    MAX_DATAGRAM_BYTES,
    GossipMessage,
    GossipNetwork,
    decode_gossip,
    encode_gossip,
)
from redwingspring.members import (
    FAILURE_TIMEOUT_S,
    MAX_ENTRIES,
    Member,
    MemberReport,
    Members,
    MemberState,
    compute_capacity,
)
from redwingspring.metrics import Metrics

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
    def test_capacity_is_limited_by_a_slow_link(self):
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

    def merge_report(self, number, age_s=0.0, **changes):
        self.members.merge([MemberReport(build_member(number, **changes), age_s)])

    def test_a_host_whose_heartbeat_stops_is_no_longer_listed(self):
        self.merge_report(1)
        self.now += FAILURE_TIMEOUT_S + 0.1
        self.merge_report(1)
        self.assertEqual(["host-0"], self.serving)

    def test_a_leaving_host_is_not_listed_again_after_an_older_report(self):
        self.merge_report(1, beat=5)
        self.merge_report(1, beat=6, state=MemberState.LEAVING)
        self.merge_report(1, beat=5)
        self.assertEqual(["host-0"], self.serving)

    def test_a_restarted_host_is_listed_although_its_heartbeat_is_lower(self):
        self.merge_report(1, beat=900)
        self.merge_report(1, started_at=2000, beat=1)
        self.now += FAILURE_TIMEOUT_S - 0.1
        self.merge_report(1, started_at=2000, beat=2)
        self.now += 0.2
        self.assertEqual(["host-0", "host-1"], self.serving)

    def test_a_restart_after_the_wall_clock_stepped_back_is_found(self):
        self.merge_report(1, started_at=9000, beat=900)
        self.now += FAILURE_TIMEOUT_S + 0.1
        self.merge_report(1, started_at=7000, beat=1)
        self.assertEqual(["host-0", "host-1"], self.serving)

    def test_an_aged_report_of_a_dead_host_does_not_keep_it_alive(self):
        self.merge_report(1, age_s=FAILURE_TIMEOUT_S - 0.5)
        self.assertEqual(["host-0", "host-1"], self.serving)
        self.now += 0.6
        self.assertEqual(["host-0"], self.serving)

    def test_a_report_of_this_host_by_others_is_ignored(self):
        self.merge_report(0, started_at=9000)
        self.assertEqual(1000, self.members.own.started_at)


class DatagramTest(RedwingspringTestCase):
    def test_reports_survive_encoding_and_decoding(self):
        reports = tuple(
            MemberReport(replace(build_member(n), capacity=n + 1), n / 10)
            for n in range(MAX_ENTRIES)
        )
        notices = tuple(
            DrainNotice(TargetRun("i" * 100 + str(n), 1700000000000, "10.0.0.9:80"), n)
            for n in range(MAX_SHARED_NOTICES)
        )
        message = GossipMessage(reports, True, notices)
        data = encode_gossip(message)
        self.assertTrue(len(data) < MAX_DATAGRAM_BYTES)
        self.assertEqual(message, decode_gossip(data))

    def test_only_news_of_known_runs_are_decoded(self):
        known = {f"host-{n}": build_member(n, beat=5) for n in range(4)}
        newer = replace(known["host-1"], beat=6)
        leaving = replace(known["host-2"], state=MemberState.LEAVING)
        restarted = replace(known["host-3"], started_at=2000, beat=1, capacity=40)
        members = (known["host-0"], newer, leaving, restarted, build_member(9))
        reports = tuple(MemberReport(member, 0.0) for member in members)
        data = encode_gossip(GossipMessage(reports))
        decoded = decode_gossip(data, known.get)
        self.assertEqual(reports[1:], decoded.reports)

    def test_a_host_that_is_known_only_as_dead_is_found_again_by_its_next_beat(self):
        now = [0.0]
        members = Members(build_member(0), lambda: now[0])
        members.merge([MemberReport(build_member(1, beat=5), 0.0)])
        now[0] += 10
        report = MemberReport(build_member(1, beat=6), 0.0)
        data = encode_gossip(GossipMessage((report,)))
        found = members.merge(decode_gossip(data, members.find).reports)
        self.assertEqual(["host-1"], [member.name for member in found])

    def test_a_malformed_datagram_is_rejected(self):
        notice = DrainNotice(TargetRun("i-1", 1, "10.0.0.9:80"))
        report = MemberReport(build_member(1), 0.0)
        good = encode_gossip(GossipMessage((report,), False, (notice,)))
        rng = random.Random(1)
        for _ in range(300):
            data = bytearray(good[: rng.randrange(len(good))])
            for _ in range(rng.randrange(4)):
                if data:
                    data[rng.randrange(len(data))] = rng.randrange(256)
            decode_gossip(bytes(data))
        self.assertEqual(None, decode_gossip(b""))
        self.assertEqual(None, decode_gossip(b"\xff" * 40))


class SocketStub:
    """Records what is sent."""

    def __init__(self):
        self.sent = []

    def sendto(self, data, address):
        self.sent.append((data, address))


class AnnouncementTest(RedwingspringTestCase):
    def test_an_announcement_to_hundreds_of_hosts_is_short(self):
        """All hosts start together: 312 of them send 311 datagrams each."""
        members = Members(build_member(0), lambda: 0.0)
        members.merge(MemberReport(build_member(n), 0.0) for n in range(1, 312))
        metrics = Metrics()
        network = GossipNetwork(
            members, "127.0.0.1:0", (), metrics, DecisionLog(metrics)
        )
        network._socket.close()
        network._socket = SocketStub()
        network.announce(MemberState.LEAVING)
        self.assertEqual(311, len({address for _, address in network._socket.sent}))
        self.assertTrue(sum(len(data) for data, _ in network._socket.sent) < 311 * 120)
        [report] = decode_gossip(network._socket.sent[0][0]).reports
        self.assertEqual(("host-0", MemberState.LEAVING), read_state(report))


def read_state(report):
    return report.member.name, report.member.state


class GossipConvergenceTest(RedwingspringTestCase):
    """Simulates gossip among many hosts without sockets."""

    def run_rounds(self, hosts, dead, rounds, rng):
        for _ in range(rounds):
            self.now += 0.4
            for number, host in enumerate(hosts):
                if number in dead:
                    continue
                host.advance()
                for member in host.choose_peers(rng):
                    target = int(member.name.removeprefix("host-"))
                    if target not in dead:
                        hosts[target].merge(host.choose_reports(rng))

    def start(self, count, rng):
        self.now = 0.0
        hosts = [Members(build_member(n), lambda: self.now) for n in range(count)]
        for host in hosts:
            for seed in hosts[:3]:
                # A host sends to the seeds until another host replies.
                seed.merge([MemberReport(host.own, 0.0)])
                host.merge(seed.choose_reports(rng))
        self.run_rounds(hosts, (), 12, rng)
        return hosts

    def test_135_hosts_find_each_other_and_drop_dead_hosts(self):
        rng = random.Random(7)
        hosts = self.start(135, rng)
        # A directory response may briefly omit a host; the next one contains it.
        self.assertTrue(min(len(host.list_serving()) for host in hosts) >= 0.97 * 135)
        dead = set(range(0, 135, 2))
        # A directory response may name a dead host for six seconds.
        self.run_rounds(hosts, dead, 15, rng)
        alive = {f"host-{n}" for n in range(135)} - {f"host-{n}" for n in dead}
        for number, host in enumerate(hosts):
            if number not in dead:
                listed = set(host.list_serving_names())
                self.assertEqual(set(), listed - alive)
                self.assertTrue(len(listed) >= 0.97 * len(alive))
