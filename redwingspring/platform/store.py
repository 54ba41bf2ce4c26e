"""Client of the platform's metadata store."""

import base64
import binascii
import json
import socket

import urllib3
from urllib3.connection import HTTPConnection

from ..storestate import HistoryLost, StoreBusy, StoreChange, StoreError, StoreSnapshot

CONNECT_TIMEOUT_S = 0.5
READ_TIMEOUT_S = 1.0
# The store answers a watch without changes at the end of the wait, so the read
# timeout is longer than the wait by this much.
WATCH_MARGIN_S = 0.6
MAX_PAGES = 200
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
        self._pool = urllib3.HTTPConnectionPool(
            host,
            int(port),
            maxsize=2,
            retries=False,
            socket_options=_SOCKET_OPTIONS,
        )

    def read_all(self, stale=False):
        """Return everything that the store holds.

        Parameters
        ----------
        stale : bool, default=False
            Whether the store may return a state that is seconds old.

        Returns
        -------
        StoreSnapshot
            The revision is that of the first page, because the pages are not
            read atomically.

        Raises
        ------
        StoreError
            If the store gives no usable response.
        """
        changes = []
        revision = None
        after = None
        for _ in range(MAX_PAGES):
            fields = {"prefix": ""}
            if after is not None:
                fields["after"] = after
            if stale:
                fields["stale_ok"] = "1"
            document = self._call("kv-range", fields, READ_TIMEOUT_S)
            if revision is None:
                revision = _read_revision(document)
            items = document.get("items")
            if not isinstance(items, list):
                raise StoreError("the store's response has no items")
            changes.extend(map(_read_change, items))
            if not document.get("has_more") or not items:
                return StoreSnapshot(tuple(changes), revision)
            after = changes[-1].key
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
        tuple of (tuple of StoreChange, int)
            The changes in order, and the revision after which to watch next.

        Raises
        ------
        HistoryLost
            If the changes are no longer in the store's history.
        StoreError
            If the store gives no usable response.
        """
        fields = {"prefix": "", "after": after, "wait_ms": int(wait_s * 1000)}
        document = self._call("kv-watch", fields, wait_s + WATCH_MARGIN_S)
        events = document.get("events")
        if not isinstance(events, list):
            raise StoreError("the store's response has no events")
        return tuple(map(_read_change, events)), _read_revision(document)

    def _call(self, name, fields, timeout_s):
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
        if response.status == 410:
            raise HistoryLost("the changes are no longer in the store's history")
        if response.status in (429, 503):
            raise StoreBusy(f"the store responded with status {response.status}")
        if response.status != 200:
            raise StoreError(f"the store responded with status {response.status}")
        try:
            document = json.loads(response.data)
        except ValueError as error:
            raise StoreError(f"cannot decode the store's response: {error}") from error
        if not isinstance(document, dict):
            raise StoreError("the store's response is not a JSON object")
        return document


def _read_revision(document):
    revision = document.get("store_revision")
    if not isinstance(revision, int):
        raise StoreError("the store's response has no revision")
    return revision


def _read_change(item):
    """Parse one item or event; a value that is not valid base64 becomes empty."""
    if not isinstance(item, dict) or not isinstance(item.get("key"), str):
        raise StoreError("the store returned an item without a key")
    revision = item.get("revision")
    if not isinstance(revision, int):
        raise StoreError("the store returned an item without a revision")
    if item.get("deleted"):
        return StoreChange(item["key"], None, revision)
    try:
        value = base64.b64decode(item.get("value", ""), validate=True)
    except (binascii.Error, TypeError, ValueError):
        # Decoding an empty document fails later, with an error that names the key.
        value = b""
    return StoreChange(item["key"], value, revision)
