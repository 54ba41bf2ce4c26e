"""Feed of store changes between hosts, so that few hosts call the store.

Calls to the store are priced and limited, so one host reads it on behalf of all. One
host of each data centre, the reader, long-polls that host; the other hosts long-poll
the reader of their data centre. A host whose source does not respond, or has itself
lost the store, switches to another source or to the store.
"""

import math
import threading
import zlib
from collections import deque
from dataclasses import dataclass
from pathlib import Path
from urllib.parse import parse_qs

import capnp
import urllib3

from .clock import read_clock
from .responsehead import WholeHeadPool
from .responses import PageApplication, PageResponse
from .storestate import HistoryLost, StoreChange, StoreError, StoreSnapshot

PROTOCOL_VERSION = 3
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
# A reader sends a change to all hosts of its data centre at once, possibly over a slow
# link. The fastest level already compresses a list of targets to a sixth of its size.
COMPRESSION_LEVEL = 1
# Longest message that is decompressed, and digits of the longest revision.
MAX_MESSAGE_BYTES = 64 << 20
MAX_REVISION_DIGITS = 19
_MAX_AGE_MS = 0xFFFFFFFF
_MAX_HOPS = 0xFF
# Offset of a confirmation whose time is unknown, and the latest one that fits.
_UNKNOWN_OFFSET_MS = -(2**31)
_MAX_OFFSET_MS = 2**31 - 1

capnp.remove_import_hook()
_schema = capnp.load(str(Path(__file__).with_name("feed.capnp")))


@dataclass(frozen=True)
class Confirmation:
    """How recently the store confirmed data, and through how many hosts it came.

    Attributes
    ----------
    age_s : float, default=0.0
        Seconds since the response of the store.
    hops : int, default=0
        Hosts that forwarded the data.
    confirmed_at : float, default=-inf
        Lower bound of the time at which the store held the data, on the clock of this
        host; -inf if it is unknown. Unlike ``age_s`` it counts the time in which the
        store's response was under way or unread.
    """

    age_s: float = 0.0
    hops: int = 0
    confirmed_at: float = float("-inf")


FROM_STORE = Confirmation()


@dataclass(frozen=True)
class FeedUpdate:
    """Response of the feed: a full snapshot or incremental changes.

    Attributes
    ----------
    changes : tuple of StoreChange
        Changes in the order of their revisions.
    revision : int
        Revision of the store after the changes.
    whole : bool
        Whether the changes are a full snapshot of the store.
    confirmation : Confirmation
        When the store last confirmed the data.
    confirmed_offset_s : float, default=-inf
        Lower bound of the time at which the store held the data, in seconds after the
        request for the update arrived; negative before that, -inf if it is unknown.
    """

    changes: tuple
    revision: int
    whole: bool
    confirmation: Confirmation
    confirmed_offset_s: float = float("-inf")


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
        self._earliest_confirmed_at = float("-inf")
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
        self._earliest_confirmed_at = max(
            self._earliest_confirmed_at, confirmation.confirmed_at
        )
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
        arrived_at = self._clock()
        end = arrived_at + wait_s
        with self._changed:
            while self.confirmed_age_s <= MAX_CONFIRMED_AGE_S:
                if after is None or after < self._history_start:
                    entries = tuple(self._entries.values())
                    return self._build_update(entries, True, arrived_at)
                changes = tuple(c for c in self._history if c.revision > after)
                remaining = end - self._clock()
                if changes or remaining <= 0:
                    return self._build_update(changes, False, arrived_at)
                until_stale_s = MAX_CONFIRMED_AGE_S - self.confirmed_age_s
                self._changed.wait(max(0.01, min(remaining, until_stale_s)))
        return None

    def _build_update(self, changes, whole, arrived_at):
        return FeedUpdate(
            changes,
            self._revision,
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
        sent_at = self._clock()
        update = self._fetch_update({})
        if not update.whole:
            raise StoreError("a host sent changes instead of a snapshot")
        snapshot = StoreSnapshot(update.changes, update.revision)
        return snapshot, self._build_confirmation(update, sent_at)

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
        sent_at = self._clock()
        update = self._fetch_update({"after": after})
        if update.whole:
            raise HistoryLost("a host no longer has the changes in its history")
        confirmation = self._build_confirmation(update, sent_at)
        return update.changes, update.revision, confirmation

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

    def _build_confirmation(self, update, sent_at):
        """Return the confirmation of an update, with one more hop.

        The request arrived at the other host after it was sent, so the time at which it
        was sent stands for its arrival, which is unknown here.
        """
        confirmed_at = min(sent_at + update.confirmed_offset_s, self._clock())
        received = update.confirmation
        return Confirmation(received.age_s, received.hops + 1, confirmed_at)


def encode_update(update):
    """Return an update as a compressed message.

    Parameters
    ----------
    update : FeedUpdate
        The update.

    Returns
    -------
    bytes
        Compressed packed capnp message.
    """
    message = _schema.Feed.new_message(
        version=PROTOCOL_VERSION,
        revision=update.revision,
        whole=update.whole,
        confirmedAgeMs=min(_MAX_AGE_MS, int(update.confirmation.age_s * 1000)),
        hops=min(_MAX_HOPS, update.confirmation.hops),
        confirmedOffsetMs=_encode_offset(update.confirmed_offset_s),
    )
    entries = message.init("changes", len(update.changes))
    for entry, change in zip(entries, update.changes, strict=True):
        entry.key = change.key
        entry.deleted = change.value is None
        entry.value = change.value or b""
        entry.revision = change.revision
    return zlib.compress(message.to_bytes_packed(), COMPRESSION_LEVEL)


def _encode_offset(offset_s):
    """Return an offset in whole milliseconds, rounded to the earlier one."""
    offset_ms = max(_UNKNOWN_OFFSET_MS, min(_MAX_OFFSET_MS, offset_s * 1000))
    return math.floor(offset_ms)


def _decode_offset(offset_ms):
    """Return an offset in seconds, -inf if it is unknown."""
    return float("-inf") if offset_ms == _UNKNOWN_OFFSET_MS else offset_ms / 1000


def _decompress(data):
    """Return decompressed data; raise ValueError if it is too long or incomplete."""
    decompressor = zlib.decompressobj()
    content = decompressor.decompress(data, MAX_MESSAGE_BYTES)
    if not decompressor.eof:
        raise ValueError("the message is too long or incomplete")
    return content


def decode_update(data):
    """Return the update in a compressed message.

    Parameters
    ----------
    data : bytes
        Compressed packed capnp message.

    Returns
    -------
    FeedUpdate
        The update.

    Raises
    ------
    StoreError
        If the bytes are not an update of this protocol version.
    """
    try:
        message = _schema.Feed.from_bytes_packed(_decompress(data))
        if message.version != PROTOCOL_VERSION:
            raise StoreError("a host uses another version of the feed protocol")
        changes = tuple(
            StoreChange(
                entry.key, None if entry.deleted else entry.value, entry.revision
            )
            for entry in message.changes
        )
        confirmation = Confirmation(message.confirmedAgeMs / 1000, message.hops)
        offset_s = _decode_offset(message.confirmedOffsetMs)
        return FeedUpdate(
            changes, message.revision, message.whole, confirmation, offset_s
        )
    except (capnp.KjException, zlib.error, ValueError) as error:
        raise StoreError(f"cannot decode a host's response: {error}") from error
