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
from .storestate import HistoryLost, StoreError, StoreSnapshot

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
# Digits of the longest revision.
MAX_REVISION_DIGITS = 19


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
        self._revision = 0
        self._history_start = 0
        self._confirmed_at = None
        self._hops = 0

    @property
    def confirmed_age_s(self):
        """Return the seconds since the store last confirmed the data."""
        if self._confirmed_at is None:
            return float("inf")
        return max(0.0, self._clock() - self._confirmed_at)

    def apply_snapshot(self, snapshot, confirmation=FROM_STORE):
        """Replace the entries by a snapshot unless newer ones are known.

        Parameters
        ----------
        snapshot : StoreSnapshot
            Snapshot of the store.
        confirmation : Confirmation, default=FROM_STORE
            When the store confirmed it.
        """
        with self._changed:
            if snapshot.revision >= self._revision:
                self._entries = {change.key: change for change in snapshot.changes}
                self._history.clear()
                self._history_start = self._revision = snapshot.revision
            self._record_confirmation(confirmation)

    def apply_changes(self, changes, revision, confirmation=FROM_STORE):
        """Apply changes in order.

        Parameters
        ----------
        changes : sequence of StoreChange
            The changes.
        revision : int
            Revision of the store after the changes.
        confirmation : Confirmation, default=FROM_STORE
            When the store confirmed them.
        """
        with self._changed:
            for change in changes:
                if change.revision > self._revision:
                    self._apply(change)
            self._revision = max(self._revision, revision)
            self._record_confirmation(confirmation)

    def _apply(self, change):
        if change.value is None:
            self._entries.pop(change.key, None)
        else:
            self._entries[change.key] = change
        self._history.append(change)
        while len(self._history) > MAX_HISTORY:
            self._history_start = self._history.popleft().revision

    def _record_confirmation(self, confirmation):
        confirmed_at = self._clock() - confirmation.age_s
        if self._confirmed_at is None or confirmed_at > self._confirmed_at:
            self._confirmed_at = confirmed_at
            self._hops = confirmation.hops
        self._changed.notify_all()

    def read(self, after, wait_s):
        """Return the changes after a revision, waiting for the first one.

        Parameters
        ----------
        after : int or None
            Revision after which changes are wanted; None asks for a snapshot.
        wait_s : float
            Longest wait in seconds.

        Returns
        -------
        FeedUpdate or None
            A snapshot when the history does not reach back to the revision; None
            when the data was last confirmed too long ago.
        """
        end = self._clock() + wait_s
        with self._changed:
            while self.confirmed_age_s <= MAX_CONFIRMED_AGE_S:
                if after is None:
                    return self._build_update(tuple(self._entries.values()), True)
                if after < self._history_start:
                    return self._build_update(tuple(self._entries.values()), True)
                changes = tuple(c for c in self._history if c.revision > after)
                remaining = end - self._clock()
                if changes or remaining <= 0:
                    return self._build_update(changes, False)
                until_stale_s = MAX_CONFIRMED_AGE_S - self.confirmed_age_s
                self._changed.wait(max(0.01, min(remaining, until_stale_s)))
        return None

    def _build_update(self, changes, whole):
        confirmation = Confirmation(self.confirmed_age_s, self._hops)
        return FeedUpdate(changes, self._revision, whole, confirmation)


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
        known = _parse_revision(query.get("after", [""])[0])
        update = self._mirror.read(known, FEED_WAIT_S)
        if update is None:
            return PageResponse("503 Service Unavailable")
        return PageResponse("200 OK", encode_update(update), CONTENT_TYPE)


def _parse_revision(text):
    """Return the revision in a query, or None if it is missing or malformed."""
    if not text.isascii() or not text.isdigit() or len(text) > MAX_REVISION_DIGITS:
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
    """

    def __init__(self, address, metrics):
        host, port = address.rsplit(":", 1)
        self.name = f"host {address}"
        self.is_store = False
        self._metrics = metrics
        self._pool = WholeHeadPool(host, int(port), maxsize=1, retries=False)

    def close(self):
        """Close the connection."""
        self._pool.close()

    def read_all(self):
        """Return a snapshot of the store as the host has it.

        Returns
        -------
        tuple of (StoreSnapshot, Confirmation)
            The snapshot, and when the store confirmed it.

        Raises
        ------
        StoreError
            If the host gives no usable response.
        """
        update = self._fetch_update({})
        if not update.whole:
            raise StoreError("a host sent changes instead of a snapshot")
        snapshot = StoreSnapshot(update.changes, update.revision)
        return snapshot, _add_hop(update.confirmation)

    def watch(self, after):
        """Wait for changes after a revision.

        Parameters
        ----------
        after : int
            Revision after which changes are wanted.

        Returns
        -------
        tuple of (tuple of StoreChange, int, Confirmation)
            The changes, the revision to continue from, and when the store
            confirmed them.

        Raises
        ------
        HistoryLost
            If the host's history no longer reaches back to the revision.
        StoreError
            If the host gives no usable response.
        """
        update = self._fetch_update({"after": after})
        if update.whole:
            raise HistoryLost("a host no longer has the changes in its history")
        return update.changes, update.revision, _add_hop(update.confirmation)

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
        if response.status != 200:
            raise StoreError(f"a host responded with status {response.status}")
        return decode_update(response.data)


def _add_hop(confirmation):
    """Return a confirmation with one more hop, as the receiving host holds it."""
    return Confirmation(confirmation.age_s, confirmation.hops + 1)
