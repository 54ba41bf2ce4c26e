"""Client of the platform's metadata store."""

import base64
import binascii
import json
import logging
import socket

import urllib3
from urllib3.connection import HTTPConnection

from ..mappings import drop_oldest
from ..responsehead import WholeHeadPool
from ..storestate import (
    MAX_EPOCH,
    HistoryLost,
    StoreBusy,
    StoreChange,
    StoreError,
    StorePosition,
    StoreSnapshot,
)
from .headers import STORE_EPOCH

logger = logging.getLogger(__name__)

CONNECT_TIMEOUT_S = 0.5
READ_TIMEOUT_S = 1.0
# The store answers a watch without changes at the end of the wait, so the read
# timeout is longer than the wait by this much.
WATCH_MARGIN_S = 0.6
MAX_PAGES = 200
# Revisions that the feed between hosts can represent.
MAX_REVISION = 2**63 - 1
MAX_EPOCH_DIGITS = 19
# Keys of invalid items that are remembered, so that each is logged once.
MAX_LOGGED_KEYS = 200
# TCP keep-alive detects a connection whose peer no longer responds.
_SOCKET_OPTIONS = [
    *HTTPConnection.default_socket_options,
    (socket.SOL_SOCKET, socket.SO_KEEPALIVE, 1),
    (socket.IPPROTO_TCP, socket.TCP_KEEPIDLE, 1),
    (socket.IPPROTO_TCP, socket.TCP_KEEPINTVL, 1),
    (socket.IPPROTO_TCP, socket.TCP_KEEPCNT, 2),
    (socket.IPPROTO_TCP, socket.TCP_USER_TIMEOUT, 1500),
]


class StoreClient:
    """Client that reads and watches the platform's store.

    Parameters
    ----------
    address : str
        ``ip:port`` of the store.
    metrics : Metrics
        Counters.
    """

    def __init__(self, address, metrics):
        host, port = address.rsplit(":", 1)
        self._metrics = metrics
        self._logged_keys = {}
        self._logged_epoch = None
        self._pool = WholeHeadPool(
            host,
            int(port),
            maxsize=2,
            retries=False,
            socket_options=_SOCKET_OPTIONS,
        )

    def read_all(self, stale=False, epoch=0):
        """Return everything that the store holds.

        Parameters
        ----------
        stale : bool, default=False
            Whether the store may return a state that is seconds old.
        epoch : int, default=0
            Lowest epoch that is wanted.

        Returns
        -------
        StoreSnapshot
            The revision is that of the first page, because the pages are not
            read atomically.

        Raises
        ------
        HistoryLost
            If a page shows a newer epoch than the first one; read again.
        StoreError
            If the store gives no usable response.
        """
        changes = []
        position = None
        after = None
        for _ in range(MAX_PAGES):
            fields = {"prefix": ""}
            if after is not None:
                fields["after"] = after
            if stale:
                fields["stale_ok"] = "1"
            document, page_epoch = self._call("kv-range", fields, READ_TIMEOUT_S)
            if position is None:
                position = StorePosition(page_epoch, _read_revision(document))
            _check_page(page_epoch, position.epoch, epoch)
            items = document.get("items")
            if not isinstance(items, list):
                raise StoreError("the store's response has no items")
            changes.extend(self._read_changes(items))
            if not document.get("has_more") or not items:
                return StoreSnapshot(tuple(changes), position)
            after = _read_key(items[-1])
        raise StoreError("the store returned too many pages")

    def watch(self, after, wait_s):
        """Wait for changes after a revision.

        Parameters
        ----------
        after : int
            Revision after which changes are wanted.
        wait_s : float
            Longest wait in seconds.

        Returns
        -------
        tuple of (tuple of StoreChange, StorePosition)
            The changes in order, and the position after which to watch next. Its epoch
            may be newer than that of ``after``, which the changes then do not follow.

        Raises
        ------
        HistoryLost
            If the changes are no longer in the store's history.
        StoreError
            If the store gives no usable response.
        """
        fields = {"prefix": "", "after": after, "wait_ms": round(wait_s * 1000)}
        document, epoch = self._call("kv-watch", fields, wait_s + WATCH_MARGIN_S)
        events = document.get("events")
        if not isinstance(events, list):
            raise StoreError("the store's response has no events")
        position = StorePosition(epoch, _read_revision(document))
        return tuple(self._read_changes(events)), position

    def _read_changes(self, items):
        """Yield the changes in items or events; skip those that are invalid."""
        for item in items:
            try:
                yield _read_change(item)
            except StoreError as error:
                # The other items are still valid, so the follower goes on.
                self._metrics.increment("store.invalid_items")
                self._log_once(item, error)

    def _log_once(self, item, error):
        """Log an invalid item unless one with its key was logged recently."""
        key = item.get("key") if isinstance(item, dict) else None
        # Anything else may contain API keys.
        key = repr(key)[:200] if isinstance(key, str) else type(key).__name__
        if key in self._logged_keys:
            return
        self._logged_keys[key] = True
        drop_oldest(self._logged_keys, MAX_LOGGED_KEYS)
        logger.warning("ignoring an invalid item of the store, key %s: %s", key, error)

    def _call(self, name, fields, timeout_s):
        """Return the document in the store's response, and the epoch of its header."""
        self._metrics.increment("store.calls")
        try:
            response = self._pool.request(
                "GET",
                f"/redwingspring/{name}",
                fields=fields,
                timeout=urllib3.Timeout(connect=CONNECT_TIMEOUT_S, read=timeout_s),
            )
        except (urllib3.exceptions.HTTPError, OSError) as error:
            raise StoreError(f"a request to the store failed: {error}") from error
        epoch = self._read_epoch(response.headers.get(STORE_EPOCH))
        _check_status(response.status, epoch)
        try:
            document = json.loads(response.data)
        except (ValueError, RecursionError) as error:
            message = f"cannot decode the store's response: {error}"
            raise StoreError(message, epoch) from error
        if not isinstance(document, dict):
            raise StoreError("the store's response is not a JSON object", epoch)
        return document, epoch

    def _read_epoch(self, text):
        """Return the epoch in a header, 0 without one; log a malformed one once."""
        epoch = _parse_epoch(text)
        if epoch is not None:
            return epoch
        self._metrics.increment("store.invalid_epochs")
        if text != self._logged_epoch:
            self._logged_epoch = text
            logger.warning("the store sent a malformed epoch: %.200r", text)
        raise StoreError("the store's response has a malformed epoch")


