"""Distribution of published values from the configuration service to all hosts."""

import random
import threading
import time

import tenacity

from .errors import PublicationError
from .hosts import HostState
from .messages import Pull, Value
from .policy.rendezvous import select_readers
from .servicereader import MAX_VALUE_BYTES, StaleResponseError
from .stamp import PublishedValue, Stamp, make_stamp
from .values import CONFIGURATION_KEY, HOSTS_KEY, KEYS

__all__ = ["CONFIGURATION_KEY", "HOSTS_KEY", "KEYS", "Publication"]

WATCH_TIMEOUT_S = 20
# Rate at which all hosts together poll each key, whatever their number. The readers may
# be disconnected from the service or receive stale values without noticing. With at
# most 25 hosts, this rate lets any single host that can read a new value find it in
# time.
POLLS_PER_S = 10.0
MIN_POLL_PERIOD_S = 0.5
START_WATCH_TIMEOUT_S = 1
MAX_RETRY_DELAY_S = 2.0
ROLE_CHECK_INTERVAL_S = 0.25
# A pull without a response in this time is sent to the next peer whose heartbeat shows
# the value.
PULL_TIMEOUT_S = 0.5
# All readers push values up to this size to every host, which saves a round trip. A
# larger value is announced by heartbeats, and each host pulls it once.
MAX_PUSH_BYTES = 64 << 10


