"""Decisions on overload: pressure, precedence, and replays of a burst."""

from redwingspring.policy.loadsamples import LoadSample
from redwingspring.policy.precedence import (
    Precedence,
    compute_wait_factor,
    has_pressure,
)
from redwingspring.policy.pressure import MIN_SAMPLES, ServicePressure, has_room
from redwingspring.policy.waitpolicy import (
    PROBE_INTERVAL_S,
    RequestTiming,
    accepts_target,
)
from redwingspring.routes import (
    CallerLimits,
    Route,
    RoutedService,
    ServiceProfile,
    WeightedService,
    build_table,
)

from .base import RedwingspringTestCase
from .overloadreplay import Clock, Kind, OverloadReplay

SLOWDOWN = 1.7
PROFILE = ServiceProfile(highest_priority=0, shortest_latency_s=0.475)
KINDS = (
    Kind("search", 0, 0.475, 0.16, 0.68),
    Kind("order", 1, 0.587, 0.21, 0.22),
    Kind("upload", 2, 3.2, 0.2, 0.1),
)
CALM_S = 0.6
BURST_S = 1.5
# A few probe intervals of a request that waits, and the window of the samples.
AGREEMENT_S = 0.5


class PressureTest(RedwingspringTestCase):
    def test_the_share_of_full_targets_is_that_of_recent_samples(self):
        clock = Clock()
        pressure = ServicePressure(clock)
        for _ in range(MIN_SAMPLES):
            pressure.record(True)
        self.assertEqual(0.0, pressure.full_share)
        clock.now += 1.0
        for has_room_now in (False, False, False, False, False, False, True, True):
            pressure.record(has_room_now)
        self.assertEqual(0.75, pressure.full_share)
        clock.now += 1.0
        self.assertEqual(0.0, pressure.full_share)

    def test_single_full_targets_are_no_pressure(self):
        pressure = ServicePressure(Clock())
        for _ in range(MIN_SAMPLES - 1):
            pressure.record(False)
        self.assertEqual(0.0, pressure.full_share)

    def test_a_slow_full_or_unhealthy_target_has_no_room(self):
        self.assertTrue(has_room(LoadSample(1, 0, 3), SLOWDOWN))
        for sample in (
            LoadSample(1, 0, 3, slowness=5.0),
            LoadSample(2, 0, 3),
            LoadSample(3, 0, 3),
            LoadSample(1, 1, 3),
            LoadSample(0, 0, 3, healthy=False),
        ):
            self.assertFalse(has_room(sample, SLOWDOWN), sample)
        # The last slot counts where its use makes a target answer more requests.
        self.assertTrue(has_room(LoadSample(1, 0, 2), SLOWDOWN))

    def test_pressure_depends_on_the_most_urgent_route(self):
        urgent = ServiceProfile(0, 0.3)
        patient = ServiceProfile(0, 3.0)
        self.assertFalse(has_pressure(0.5, urgent, PROBE_INTERVAL_S))
        self.assertTrue(has_pressure(0.8, urgent, PROBE_INTERVAL_S))
        self.assertFalse(has_pressure(0.8, patient, PROBE_INTERVAL_S))
        self.assertTrue(has_pressure(1.0, patient, PROBE_INTERVAL_S))


