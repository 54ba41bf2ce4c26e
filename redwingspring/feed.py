"""Feed of store changes between hosts, so that few hosts call the store.

Calls to the store are priced and limited, so one host reads it on behalf of all. One
host of each data centre, the reader, long-polls that host; the other hosts long-poll
the reader of their data centre. A host whose source does not respond, or has itself
lost the store, switches to another source or to the store.
"""

import threading
from collections import deque
from urllib.parse import parse_qs

import urllib3

from .clock import read_clock
from .feedmessages import (
    FROM_STORE,
    Confirmation,
    FeedUpdate,
    decode_update,
    encode_update,
)
from .responsehead import WholeHeadPool
from .responses import PageApplication, PageResponse
from .storestate import HistoryLost, StoreError, StorePosition, StoreSnapshot

FEED_PATH = "/feed"
CONTENT_TYPE = "application/octet-stream"
MAX_HISTORY = 1000
# A host whose data was last confirmed by the store longer ago than this serves no
# feed, so that the others switch to another source in time for the bound on leaving
# targets.
MAX_CONFIRMED_AGE_S = 1.5
FEED_WAIT_S = 0.4
CONNECT_TIMEOUT_S = 0.15
READ_MARGIN_S = 0.25
# Digits of the longest revision and epoch.
MAX_NUMBER_DIGITS = 19


class StoreMirror:
    """Copy of the store's entries with a history of recent changes.

    Parameters
    ----------
    clock : callable, default=read_clock
        Returns seconds.
    """

    def __init__(self, clock=read_clock):
        self._clock = clock
        self._changed = threading.Condition()
        self._entries = {}
        self._history = deque()
        self._position = StorePosition()
        self._history_start = StorePosition()
        # When the response arrived that confirmed the entries, less its stated age.
        self._confirmed_at = None
        # Lower bound of the time at which the store held the entries.
        self._earliest_confirmed_at = float("-inf")
        self._hops = 0

    @property
    def epoch(self):
        """Return the epoch of the store to which the entries belong."""
        return self._position.epoch

    @property
    def confirmed_age_s(self):
        """Return the seconds since the store last confirmed the data."""
        if self._confirmed_at is None:
            return float("inf")
        return max(0.0, self._clock() - self._confirmed_at)

    def apply_snapshot(self, snapshot, confirmation=FROM_STORE):
        """Replace the entries by a snapshot unless newer ones are known.

        A snapshot of an older epoch confirms nothing either.

        Parameters
        ----------
        snapshot : StoreSnapshot
            Snapshot of the store.
        confirmation : Confirmation, default=FROM_STORE
            When the store confirmed it.
        """
        with self._changed:
            if snapshot.position.epoch < self._position.epoch:
                return
            if snapshot.position.epoch > self._position.epoch:
                # What confirmed the data of the older epoch does not confirm this.
                self._confirmed_at = None
                self._earliest_confirmed_at = float("-inf")
            if snapshot.position >= self._position:
                self._entries = {change.key: change for change in snapshot.changes}
                self._history.clear()
                self._history_start = self._position = snapshot.position
            self._record_confirmation(confirmation)

    def apply_changes(self, changes, position, confirmation=FROM_STORE):
        """Apply changes in order.

        Parameters
        ----------
        changes : sequence of StoreChange
            The changes; those of another epoch are ignored.
        position : StorePosition
            Position of the store after the changes.
        confirmation : Confirmation, default=FROM_STORE
            When the store confirmed them.
        """
        with self._changed:
            if position.epoch != self._position.epoch:
                return
            for change in changes:
                if change.revision > self._position.revision:
                    self._apply(change)
            self._position = max(self._position, position)
            self._record_confirmation(confirmation)

    def _apply(self, change):
        if change.value is None:
            self._entries.pop(change.key, None)
        else:
            self._entries[change.key] = change
        self._history.append(change)
        while len(self._history) > MAX_HISTORY:
            oldest = self._history.popleft()
            self._history_start = StorePosition(self._position.epoch, oldest.revision)

    def _record_confirmation(self, confirmation):
        confirmed_at = self._clock() - confirmation.age_s
        if self._confirmed_at is None or confirmed_at > self._confirmed_at:
            self._confirmed_at = confirmed_at
            self._hops = confirmation.hops
        self._earliest_confirmed_at = max(
            self._earliest_confirmed_at, confirmation.confirmed_at
        )
        self._changed.notify_all()

    def read(self, after, wait_s, epoch=0):
        """Return the changes after a position, waiting for the first one.

        Parameters
        ----------
        after : StorePosition or None
            Position after which changes are wanted; None asks for a snapshot.
        wait_s : float
            Longest wait in seconds.
        epoch : int, default=0
            Lowest epoch of the data that is wanted.

        Returns
        -------
        FeedUpdate or None
            A snapshot when the history does not reach back to the position; None
            when the data was last confirmed too long ago or belongs to an older epoch
            than is wanted.

        Raises
        ------
        HistoryLost
            If the position belongs to an older epoch, also when the new one begins
            during the wait.
        """
        arrived_at = self._clock()
        end = arrived_at + wait_s
        with self._changed:
            while self.confirmed_age_s <= MAX_CONFIRMED_AGE_S and self.epoch >= epoch:
                if after is not None and after.epoch < self.epoch:
                    raise HistoryLost("the store has begun a new epoch", self.epoch)
                if after is None or after < self._history_start:
                    entries = tuple(self._entries.values())
                    return self._build_update(entries, True, arrived_at)
                changes = tuple(c for c in self._history if c.revision > after.revision)
                remaining = end - self._clock()
                if changes or remaining <= 0:
                    return self._build_update(changes, False, arrived_at)
                until_stale_s = MAX_CONFIRMED_AGE_S - self.confirmed_age_s
                self._changed.wait(max(0.01, min(remaining, until_stale_s)))
        return None

    def _build_update(self, changes, whole, arrived_at):
        return FeedUpdate(
            changes,
            self._position,
            whole,
            Confirmation(self.confirmed_age_s, self._hops),
            self._earliest_confirmed_at - arrived_at,
        )


