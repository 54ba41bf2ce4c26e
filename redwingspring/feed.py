"""What a host knows of the store, told to the hosts that do not ask the store.

Calls to the store are priced and limited, so one host asks it for all. One host of
each data centre waits for changes at that host, the others at the one of their data
centre. Whoever finds its source silent, or without the store, turns to another one
or to the store itself.
"""

import threading
import zlib
from collections import deque
from dataclasses import dataclass
from pathlib import Path
from urllib.parse import parse_qs

import capnp
import urllib3

from .clock import read_clock
from .knowledge import HistoryLost, StoreChange, StoreError, StoreSnapshot
from .responses import PageApplication, PageResponse

PROTOCOL_VERSION = 3
FEED_PATH = "/feed"
CONTENT_TYPE = "application/octet-stream"
MAX_HISTORY = 1000
# A host that has not heard the store for this long tells nothing, so that the
# others turn elsewhere while the bound on leaving targets still holds.
MAX_CONFIRMED_AGE_S = 1.5
FEED_WAIT_S = 0.4
CONNECT_TIMEOUT_S = 0.15
ANSWER_MARGIN_S = 0.25
# A reader tells a change to all hosts of its data centre at once, perhaps over a
# slow link; the fastest level already leaves a sixth of a list of targets.
COMPRESSION_LEVEL = 1
_MAX_AGE_MS = 0xFFFFFFFF
_MAX_HOPS = 0xFF

capnp.remove_import_hook()
_schema = capnp.load(str(Path(__file__).with_name("feed.capnp")))


@dataclass(frozen=True)
class Confirmation:
    """How fresh something that a source tells of the store is.

    Attributes
    ----------
    age_s : float, default=0.0
        Seconds since the store answered.
    hops : int, default=0
        Hosts that it was passed on by.
    """

    age_s: float = 0.0
    hops: int = 0


FROM_STORE = Confirmation()


@dataclass(frozen=True)
class FeedAnswer:
    """Part of what a host knows of the store.

    Attributes
    ----------
    changes : tuple of StoreChange
        Changes in the order of their revisions.
    revision : int
        Revision of the store that they lead to.
    whole : bool
        Whether they are everything that the store holds.
    confirmation : Confirmation
        When the store last answered.
    """

    changes: tuple
    revision: int
    whole: bool
    confirmation: Confirmation


class StoreMirror:
    """The store's entries as this host last heard of them.

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
        self._oldest = 0
        self._confirmed_at = None
        self._hops = 0

    @property
    def confirmed_age_s(self):
        """Return the seconds since the store last answered."""
        if self._confirmed_at is None:
            return float("inf")
        return max(0.0, self._clock() - self._confirmed_at)

    def take_snapshot(self, snapshot, confirmation=FROM_STORE):
        """Take everything that the store holds.

        Parameters
        ----------
        snapshot : StoreSnapshot
            A state of the store.
        confirmation : Confirmation, default=FROM_STORE
            How fresh it is.
        """
        with self._changed:
            if snapshot.revision >= self._revision:
                self._entries = {change.key: change for change in snapshot.changes}
                self._history.clear()
                self._oldest = self._revision = snapshot.revision
            self._confirm(confirmation)

    def take_changes(self, changes, revision, confirmation=FROM_STORE):
        """Take changes in their order.

        Parameters
        ----------
        changes : sequence of StoreChange
            The changes.
        revision : int
            Revision of the store that they lead to.
        confirmation : Confirmation, default=FROM_STORE
            How fresh they are.
        """
        with self._changed:
            for change in changes:
                if change.revision > self._revision:
                    self._take(change)
            self._revision = max(self._revision, revision)
            self._confirm(confirmation)

    def _take(self, change):
        if change.value is None:
            self._entries.pop(change.key, None)
        else:
            self._entries[change.key] = change
        self._history.append(change)
        while len(self._history) > MAX_HISTORY:
            self._oldest = self._history.popleft().revision

    def _confirm(self, confirmation):
        confirmed_at = self._clock() - confirmation.age_s
        if self._confirmed_at is None or confirmed_at > self._confirmed_at:
            self._confirmed_at = confirmed_at
            self._hops = confirmation.hops
        self._changed.notify_all()

    def read(self, after, wait_s):
        """Return what changed, waiting for it for a time.

        Parameters
        ----------
        after : int or None
            Revision after which changes are wanted; None asks for everything.
        wait_s : float
            Longest wait in seconds.

        Returns
        -------
        FeedAnswer or None
            None when the store was not heard for too long, or when the changes
            are no longer known.
        """
        end = self._clock() + wait_s
        with self._changed:
            while self.confirmed_age_s <= MAX_CONFIRMED_AGE_S:
                if after is None:
                    return self._answer(tuple(self._entries.values()), True)
                if after < self._oldest:
                    return self._answer(tuple(self._entries.values()), True)
                changes = tuple(c for c in self._history if c.revision > after)
                left = end - self._clock()
                if changes or left <= 0:
                    return self._answer(changes, False)
                until_doubt = MAX_CONFIRMED_AGE_S - self.confirmed_age_s
                self._changed.wait(max(0.01, min(left, until_doubt)))
        return None

    def _answer(self, changes, whole):
        confirmation = Confirmation(self.confirmed_age_s, self._hops)
        return FeedAnswer(changes, self._revision, whole, confirmation)


class FeedPage(PageApplication):
    """WSGI application that tells other hosts what this one knows of the store.

    Parameters
    ----------
    mirror : StoreMirror
        What this host knows.
    """

    def __init__(self, mirror):
        self._mirror = mirror

    def respond(self, environ):
        """Return what changed, as a compressed capnp message.

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
        after = query.get("after", [""])[0]
        known = int(after) if after.isascii() and after.isdigit() else None
        answer = self._mirror.read(known, FEED_WAIT_S)
        if answer is None:
            return PageResponse("503 Service Unavailable")
        return PageResponse("200 OK", encode_answer(answer), CONTENT_TYPE)


