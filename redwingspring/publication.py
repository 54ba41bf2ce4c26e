"""Distribution of published values: the service's readers, push and pull."""

import random
import threading
import time

import tenacity

from .errors import PublicationError
from .hosts import HostState
from .messages import Pull, Value
from .rendezvous import select_readers
from .servicereader import MAX_VALUE_BYTES, StaleAnswerError
from .stamp import PublishedValue, Stamp, make_stamp
from .values import CONFIGURATION_KEY, HOSTS_KEY, KEYS

__all__ = ["CONFIGURATION_KEY", "HOSTS_KEY", "KEYS", "Publication"]

WATCH_S = 20
# All hosts together poll each key this often, whatever their number. Readers
# can be cut off from the service or served stale values without a sign; with
# at most 25 hosts, any single host that sees a new value then finds it in time.
POLLS_PER_S = 10.0
MIN_POLL_PERIOD_S = 0.5
START_WATCH_S = 1
MAX_RETRY_DELAY_S = 2.0
ROLE_CHECK_S = 0.25
# A pull that is not answered in this time is sent to the next peer that offers.
PULL_TIMEOUT_S = 0.5
# All readers push a small value to every host, which saves a round trip. A
# larger one is announced by a heartbeat and pulled once by each host.
PUSH_BYTES = 64 << 10


class Publication:
    """Keeps the values of this host as new as those of the service and peers.

    Parameters
    ----------
    values : ValueStore
        Values in force.
    reader : ServiceReader
        The configuration service.
    network : PeerNetwork
        Connections to peers.
    membership : Membership
        Hosts and their stamps.
    metrics : Metrics
        Counters.
    """

    def __init__(self, values, reader, network, membership, metrics):
        self._values = values
        self._reader = reader
        self._network = network
        self._membership = membership
        self._metrics = metrics
        self._changed = threading.Condition()
        self._received = {}
        self._newest_received = {}
        self._pulls = {}
        network.register(Pull, self._take_pull)
        network.register(Value, self._take_value)
        membership.on_stamp = self._handle_stamp

    def is_reader(self):
        """Tell whether this host watches the configuration service.

        Returns
        -------
        bool
            True when it is among the first hosts by rendezvous hash.
        """
        membership = self._membership
        return membership.name in select_readers(membership.live_names())

    def run_watch(self, key, stopping):
        """Keep one key as new as at the service until the process stops.

        Parameters
        ----------
        key : str
            ``configuration`` or ``hosts``.
        stopping : threading.Event
            Set when the process stops.
        """
        # The first read does not wait, so that a start is quick.
        self._read(key, 0, stopping)
        next_poll = self._schedule_poll()
        while not stopping.is_set():
            if self._is_needed(key):
                # A starting host counts as a reader until it has heard others.
                starting = self._membership.state is HostState.STARTING
                self._read(key, START_WATCH_S if starting else WATCH_S, stopping)
                next_poll = self._schedule_poll()
            elif time.monotonic() >= next_poll:
                self._read(key, 0, stopping)
                next_poll = self._schedule_poll()
            else:
                stopping.wait(ROLE_CHECK_S)

    def run_apply(self, stopping):
        """Put values received from peers in force until the process stops.

        Parameters
        ----------
        stopping : threading.Event
            Set when the process stops.
        """
        # A thread of its own: parsing a large document must not delay the
        # heartbeats that come on the same connection.
        while not stopping.is_set():
            with self._changed:
                if not self._received:
                    self._changed.wait(1.0)
                    continue
                value, source = self._received.pop(next(iter(self._received)))
            if self._values.offer(value, source):
                self._membership.update()

    def _schedule_poll(self):
        hosts = len(self._membership.live_names())
        period = max(MIN_POLL_PERIOD_S, hosts / POLLS_PER_S)
        return time.monotonic() + period * random.uniform(0.5, 1.5)

    def _is_needed(self, key):
        """Tell whether this host has to reach the service for a key."""
        return self._values.get(key) is None or self.is_reader()

    def _read(self, key, wait, stopping):
        """Read a key once; a reader retries until the service answers."""
        retrying = tenacity.Retrying(
            retry=tenacity.retry_if_exception_type(PublicationError),
            wait=tenacity.wait_random_exponential(0.25, MAX_RETRY_DELAY_S),
            stop=lambda state: stopping.is_set() or not self._is_needed(key),
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
                # A peer may have delivered another value of this revision first.
                self._values.note_stamp(key, value.stamp, "read from the service")
                # Without this pause a service that ignores ``after`` would be
                # asked in a loop.
                raise StaleAnswerError(value.stamp.revision)
        except StaleAnswerError as error:
            if error.revision < self._values.stamp(key).revision:
                self._values.report_older(key, error.revision, "the service")
            raise
        except PublicationError:
            self._metrics.increment("publication.failed_calls")
            raise
        return value

    def _push(self, value):
        """Deliver a value read from the service to the peers that lack it."""
        stamp = value.stamp
        if len(value.text) > PUSH_BYTES:
            self._membership.send_heartbeats()
            return
        message = Value(value.key, stamp.revision, stamp.digest, value.text)
        for name in self._membership.peer_names():
            known = self._membership.peer_stamp(name, value.key)
            lacks_value = known is None or known < stamp
            if lacks_value and self._network.send(name, message):
                self._metrics.increment("publication.pushes")

    def _handle_stamp(self, sender, key, stamp):
        """Pull a value that a peer's heartbeat shows to be newer."""
        self._values.note_stamp(key, stamp, sender)
        if self._values.is_settled(key, stamp):
            return
        now = time.monotonic()
        with self._changed:
            received = self._newest_received.get(key)
            if received is not None and stamp <= received:
                return
            asked, deadline, _ = self._pulls.get(key, (stamp, 0.0, ""))
            if stamp <= asked and now < deadline:
                return
            if self._network.send(sender, Pull(key, stamp.revision, stamp.digest)):
                self._pulls[key] = (stamp, now + PULL_TIMEOUT_S, sender)
                self._metrics.increment("publication.pulls")

    def _take_pull(self, sender, pull):
        value = self._values.get(pull.key)
        if value is None or value.stamp < Stamp(pull.revision, pull.digest):
            return
        stamp = value.stamp
        if self._network.send(
            sender, Value(value.key, stamp.revision, stamp.digest, value.text)
        ):
            self._metrics.increment("publication.pulls_answered")

    def _take_value(self, sender, message):
        key = message.key
        stamp = Stamp(message.revision, message.digest)
        if key not in KEYS or len(message.text.encode()) > MAX_VALUE_BYTES:
            self._metrics.increment("publication.bad_values")
            return
        self._values.note_stamp(key, stamp, sender)
        if self._values.is_settled(key, stamp):
            self._metrics.increment("publication.ignored")
            return
        if make_stamp(message.revision, message.text) != stamp:
            self._metrics.increment("publication.bad_values")
            return
        with self._changed:
            newest = self._newest_received.get(key)
            if newest is not None and stamp <= newest:
                return
            asked = self._pulls.pop(key, None)
            pulled = asked is not None and asked[2] == sender
            source = f"{'pulled from' if pulled else 'pushed by'} {sender}"
            self._newest_received[key] = stamp
            self._received[key] = (PublishedValue(key, stamp, message.text), source)
            self._changed.notify()