class FeedPage(PageApplication):
    """WSGI application that serves the feed of store changes to other hosts.

    Parameters
    ----------
    mirror : StoreMirror
        Copy of the store's entries.
    """

    def __init__(self, mirror):
        self._mirror = mirror

    def respond(self, environ):
        """Return the requested changes as a compressed capnp message.

        Parameters
        ----------
        environ : dict
            WSGI environment.

        Returns
        -------
        PageResponse
            The response.
        """
        query = parse_qs(environ.get("QUERY_STRING", ""))
        epoch = _parse_number(query.get("epoch", [""])[0])
        revision = _parse_number(query.get("after", [""])[0])
        after = None
        if revision is not None:
            # A host of a version that knows no epochs asks without one. Its revision
            # is compared within the present epoch, because it could not follow another.
            after = StorePosition(
                self._mirror.epoch if epoch is None else epoch, revision
            )
        try:
            update = self._mirror.read(after, FEED_WAIT_S, epoch or 0)
        except HistoryLost:
            return PageResponse("410 Gone")
        if update is None:
            return PageResponse("503 Service Unavailable")
        return PageResponse("200 OK", encode_update(update), CONTENT_TYPE)


def _parse_number(text):
    """Return the number in a query, or None if it is missing or malformed."""
    if not text.isascii() or not text.isdigit() or len(text) > MAX_NUMBER_DIGITS:
        return None
    return int(text)


class FeedClient:
    """Reads the feed of another host.

    Parameters
    ----------
    address : str
        Peer address of the host, ``ip:port``.
    metrics : Metrics
        Counters.
    clock : callable, default=read_clock
        Returns seconds.
    """

    def __init__(self, address, metrics, clock=read_clock):
        host, port = address.rsplit(":", 1)
        self.name = f"host {address}"
        self.is_store = False
        self._metrics = metrics
        self._clock = clock
        self._pool = WholeHeadPool(host, int(port), maxsize=1, retries=False)

    def close(self):
        """Close the connection."""
        self._pool.close()

    def read_all(self, epoch):
        """Return a snapshot of the store as the host has it.

        Parameters
        ----------
        epoch : int
            Lowest epoch that is wanted; a host that has only an older one fails.

        Returns
        -------
        tuple of (StoreSnapshot, Confirmation)
            The snapshot, and when the store confirmed it.

        Raises
        ------
        StoreError
            If the host gives no usable response.
        """
        sent_at = self._clock()
        update = self._fetch_update({"epoch": epoch})
        if not update.whole:
            raise StoreError("a host sent changes instead of a snapshot")
        snapshot = StoreSnapshot(update.changes, update.position)
        return snapshot, self._build_confirmation(update, sent_at)

    def watch(self, after):
        """Wait for changes after a position.

        Parameters
        ----------
        after : StorePosition
            Position after which changes are wanted.

        Returns
        -------
        tuple of (tuple of StoreChange, StorePosition, Confirmation)
            The changes, the position to continue from, and when the store
            confirmed them.

        Raises
        ------
        HistoryLost
            If the host's history no longer reaches back to the position, or the host
            has a newer epoch.
        StoreError
            If the host gives no usable response.
        """
        sent_at = self._clock()
        fields = {"after": after.revision, "epoch": after.epoch}
        update = self._fetch_update(fields)
        if update.whole:
            raise HistoryLost("a host no longer has the changes in its history")
        confirmation = self._build_confirmation(update, sent_at)
        return update.changes, update.position, confirmation

    def _fetch_update(self, fields):
        self._metrics.increment("feed.calls")
        timeout = urllib3.Timeout(
            connect=CONNECT_TIMEOUT_S, read=FEED_WAIT_S + READ_MARGIN_S
        )
        try:
            response = self._pool.request(
                "GET", FEED_PATH, fields=fields, timeout=timeout
            )
        except (urllib3.exceptions.HTTPError, OSError) as error:
            raise StoreError(f"a request to a host failed: {error}") from error
        if response.status == 410:
            raise HistoryLost("a host has a newer epoch of the store")
        if response.status != 200:
            raise StoreError(f"a host responded with status {response.status}")
        return decode_update(response.data)

    def _build_confirmation(self, update, sent_at):
        """Return the confirmation of an update, with one more hop.

        The request arrived at the other host after it was sent, so the time at which it
        was sent stands for its arrival, which is unknown here.
        """
        confirmed_at = min(sent_at + update.confirmed_offset_s, self._clock())
        received = update.confirmation
        return Confirmation(received.age_s, received.hops + 1, confirmed_at)