class FeedClient:
    """Asks another host what it knows of the store.

    Parameters
    ----------
    address : str
        ``ip:port`` of the host for other hosts.
    metrics : Metrics
        Counters.
    """

    def __init__(self, address, metrics):
        host, port = address.rsplit(":", 1)
        self.name = f"host {address}"
        self.is_store = False
        self._metrics = metrics
        self._pool = urllib3.HTTPConnectionPool(
            host, int(port), maxsize=1, retries=False
        )

    def close(self):
        """Close the connection."""
        self._pool.close()

    def read_all(self):
        """Return everything that the store holds, as the host knows it.

        Returns
        -------
        tuple of (StoreSnapshot, Confirmation)
            The state, and how fresh it is.

        Raises
        ------
        StoreError
            If the host gives no usable answer.
        """
        answer = self._ask({})
        if not answer.whole:
            raise StoreError("a host answered with a part")
        snapshot = StoreSnapshot(answer.changes, answer.revision)
        return snapshot, _pass_on(answer.confirmation)

    def watch(self, after):
        """Wait for changes.

        Parameters
        ----------
        after : int
            Revision after which changes are wanted.

        Returns
        -------
        tuple of (tuple of StoreChange, int, Confirmation)
            The changes, the revision to go on from, and how fresh they are.

        Raises
        ------
        HistoryLost
            If the host no longer knows the changes.
        StoreError
            If the host gives no usable answer.
        """
        answer = self._ask({"after": after})
        if answer.whole:
            raise HistoryLost("a host no longer knows the changes")
        return answer.changes, answer.revision, _pass_on(answer.confirmation)

    def _ask(self, fields):
        self._metrics.increment("feed.calls")
        timeout = urllib3.Timeout(
            connect=CONNECT_TIMEOUT_S, read=FEED_WAIT_S + ANSWER_MARGIN_S
        )
        try:
            response = self._pool.request(
                "GET", FEED_PATH, fields=fields, timeout=timeout
            )
        except (urllib3.exceptions.HTTPError, OSError) as error:
            raise StoreError(f"a host cannot be asked: {error}") from error
        if response.status != 200:
            raise StoreError(f"a host answered with status {response.status}")
        return decode_answer(response.data)


def _pass_on(confirmation):
    """Return a confirmation as the host that asked has it."""
    return Confirmation(confirmation.age_s, confirmation.hops + 1)


def encode_answer(answer):
    """Return an answer as bytes.

    Parameters
    ----------
    answer : FeedAnswer
        The answer.

    Returns
    -------
    bytes
        Compressed packed capnp message.
    """
    message = _schema.Feed.new_message(
        version=PROTOCOL_VERSION,
        revision=answer.revision,
        whole=answer.whole,
        confirmedAgeMs=min(_MAX_AGE_MS, int(answer.confirmation.age_s * 1000)),
        hops=min(_MAX_HOPS, answer.confirmation.hops),
    )
    entries = message.init("changes", len(answer.changes))
    for entry, change in zip(entries, answer.changes, strict=True):
        entry.key = change.key
        entry.deleted = change.value is None
        entry.value = change.value or b""
        entry.revision = change.revision
    return zlib.compress(message.to_bytes_packed(), COMPRESSION_LEVEL)


def decode_answer(data):
    """Return the answer that bytes encode.

    Parameters
    ----------
    data : bytes
        Compressed packed capnp message.

    Returns
    -------
    FeedAnswer
        The answer.

    Raises
    ------
    StoreError
        If the bytes are no answer.
    """
    try:
        message = _schema.Feed.from_bytes_packed(zlib.decompress(data))
        if message.version != PROTOCOL_VERSION:
            raise StoreError("a host speaks another version")
        changes = tuple(
            StoreChange(
                entry.key, None if entry.deleted else entry.value, entry.revision
            )
            for entry in message.changes
        )
        confirmation = Confirmation(message.confirmedAgeMs / 1000, message.hops)
        return FeedAnswer(changes, message.revision, message.whole, confirmation)
    except (capnp.KjException, zlib.error, ValueError) as error:
        raise StoreError(f"a host's answer cannot be read: {error}") from error