def _parse_epoch(text):
    """Return the epoch in a header, 0 without one and None if it is malformed."""
    if text is None:
        return 0
    digits = text.strip(" \t")
    if not digits.isascii() or not digits.isdigit() or len(digits) > MAX_EPOCH_DIGITS:
        return None
    epoch = int(digits)
    return epoch if epoch <= MAX_EPOCH else None


def _check_status(status, epoch):
    """Raise the error of a response that is no success; it states the epoch."""
    if status == 410:
        raise HistoryLost("the changes are no longer in the store's history", epoch)
    if status in (429, 503):
        raise StoreBusy(f"the store responded with status {status}", epoch)
    if status != 200:
        raise StoreError(f"the store responded with status {status}", epoch)


def _check_page(epoch, first_epoch, wanted_epoch):
    """Raise an error unless a page belongs to the epoch of the first page.

    Only a newer epoch allows another read at once. The pages of a store that returns
    to an older epoch would otherwise be read again and again.
    """
    if epoch < max(first_epoch, wanted_epoch):
        raise StoreError(f"the store still has epoch {epoch}")
    if epoch > first_epoch:
        raise HistoryLost("the store has begun a new epoch", epoch)


def _read_revision(document):
    revision = document.get("store_revision")
    if not _is_revision(revision):
        raise StoreError("the store's response has no valid revision")
    return revision


def _is_revision(value):
    """Tell whether a value is a whole number that the feed can represent."""
    return type(value) is int and 0 <= value <= MAX_REVISION


def _read_key(item):
    """Return the key of an item or event.

    A key with half of a surrogate pair is valid JSON but not valid UTF-8, so the
    feed could not carry it.
    """
    key = item.get("key") if isinstance(item, dict) else None
    if not isinstance(key, str):
        raise StoreError("the store returned an item without a key")
    try:
        key.encode()
    except UnicodeEncodeError as error:
        raise StoreError("the store returned a key that is not UTF-8") from error
    return key


def _read_change(item):
    """Parse one item or event; a value that is not valid base64 becomes empty."""
    key = _read_key(item)
    revision = item.get("revision")
    if not _is_revision(revision):
        raise StoreError("the store returned an item without a valid revision")
    if item.get("deleted"):
        return StoreChange(key, None, revision)
    try:
        value = base64.b64decode(item.get("value", ""), validate=True)
    except (binascii.Error, TypeError, ValueError):
        # Decoding an empty document fails later, with an error that names the key.
        value = b""
    return StoreChange(key, value, revision)
