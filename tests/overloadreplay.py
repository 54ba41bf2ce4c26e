"""Replay of a load pattern against the decisions on overload, without a network."""

import heapq
import random
from collections import Counter, deque
from dataclasses import dataclass

from redwingspring.policy.loadsamples import LoadSample
from redwingspring.policy.precedence import (
    NO_PRESSURE,
    Precedence,
    compute_wait_factor,
    has_pressure,
)
from redwingspring.policy.pressure import ServicePressure, has_room
from redwingspring.policy.waitpolicy import (
    PROBE_INTERVAL_S,
    RequestTiming,
    accepts_target,
)
from redwingspring.routes import ServiceProfile

SLOTS = 3
NEARLY_FULL_SLOWDOWN = 1.7
BUDGET_S = 3.0
# Each waiting request searches once in a step.
STEP_S = PROBE_INTERVAL_S
PRESSURE_SAMPLE_STEPS = 4


@dataclass(frozen=True)
class Kind:
    """A kind of request: its priority, target latency, work and share of the load."""

    name: str
    priority: int
    target_latency_s: float
    work_s: float
    share: float


class Clock:
    def __init__(self):
        self.now = 0.0

    def __call__(self):
        return self.now


@dataclass
class Request:
    kind: Kind
    host: int
    arrived_at: float


class OverloadReplay:
    """Hosts that search for free slots at common targets.

    Load samples are stale by up to ``stale_s``, and ``lost_share`` of them get lost.
    """

    def __init__(self, hosts, kinds, *, uses_precedence=True, seed=1):
        self.rng = random.Random(seed)
        self.clock = Clock()
        self.kinds = kinds
        self.uses_precedence = uses_precedence
        self.stale_s = 0.02
        self.lost_share = 0.1
        self.targets = max(3, hosts)
        self.running = [0] * self.targets
        self.history = [deque([(0.0, 0)]) for _ in range(self.targets)]
        self.pressures = [ServicePressure(self.clock) for _ in range(hosts)]
        self.queues = [deque() for _ in range(hosts)]
        self.ends = []
        self.in_time, self.late, self.rejected = Counter(), Counter(), Counter()
        self.pressed_hosts = []
        self.profile = ServiceProfile(
            min(kind.priority for kind in kinds),
            min(kind.target_latency_s for kind in kinds),
        )
        self.least_work_s = min(kind.work_s for kind in kinds)

    def run(self, seconds, load):
        """Play a time with a load relative to what the targets can run."""
        mean_work_s = sum(kind.work_s * kind.share for kind in self.kinds)
        rate = load * self.targets * (SLOTS - 1) / mean_work_s
        end = self.clock.now + seconds
        due = 0.0
        steps = 0
        while self.clock.now < end:
            self.clock.now += STEP_S
            self._end_requests()
            due += rate * STEP_S
            while due >= 1:
                due -= 1
                self._arrive()
            for host, queue in enumerate(self.queues):
                self._serve_queue(host, queue)
            steps += 1
            if steps % PRESSURE_SAMPLE_STEPS == 0:
                pressed = sum(map(self._has_pressure, range(len(self.queues))))
                self.pressed_hosts.append((self.clock.now, pressed))

    def count_pressed(self, since):
        """Return the smallest and largest number of pressed hosts since a time."""
        counts = [count for time, count in self.pressed_hosts if time >= since]
        return min(counts), max(counts)

    def _arrive(self):
        kind = self.rng.choices(self.kinds, [k.share for k in self.kinds])[0]
        host = self.rng.randrange(len(self.queues))
        self.queues[host].append(Request(kind, host, self.clock.now))

    def _end_requests(self):
        while self.ends and self.ends[0][0] <= self.clock.now:
            _, target = heapq.heappop(self.ends)
            self._count(target, -1)

    def _count(self, target, change):
        self.running[target] += change
        history = self.history[target]
        history.append((self.clock.now, self.running[target]))
        while len(history) > 1 and history[1][0] <= self.clock.now - self.stale_s:
            history.popleft()

    def _has_pressure(self, host):
        share = self.pressures[host].full_share
        return has_pressure(share, self.profile, PROBE_INTERVAL_S)

    def _serve_queue(self, host, queue):
        """Let each waiting request search once, or reject it."""
        for request in list(queue):
            if self.clock.now - request.arrived_at > BUDGET_S / 2:
                queue.remove(request)
                self.rejected[request.kind.name] += 1
                continue
            target = self._search(host, request)
            if target is not None:
                queue.remove(request)
                self._place(request, target)

    def _search(self, host, request):
        timing = self._build_timing(host, request)
        for target in self.rng.sample(range(self.targets), 2):
            if self.rng.random() < self.lost_share:
                continue
            stale_running = self.history[target][0][1]
            sample = LoadSample(min(stale_running, SLOTS), 0, SLOTS)
            room = has_room(sample, NEARLY_FULL_SLOWDOWN)
            self.pressures[host].record(room)
            if accepts_target(sample, timing, NEARLY_FULL_SLOWDOWN):
                return target
        return None

    def _build_timing(self, host, request):
        kind = request.kind
        waited_s = self.clock.now - request.arrived_at
        precedence = NO_PRESSURE
        if self.uses_precedence and self._has_pressure(host):
            factor = compute_wait_factor(
                kind.priority, self.profile, kind.work_s, self.least_work_s
            )
            precedence = Precedence(True, factor)
        return RequestTiming(
            waited_s,
            BUDGET_S - waited_s,
            kind.target_latency_s,
            kind.work_s,
            precedence=precedence,
        )

    def _place(self, request, target):
        self._count(target, 1)
        running = self.running[target]
        slowdown = max(1.0, running / SLOTS)
        if running >= SLOTS:
            slowdown *= NEARLY_FULL_SLOWDOWN
        end = self.clock.now + request.kind.work_s * slowdown
        heapq.heappush(self.ends, (end, target))
        is_late = end - request.arrived_at > request.kind.target_latency_s
        outcome = self.late if is_late else self.in_time
        outcome[request.kind.name] += 1
