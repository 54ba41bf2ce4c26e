"""Simulated time, hosts and network for the pure decisions on rate limits."""

import heapq
import itertools
import random

from redwingspring.policy.rendezvous import rank_hosts
from redwingspring.policy.usageallotments import RateLimit, UsageBound
from redwingspring.policy.usagecaps import UsageOwner
from redwingspring.policy.usagehosts import UsageHosts
from redwingspring.policy.usagemessages import UsageAsk
from redwingspring.policy.usagerights import StaticShare, UsageRights

DATA_CENTRES = ("akl-a", "ham-b", "wlg-c")
TICK_S = 0.1
TIMEOUT_S = 0.3
REPEATS_S = (0.04, 0.1, 0.18)
# Range of the time after which a host notices a lost or a new one.
LOSS_S = (3.6, 5.0)
JOIN_S = (0.05, 1.0)
TEAM = 77


class SimulatedHost:
    """One run of a host: the parts that decide, and its view of the others."""

    def __init__(self, simulation, number):
        self.simulation = simulation
        self.number = number
        self.name = f"host-{number}"
        self.data_centre = DATA_CENTRES[number % 3]
        self.is_alive = True
        self.is_leaving = False
        self.resumes_at = 0.0
        self.limit = simulation.limit
        self.view = {self.name: self.data_centre}
        self.is_view_changed = True
        now = simulation.now
        bound = simulation.bound
        self.sequence = itertools.count(int(now * 1e6) + 1)
        self.owner = UsageOwner(self.name, simulation.rng.randrange(1 << 32), bound)
        self.rights = UsageRights(self.name, 0, bound)
        self.static = StaticShare(bound)
        seeds = 2 if simulation.count > 1 else 0
        self.hosts = UsageHosts(
            self.name, self.data_centre, min(3, simulation.count), seeds, now
        )

    def tick(self):
        now = self.simulation.now
        leaving = self.simulation.leaving
        if self.is_view_changed:
            self.is_view_changed = False
            self.present = {n: dc for n, dc in self.view.items() if n not in leaving}
            self.ranked = self.simulation.rank(frozenset(self.present))
        self.hosts.update(self.present, leaving, now)
        place = self.hosts.find_place()
        ranked = self.ranked
        count = 0 if self.is_leaving or place is None else place.count
        for owner in self.rights.advance(now, ranked, count):
            self.send(owner)
        self.simulation.call(TICK_S, self, self.tick)

    def send(self, owner, **request):
        ask = self.rights.build_ask(
            self.simulation.now, owner, next(self.sequence), **request
        )
        self.simulation.send(self, owner, ask)
        return ask.sequence

    def receive(self, message):
        now = self.simulation.now
        if isinstance(message, UsageAsk):
            reply = self.owner.handle(message, now)
            self.simulation.send(self, message.host, reply)
            return
        request = self.simulation.waiting.pop((self, message.sequence), None)
        if request is not None and request.wait_for(message):
            fields = {"returned": True, "issued": message.stamp}
            self.send(message.host, team=TEAM, limit=self.limit, **fields)
        if self.rights.record_reply(message, now):
            owner = self.rights.choose_owner(now)
            if owner is not None:
                self.send(owner)


class SimulatedRequest:
    """A request that waits for a token."""

    def __init__(self, host):
        self.host = host
        self.simulation = host.simulation
        self.sent_at = self.simulation.now
        self.is_over = False
        self.ask()
        for delay_s in REPEATS_S:
            self.simulation.call(delay_s, host, self.ask)
        self.simulation.call(TIMEOUT_S, host, self.give_up)

    def ask(self):
        if self.is_over:
            return
        owner = self.host.rights.choose_owner(self.simulation.now)
        if owner is not None:
            sequence = self.host.send(owner, team=TEAM, limit=self.host.limit)
            self.simulation.waiting[(self.host, sequence)] = self

    def wait_for(self, reply):
        """Use a reply; tell whether its token must be returned."""
        is_late = self.simulation.now - self.sent_at > TIMEOUT_S
        if self.is_over or is_late:
            return reply.granted
        if reply.granted or not reply.is_starting:
            self.end(reply.granted)
        return False

    def give_up(self):
        if not self.is_over:
            window_s = self.simulation.bound.window_s
            now = self.simulation.now
            place = self.host.hosts.find_steady_place(window_s, now)
            self.end(self.host.static.take(TEAM, self.host.limit, place, now))

    def end(self, is_admitted):
        self.is_over = True
        now = self.simulation.now
        times = self.simulation.admitted if is_admitted else self.simulation.rejected
        times.append(now)