class PrecedenceTest(RedwingspringTestCase):
    def accepts(self, timing, running=1, slots=4, slowness=1.0):
        return accepts_target(LoadSample(running, 0, slots, slowness), timing, SLOWDOWN)

    def test_late_requests_take_only_idle_targets_under_pressure(self):
        # Late requests took slots in which requests of other hosts would have been
        # answered in time.
        pressed = Precedence(has_pressure=True)
        late = RequestTiming(0.45, 2.5, 0.475, 0.16, precedence=pressed)
        self.assertFalse(self.accepts(late))
        self.assertTrue(self.accepts(late, running=0))
        calm = RequestTiming(0.45, 2.5, 0.475, 0.16)
        self.assertTrue(self.accepts(calm))

    def test_requests_of_lower_priority_or_with_more_work_wait_longer(self):
        first = compute_wait_factor(0, PROFILE, 0.16, 0.16)
        lower = compute_wait_factor(1, PROFILE, 0.16, 0.16)
        longer = compute_wait_factor(0, PROFILE, 0.24, 0.16)
        self.assertEqual(1.0, first)
        self.assertTrue(lower < longer < first)
        for factor, expected in ((first, True), (lower, False)):
            timing = RequestTiming(
                0.05, 3.0, 0.475, 0.1, precedence=Precedence(True, factor)
            )
            self.assertEqual(expected, self.accepts(timing, slowness=2.0))

    def test_the_wait_of_every_request_counts(self):
        # Without a lower bound a kind of request with much work would starve.
        self.assertTrue(compute_wait_factor(7, PROFILE, 60.0, 0.01) >= 0.25)
        # Before the first response the least work is not known.
        self.assertEqual(1.0, compute_wait_factor(0, PROFILE, 0.16, float("inf")))

    def test_the_profile_of_a_service_covers_all_its_routes(self):
        def build_route(name, service, priority, target_latency_s):
            share = WeightedService(service, 1.0)
            return Route(
                name, f"/{name}/", (share,), True, 2, 3.0, target_latency_s, priority
            )

        routes = [
            ("a.example", build_route("r", "desk", 2, 0.3)),
            ("a.example", build_route("s", "desk", 1, 0.5)),
            ("b.example", build_route("t", "store", 3, 2.0)),
        ]
        services = [RoutedService(n, "/health", 9, 0.0, 0.0) for n in ("desk", "store")]
        table = build_table(1, routes, services, CallerLimits())
        self.assertEqual(ServiceProfile(1, 0.3), table.profiles["desk"])
        self.assertEqual(ServiceProfile(3, 2.0), table.profiles["store"])


class BurstReplayTest(RedwingspringTestCase):
    """Load pattern: 1.3 times what the targets can run, for one and a half seconds."""

    def play(self, hosts, **options):
        replay = OverloadReplay(hosts, KINDS, **options)
        replay.run(CALM_S, 0.5)
        replay.run(BURST_S, 1.3)
        return replay

    def test_hosts_agree_on_the_pressure_without_messages(self):
        for hosts in (5, 93, 300):
            replay = self.play(hosts)
            calm = [n for time, n in replay.pressed_hosts if 0.3 < time < CALM_S]
            self.assertTrue(max(calm) <= 0.05 * hosts, (hosts, calm))
            fewest, _ = replay.count_pressed(CALM_S + AGREEMENT_S)
            self.assertTrue(fewest >= 0.9 * hosts, (hosts, fewest))

    def test_more_requests_are_answered_in_time_than_without_precedence(self):
        for hosts, seeds in ((5, range(12)), (93, (1,))):
            with_precedence = sum(self.count_in_time(hosts, n, True) for n in seeds)
            without = sum(self.count_in_time(hosts, n, False) for n in seeds)
            self.assertTrue(with_precedence > without, (hosts, with_precedence))

    def count_in_time(self, hosts, seed, uses_precedence):
        replay = self.play(hosts, seed=seed, uses_precedence=uses_precedence)
        return sum(replay.in_time.values())

    def test_no_kind_of_request_starves(self):
        replay = self.play(93)
        replay.run(2.0, 0.2)
        answered = replay.in_time + replay.late
        ended = answered + replay.rejected
        share = sum(answered.values()) / sum(ended.values())
        for kind in KINDS:
            own_share = answered[kind.name] / ended[kind.name]
            self.assertTrue(own_share > share / 4, (kind.name, own_share, share))

    def test_pressure_ends_when_the_burst_is_over(self):
        replay = self.play(93)
        replay.run(3.0, 0.2)
        _, most = replay.count_pressed(replay.clock.now - 0.3)
        self.assertTrue(most <= 0.05 * 93, most)