class Publication:
    """Keeps the values of this host up to date with the service and with peers.

    Parameters
    ----------
    values : ValueStore
        Stores the values in force.
    reader : ServiceReader
        Client of the configuration service.
    network : PeerNetwork
        Connections to peers.
    membership : Membership
        Provides the hosts and the stamps in their heartbeats.
    metrics : Metrics
        Counters.
    """

    def __init__(self, values, reader, network, membership, metrics):
        self._values = values
        self._reader = reader
        self._network = network
        self._membership = membership
        self._metrics = metrics
        self._received_changed = threading.Condition()
        self._received = {}
        self._newest_received = {}
        self._pulls = {}
        network.register(Pull, self._handle_pull)
        network.register(Value, self._handle_value)
        membership.on_stamp = self._handle_stamp

    def is_reader(self):
        """Return whether this host watches the configuration service.

        Returns
        -------
        bool
            True if it is among the first live hosts by rendezvous hash.
        """
        membership = self._membership
        return membership.name in select_readers(membership.live_names())

    def run_watch(self, key, stopping):
        """Keep one key up to date with the service until the process stops.

        Parameters
        ----------
        key : str
            ``configuration`` or ``hosts``.
        stopping : threading.Event
            Set when the process stops.
        """
        # The first read does not wait for a change, so that the host starts quickly.
        self._read(key, 0, stopping)
        next_poll = self._schedule_poll()
        while not stopping.is_set():
            if self._must_read(key):
                # A starting host is a reader until it has heard other hosts.
                starting = self._membership.state is HostState.STARTING
                self._read(
                    key,
                    START_WATCH_TIMEOUT_S if starting else WATCH_TIMEOUT_S,
                    stopping,
                )
                next_poll = self._schedule_poll()
            elif time.monotonic() >= next_poll:
                self._read(key, 0, stopping)
                next_poll = self._schedule_poll()
            else:
                stopping.wait(ROLE_CHECK_INTERVAL_S)

    def run_apply(self, stopping):
        """Apply values received from peers until the process stops.

        Parameters
        ----------
        stopping : threading.Event
            Set when the process stops.
        """
        # Runs in a thread of its own because parsing a large document must not delay
        # the heartbeats that arrive on the same connection.
        while not stopping.is_set():
            with self._received_changed:
                if not self._received:
                    self._received_changed.wait(1.0)
                    continue
                value, source = self._received.pop(next(iter(self._received)))
            if self._values.offer(value, source):
                self._membership.update()

    def _schedule_poll(self):
        hosts = len(self._membership.live_names())
        period = max(MIN_POLL_PERIOD_S, hosts / POLLS_PER_S)
        return time.monotonic() + period * random.uniform(0.5, 1.5)

    def _must_read(self, key):
        """Return whether this host must read a key from the service."""
        return self._values.get(key) is None or self.is_reader()

    def _read(self, key, wait, stopping):
        """Read a key once; retry on failure while this host must read it."""
        retrying = tenacity.Retrying(
            retry=tenacity.retry_if_exception_type(PublicationError),
            wait=tenacity.wait_random_exponential(0.25, MAX_RETRY_DELAY_S),
            stop=lambda state: stopping.is_set() or not self._must_read(key),
            sleep=tenacity.sleep_using_event(stopping),
            retry_error_callback=lambda state: None,
        )
        value = retrying(self._read_once, key, wait)
        if value is not None and self._values.offer(value, "read from the service"):
            self._membership.update()
            self._push(value)

    def _read_once(self, key, wait):
        try:
            value = self._reader.read(key, self._values.highest_revision(key), wait)
            if value is not None and self._values.is_settled(key, value.stamp):
                # A peer may have delivered a different value of this revision before.
                self._values.check_for_conflict(
                    key, value.stamp, "read from the service"
                )
                # Raise to wait before the retry. A service that ignores ``after`` would
                # otherwise be read in a loop without a pause.
                raise StaleResponseError(value.stamp.revision)
        except StaleResponseError as error:
            if error.revision < self._values.stamp(key).revision:
                self._values.report_older(key, error.revision, "the service")
            raise
        except PublicationError:
            self._metrics.increment("publication.failed_calls")
            raise
        return value

    def _push(self, value):
        """Send a value read from the service to the peers that do not have it."""
        stamp = value.stamp
        if len(value.text) > MAX_PUSH_BYTES:
            self._membership.send_heartbeats()
            return
        message = Value(value.key, stamp.revision, stamp.digest, value.text)
        for name in self._membership.peer_names():
            known = self._membership.peer_stamp(name, value.key)
            lacks_value = known is None or known < stamp
            if lacks_value and self._network.send(name, message):
                self._metrics.increment("publication.pushes")

    def _handle_stamp(self, sender, key, stamp):
        """Pull a value if the heartbeat of a peer shows a newer one."""
        self._values.check_for_conflict(key, stamp, sender)
        if self._values.is_settled(key, stamp):
            return
        now = time.monotonic()
        with self._received_changed:
            received = self._newest_received.get(key)
            if received is not None and stamp <= received:
                return
            requested, deadline, _ = self._pulls.get(key, (stamp, 0.0, ""))
            if stamp <= requested and now < deadline:
                return
            if self._network.send(sender, Pull(key, stamp.revision, stamp.digest)):
                self._pulls[key] = (stamp, now + PULL_TIMEOUT_S, sender)
                self._metrics.increment("publication.pulls")

    def _handle_pull(self, sender, pull):
        value = self._values.get(pull.key)
        if value is None or value.stamp < Stamp(pull.revision, pull.digest):
            return
        stamp = value.stamp
        if self._network.send(
            sender, Value(value.key, stamp.revision, stamp.digest, value.text)
        ):
            self._metrics.increment("publication.pulls_answered")

    def _handle_value(self, sender, message):
        key = message.key
        stamp = Stamp(message.revision, message.digest)
        if key not in KEYS or len(message.text.encode()) > MAX_VALUE_BYTES:
            self._metrics.increment("publication.bad_values")
            return
        self._values.check_for_conflict(key, stamp, sender)
        if self._values.is_settled(key, stamp):
            self._metrics.increment("publication.ignored")
            return
        if make_stamp(message.revision, message.text) != stamp:
            self._metrics.increment("publication.bad_values")
            return
        with self._received_changed:
            newest = self._newest_received.get(key)
            if newest is not None and stamp <= newest:
                return
            requested = self._pulls.pop(key, None)
            pulled = requested is not None and requested[2] == sender
            source = f"{'pulled from' if pulled else 'pushed by'} {sender}"
            self._newest_received[key] = stamp
            self._received[key] = (PublishedValue(key, stamp, message.text), source)
            self._received_changed.notify()