class Simulation:
    """Hosts that exchange messages in simulated time."""

    def __init__(self, count, limit, seed=1, loss=0.0, latency_s=(0.0005, 0.003)):
        self.rng = random.Random(seed)
        self.count = count
        self.bound = UsageBound()
        self.limit = RateLimit(*limit)
        self.loss = loss
        self.latency_s = latency_s
        self.now = 100.0
        self.events = []
        self.order = itertools.count()
        self.waiting = {}
        self.admitted, self.rejected = [], []
        self.leaving = set()
        self.side = {}
        self.ranks = {}
        self.messages = 0
        self.hosts = {}
        for number in range(count):
            self.start(number)

    def rank(self, names):
        if names not in self.ranks:
            self.ranks[names] = rank_hosts(names, "group")
        return self.ranks[names]

    def call(self, delay_s, host, function, *args):
        item = (self.now + delay_s, next(self.order), host, function, args)
        heapq.heappush(self.events, item)

    def run(self, duration_s):
        end = self.now + duration_s
        while self.events and self.events[0][0] <= end:
            self.now, _, host, function, args = heapq.heappop(self.events)
            if host is not None and not host.is_alive:
                continue
            if host is not None and host.resumes_at > self.now:
                self.call(host.resumes_at - self.now, host, function, *args)
                continue
            function(*args)
        self.now = end

    def send(self, sender, receiver, message):
        self.messages += 1
        host = self.hosts.get(receiver)
        is_cut = self.side.get(sender.name) != self.side.get(receiver)
        if host is None or is_cut or self.rng.random() < self.loss:
            return
        delay_s = 0.0 if host is sender else self.rng.uniform(*self.latency_s)
        self.call(delay_s, host, host.receive, message)

    def start(self, number):
        """Start a host, also again; all connected hosts find each other."""
        host = SimulatedHost(self, number)
        self.leaving.discard(host.name)
        self.hosts[host.name] = host
        self.call(self.rng.uniform(0, TICK_S), host, host.tick)
        self.call(self.rng.uniform(*JOIN_S), host, self.connect, host)
        for other in self.hosts.values():
            self.call(self.rng.uniform(*JOIN_S), other, self.notice, other, host)

    def notice(self, host, other):
        if self.side.get(host.name) == self.side.get(other.name) and other.is_alive:
            host.view[other.name] = other.data_centre
            host.is_view_changed = True

    def connect(self, host):
        for other in self.hosts.values():
            self.notice(host, other)

    def kill(self, numbers):
        lost = {f"host-{number}" for number in numbers}
        for name in lost:
            self.hosts[name].is_alive = False
        self.forget_later()

    def forget_later(self):
        for host in self.hosts.values():
            self.call(self.rng.uniform(*LOSS_S), host, self.forget, host)

    def forget(self, host):
        """Drop the hosts that the host cannot hear."""
        side = self.side.get(host.name)
        host.is_view_changed = True
        for name in list(host.view):
            if self.side.get(name) != side or not self.hosts[name].is_alive:
                del host.view[name]

    def leave(self, number):
        host = self.hosts[f"host-{number}"]
        host.is_leaving = True
        self.leaving.add(host.name)
        for other in self.hosts.values():
            other.is_view_changed = True
        self.call(6.0, host, self.kill, [number])

    def suspend(self, numbers, duration_s):
        for number in numbers:
            self.hosts[f"host-{number}"].resumes_at = self.now + duration_s

    def partition(self, is_other_side):
        """Cut the hosts of which a function of their number is true off the others."""
        for host in self.hosts.values():
            self.side[host.name] = bool(is_other_side(host.number))
        self.forget_later()

    def heal(self):
        self.side.clear()
        for host in self.hosts.values():
            self.call(self.rng.uniform(*JOIN_S), host, self.connect, host)

    def request(self, number):
        host = self.hosts[f"host-{number}"]
        if host.is_alive:
            SimulatedRequest(host)

    def schedule(self, time, number):
        host = self.hosts[f"host-{number}"]
        self.call(time, host, self.request, number)

    def flood(self, duration_s, rate_per_s, choose=None):
        """Send requests evenly in time to chosen hosts."""
        choose = choose or (lambda: self.rng.randrange(self.count))
        time = 0.0
        while time < duration_s:
            time += self.rng.expovariate(rate_per_s)
            self.call(time, None, self.request, choose())

    def conform(self, duration_s, choose=None, bursts=True):
        """Send what the token bucket of the rate limit allows; return the number."""
        choose = choose or (lambda: self.rng.randrange(self.count))
        rate, burst = self.limit.rate_per_s, max(1.0, self.limit.burst)
        level, time, sent = burst, 0.0, 0
        while True:
            # Quiet periods fill the bucket, after which a burst empties it at once.
            is_quiet = bursts and self.rng.random() < 0.05
            gap_s = burst / rate if is_quiet else self.rng.expovariate(rate)
            time += gap_s
            level = min(burst, level + gap_s * rate)
            if time >= duration_s:
                return sent
            for _ in range(int(level) if is_quiet else 1):
                if level >= 1.0:
                    level -= 1.0
                    sent += 1
                    self.call(time, None, self.request, choose())

    def find_excess(self):
        """Return by how much the fullest window exceeds the bound of the limit."""
        times = sorted(self.admitted)
        most, start = 0, 0
        for end, time in enumerate(times):
            while time - times[start] >= self.bound.window_s:
                start += 1
            most = max(most, end - start + 1)
        return most - self.bound.compute_bound(self.limit)
