"""Membership of the entry hosts, and whether this host may serve requests."""

import secrets
import threading
import time
from dataclasses import replace

from .hosts import NEVER, Host, HostState, Peer, parse_hosts
from .messages import Heartbeat, Hello
from .values import CONFIGURATION_KEY, HOSTS_KEY, KEYS
from .verdict import Reason, refuse

__all__ = ["Host", "HostState", "Membership", "parse_hosts"]

HEARTBEAT_INTERVAL_S = 0.25
HEARD_TIMEOUT_S = 3.0
UPDATE_INTERVAL_S = 0.1
# Hosts that are not heard for this long are replaced as readers of the configuration
# service. A new configuration must be in force within 4 s; the rest of that time is
# left for the new readers.
LIVE_TIMEOUT_S = 1.5
# Hosts that are not in the host list are dropped when silent for this long.
FORGET_TIMEOUT_S = 10.0
# With fewer than three hosts, a host need not hear a majority to serve. A starting host
# still waits up to this long for the other host, which may know newer values.
START_WAIT_S = 2.0
MAX_UNLISTED = 256
_FOREVER = float("inf")


class Membership:
    """Tracks the other hosts and decides whether this host may serve.

    Whether a peer is heard depends on when this host sent the newest heartbeat that
    the peer has echoed. Unlike the time of receipt, this does not count heartbeats
    that waited in a socket buffer while this process was paused. It also requires that
    both directions of the network work, and needs no synchronized clocks.

    Parameters
    ----------
    name : str
        Name of this host.
    hello : Hello
        Addresses and data centre that this host announces to peers.
    network : PeerNetwork
        Connections to peers.
    values : ValueStore
        Stores the published values in force.
    audit : AuditTrail
        Records changes.
    metrics : Metrics
        Counters.
    seeds : tuple of str, default=()
        Peer addresses to connect to while this host may not serve.
    clock : callable, default=time.monotonic
        Monotonic clock in seconds.
    """

    def __init__(
        self,
        name,
        hello,
        network,
        values,
        audit,
        metrics,
        seeds=(),
        clock=time.monotonic,
    ):
        self.name = name
        self.hosts = ()
        self.state = HostState.STARTING
        self.start_id = secrets.token_hex(8)
        self.on_stamp = None
        self.on_hello = None
        self.on_heartbeat = None
        self._hello = hello
        self._network = network
        self._values = values
        self._audit = audit
        self._metrics = metrics
        self._seeds = seeds
        self._clock = clock
        self._lock = threading.Lock()
        self._peers = {}
        self._ready = False
        self._serve_until = NEVER
        self._updated_at = NEVER
        self._isolated = False
        self._started_at = clock()
        # Each process counts ticks from its own random base, so that an echo meant for
        # an earlier process of this host lies outside the range of this one.
        self._tick_base = secrets.randbits(62)
        self._connections_key = None
        network.register(Hello, self._handle_hello)
        network.register(Heartbeat, self._handle_heartbeat)

    def apply(self, hosts):
        """Apply a new host list.

        Parameters
        ----------
        hosts : tuple of Host
            The hosts in the list.
        """
        with self._lock:
            self.hosts = hosts
            self._update_serve_until()
        self._update_connections()

    def leave(self):
        """Announce to all peers that this host is leaving."""
        with self._lock:
            self.state = HostState.LEAVING
        self.send_heartbeats()

    def check_serving(self):
        """Return why this host may not serve now, or None if it may.

        Returns
        -------
        Failure or None
            A failure that proves that the request has not run.
        """
        # Called twice for each request, so the end of serving is computed beforehand.
        if self._clock() < self._serve_until:
            return None
        return self._explain_refusal()

    def find_addressable(self):
        """Return the hosts that callers may send requests to.

        Returns
        -------
        list of Host
            All hosts except those that are leaving according to the host list or to
            their own heartbeats.
        """
        with self._lock:
            hosts = self._merge_hosts(self._clock())
        return [host for host in hosts if not host.leaving]

    def live_names(self):
        """Return the hosts that are heard and not leaving.

        Returns
        -------
        list of str
            Names, including that of this host unless it is leaving.
        """
        with self._lock:
            now = self._clock()
            return [
                host.name
                for host in self._merge_hosts(now)
                if not host.leaving and self._is_heard(host.name, now, LIVE_TIMEOUT_S)
            ]

    def peer_stamp(self, name, key):
        """Return the stamp in the latest heartbeat of a peer.

        Parameters
        ----------
        name : str
            Name of the peer.
        key : str
            ``configuration`` or ``hosts``.

        Returns
        -------
        Stamp or None
            None if no heartbeat was received.
        """
        peer = self._peers.get(name)
        if peer is None or peer.heartbeat is None:
            return None
        return _read_stamp(peer.heartbeat, key)

    def peer_names(self):
        """Return all other hosts that are listed or have introduced themselves.

        Returns
        -------
        set of str
            Names, including those of leaving hosts.
        """
        names = {host.name for host in self.hosts}
        return names.union(tuple(self._peers)) - {self.name}

    def update(self):
        """Check again whether this host may serve, after a value came into force."""
        with self._lock:
            self._update_serve_until()

    def run_heartbeats(self, stopping):
        """Send heartbeats until the process stops.

        Parameters
        ----------
        stopping : threading.Event
            Set when the process stops.
        """
        while not stopping.is_set():
            self._update_connections()
            self.send_heartbeats()
            with self._lock:
                self._update_serve_until()
                self._drop_silent_peers()
            stopping.wait(HEARTBEAT_INTERVAL_S)

    def send_heartbeats(self):
        """Send one heartbeat to every known peer."""
        stamps = [self._values.stamp(key) for key in (CONFIGURATION_KEY, HOSTS_KEY)]
        with self._lock:
            echoes = {
                name: peer.heartbeat.sent_tick if peer.heartbeat else 0
                for name, peer in self._peers.items()
            }
        for name in self.peer_names():
            tick = self._tick_base + int(self._clock() * 1e6)
            self._network.send(
                name,
                Heartbeat(
                    *stamps, self.state.value, self.start_id, tick, echoes.get(name, 0)
                ),
            )

    def _handle_hello(self, sender, hello):
        with self._lock:
            if sender not in self._peers and not self._has_room(sender):
                self._metrics.increment("membership.too_many_unlisted")
                return
            peer = self._peers.get(sender, Peer())
            self._peers[sender] = replace(peer, hello=hello, received_at=self._clock())
        if self.on_hello is not None:
            self.on_hello(sender)
        self._update_connections()

    def _handle_heartbeat(self, sender, heartbeat):
        with self._lock:
            peer = self._peers.get(sender)
            if peer is None:
                return
            now = self._clock()
            confirmed_at = (heartbeat.echo_tick - self._tick_base) / 1e6
            if not self._started_at <= confirmed_at <= now:
                confirmed_at = NEVER
            self._peers[sender] = Peer(
                peer.hello, heartbeat, now, max(peer.confirmed_at, confirmed_at)
            )
            # Updates may be skipped: this can only make the host isolated earlier.
            if now >= min(self._serve_until, self._updated_at + UPDATE_INTERVAL_S):
                self._update_serve_until()
        if self.on_heartbeat is not None:
            self.on_heartbeat(sender)
        if self.on_stamp is not None:
            for key in KEYS:
                self.on_stamp(sender, key, _read_stamp(heartbeat, key))

    def _update_serve_until(self):
        """Recompute until when this host may serve; the lock must be held."""
        now = self._updated_at = self._clock()
        serve_until = self._compute_serve_until()
        if now >= self._serve_until:
            # This host has just started or was disconnected, so its values may be
            # outdated. It serves only when it has the newest values of its peers.
            if now >= serve_until or not self._has_caught_up(now):
                self._record_isolation(self._ready)
                return
            self._record_ready()
        self._serve_until = serve_until

    def _record_ready(self):
        if not self._ready:
            self._ready = True
            if self.state is HostState.STARTING:
                self.state = HostState.SERVING
            self._audit.record("host-ready", self.name, self._describe_heard())
        self._record_isolation(False)

    def _record_isolation(self, isolated):
        if isolated == self._isolated:
            return
        self._isolated = isolated
        name = "isolated" if isolated else "rejoined"
        self._metrics.increment(f"membership.{name}")
        self._audit.record(f"host-{name}", self.name, self._describe_heard())

    def _compute_serve_until(self):
        """Return the monotonic time until which a majority counts as heard."""
        listed = sum(not host.leaving for host in self.hosts)
        if listed < 3:
            return _FOREVER
        # Together with this host, this many others are a majority.
        others = listed // 2
        confirmations = sorted(
            (peer.confirmed_at for peer in self._peers.values()), reverse=True
        )
        if len(confirmations) < others:
            return NEVER
        return confirmations[others - 1] + HEARD_TIMEOUT_S

    def _has_caught_up(self, now):
        """Return whether this host has the newest values of all heard peers."""
        if any(self._values.get(key) is None for key in KEYS):
            return False
        heard = [n for n in self._peers if self._is_heard(n, now)]
        others = {host.name for host in self.hosts if not host.leaving} - {self.name}
        few_hosts = len(others) < 2
        if few_hosts and now < self._started_at + START_WAIT_S and others - {*heard}:
            return False
        return all(
            self._values.is_settled(key, _read_stamp(self._peers[n].heartbeat, key))
            for n in heard
            for key in KEYS
        )

    def _is_heard(self, name, now, max_age_s=HEARD_TIMEOUT_S):
        if name == self.name:
            return True
        peer = self._peers.get(name)
        return peer is not None and now < peer.confirmed_at + max_age_s

    def _has_room(self, sender):
        listed = {host.name for host in self.hosts}
        return sender in listed or len(self._peers.keys() - listed) < MAX_UNLISTED

    def _merge_hosts(self, now):
        """Return the listed hosts and the heard unlisted ones, with their state now."""
        merged = [self._merge_host(host) for host in self.hosts]
        listed = {host.name for host in self.hosts}
        if self.name not in listed:
            merged.append(self._make_unlisted_host(self.name, self._hello, self.state))
        merged.extend(
            self._make_unlisted_host(name, peer.hello, peer.heartbeat.state)
            for name, peer in self._peers.items()
            if name not in listed and self._is_heard(name, now)
        )
        return merged

    def _merge_host(self, host):
        if host.name == self.name:
            return replace(
                host, leaving=host.leaving or self.state is HostState.LEAVING
            )
        peer = self._peers.get(host.name)
        if peer is None or not peer.leaving:
            return host
        return replace(host, leaving=True)

    @staticmethod
    def _make_unlisted_host(name, hello, state):
        return Host(
            name,
            hello.address,
            hello.peer_address,
            hello.data_centre,
            leaving=str(state) == HostState.LEAVING.value,
        )

    def _drop_silent_peers(self):
        """Drop unlisted hosts that are silent; the lock must be held."""
        listed, oldest = (
            {host.name for host in self.hosts},
            self._clock() - FORGET_TIMEOUT_S,
        )
        self._peers = {
            name: peer
            for name, peer in self._peers.items()
            if name in listed or peer.received_at > oldest
        }

    def _update_connections(self):
        """Connect to the peers that are known now, and to the seeds if needed."""
        with self._lock:
            now = self._clock()
            addresses = {host.name: host.peer_address for host in self.hosts}
            for name, peer in self._peers.items():
                # A replacement host announces its address before the list has it.
                if peer.hello and (
                    name not in addresses or peer.received_at > now - FORGET_TIMEOUT_S
                ):
                    addresses[name] = peer.hello.peer_address
            seeds = () if now < self._serve_until else self._seeds
            connections_key = (addresses, tuple(seeds))
            if connections_key == self._connections_key:
                return
            self._connections_key = connections_key
            self._network.set_peers(addresses, seeds)

    def _describe_heard(self):
        now = self._clock()
        heard = 1 + sum(self._is_heard(name, now) for name in self._peers)
        listed = sum(not host.leaving for host in self.hosts)
        return f"heard {heard} hosts, this one included; {listed} are listed as live"

    def _explain_refusal(self):
        with self._lock:
            heard = self._describe_heard()
            if self._ready:
                return refuse(Reason.ISOLATED, f"this host is isolated: {heard}")
            missing = [key for key in KEYS if self._values.get(key) is None]
        if missing:
            cause = f"it knows no {' and no '.join(missing)}"
        else:
            cause = heard
        return refuse(Reason.NOT_READY, f"this host is starting: {cause}")


def _read_stamp(heartbeat, key):
    if key == CONFIGURATION_KEY:
        return heartbeat.configuration_stamp
    return heartbeat.hosts_stamp
