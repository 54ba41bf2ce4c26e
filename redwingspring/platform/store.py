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
# A watch answers at the end of its wait; its answer may take this much longer.
WATCH_MARGIN_S = 0.6
MAX_PAGES = 200
# A connection that goes silent is found by keep-alive probes of the kernel.
_SOCKET_OPTIONS = [
    *HTTPConnection.default_socket_options,
    (socket.SOL_SOCKET, socket.SO_KEEPALIVE, 1),
    (socket.IPPROTO_TCP, socket.TCP_KEEPIDLE, 1),
    (socket.IPPROTO_TCP, socket.TCP_KEEPINTVL, 1),
    (socket.IPPROTO_TCP, socket.TCP_KEEPCNT, 2),
    (socket.IPPROTO_TCP, socket.TCP_USER_TIMEOUT, 1500),
]


class StoreClient:
    """Reads and watches the platform's store.

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
            Whether a state that is seconds old will do.

        Returns
        -------
        StoreSnapshot
            The revision is that of the first page, because the pages are not of
            one moment.

        Raises
        ------
        StoreError
            If the store gives no usable answer.
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
                raise StoreError("the store answered without items")
            changes.extend(map(_read_change, items))
            if not document.get("has_more") or not items:
                return StoreSnapshot(tuple(changes), revision)
            after = changes[-1].key
        raise StoreError("the store answered with too many pages")

    def watch(self, after, wait_s):
        """Wait for changes.

        Parameters
        ----------
        after : int
            Revision after which changes are wanted.
        wait_s : float
            Longest wait in seconds.

        Returns
        -------
        tuple of (tuple of StoreChange, int)
            The changes in their order, and the revision to go on from.

        Raises
        ------
        HistoryLost
            If the store no longer knows the changes.
        StoreError
            If the store gives no usable answer.
        """
        fields = {"prefix": "", "after": after, "wait_ms": int(wait_s * 1000)}
        document = self._call("kv-watch", fields, wait_s + WATCH_MARGIN_S)
        events = document.get("events")
        if not isinstance(events, list):
            raise StoreError("the store answered without events")
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
            raise StoreError(f"the store cannot be asked: {error}") from error
        if response.status == 410:
            raise HistoryLost("the store has forgotten these changes")
        if response.status in (429, 503):
            raise StoreBusy(f"the store answered with status {response.status}")
        if response.status != 200:
            raise StoreError(f"the store answered with status {response.status}")
        try:
            document = json.loads(response.data)
        except ValueError as error:
            raise StoreError(f"the store's answer cannot be read: {error}") from error
        if not isinstance(document, dict):
            raise StoreError("the store's answer is no object")
        return document


def _read_revision(document):
    revision = document.get("store_revision")
    if not isinstance(revision, int):
        raise StoreError("the store answered without its revision")
    return revision


def _read_change(item):
    """Return one item or event; a value that cannot be read is empty bytes."""
    if not isinstance(item, dict) or not isinstance(item.get("key"), str):
        raise StoreError("the store answered with an item without key")
    revision = item.get("revision")
    if not isinstance(revision, int):
        raise StoreError("the store answered with an item without revision")
    if item.get("deleted"):
        return StoreChange(item["key"], None, revision)
    try:
        value = base64.b64decode(item.get("value", ""), validate=True)
    except (binascii.Error, TypeError, ValueError):
        # Whoever reads the value finds it invalid and says so with its key.
        value = b""
    return StoreChange(item["key"], value, revision)
