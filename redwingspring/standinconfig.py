"""Stand-in for the platform's configuration service.

Besides the published protocol it has control paths for tests:

- ``PUT /v1/values/<key>[?revision=N]`` publishes a value, under the next revision
  when none is given (204, or 413 when it is larger than 1 MiB).
- ``POST /control/split/<key>`` takes a JSON list of two texts and publishes both
  under one revision; of the readers, those named in ``?second=a,b`` see the second.
- ``POST /control/fault`` takes JSON with ``mode``, optional ``reader`` (all when
  absent), ``delay`` (seconds, for ``slow``) and ``revisions`` (highest revision
  shown by key, for ``stale`` and ``old``; the present one when absent).
- ``GET /control/calls`` returns JSON with the calls counted so far.

A reader is told apart by the last word of its ``User-Agent``.
"""

import json
import threading
import time
from collections import Counter
from dataclasses import dataclass, field
from http.server import BaseHTTPRequestHandler, ThreadingHTTPServer
from urllib.parse import parse_qs, urlsplit

MAX_VALUE_BYTES = 1 << 20
MAX_HISTORY = 64
MODES = ("normal", "down", "slow", "stale", "old")


class ServiceDown(Exception):
    """The stand-in does not answer this reader."""


@dataclass(frozen=True)
class Fault:
    """How the service behaves towards a reader.

    Attributes
    ----------
    mode : str
        ``normal``; ``down``: connections are closed without an answer;
        ``slow``: answers are late; ``stale``: newer revisions are hidden;
        ``old``: as stale, and ``after`` is ignored.
    delay : float, default=0.0
        Seconds, for ``slow``.
    revisions : dict, default={}
        Highest revision shown by key.
    """

    mode: str
    delay: float = 0.0
    revisions: dict = field(default_factory=dict)


NORMAL = Fault("normal")


class ConfigurationStandIn:
    """Serves values that can be read and watched.

    Parameters
    ----------
    address : str
        ``ip:port`` to listen on.
    """

    def __init__(self, address):
        host, port = address.rsplit(":", 1)
        self._changed = threading.Condition()
        # Lists of (revision, text, text for the second readers) by key.
        self._history = {}
        self._second_readers = frozenset()
        self._faults = {}
        self._default_fault = NORMAL
        self._calls = Counter()
        self._calls_by_reader = Counter()
        self._server = _Server((host, int(port)), _Handler)
        self._server.service = self

    def publish(self, key, text, revision=None):
        """Publish a value.

        Parameters
        ----------
        key : str
            Name of the value.
        text : str
            The value.
        revision : int or None, default=None
            The next one when None; a lower one replaces all that follow it.
        """
        self._publish(key, (text, text), revision)

    def split(self, key, texts, second_readers):
        """Publish two values under one revision.

        Parameters
        ----------
        key : str
            Name of the value.
        texts : sequence of str
            The two values.
        second_readers : iterable of str
            Readers that see the second value.
        """
        first, second = texts
        with self._changed:
            self._second_readers = frozenset(second_readers)
            self._publish(key, (first, second), None)

    def set_fault(self, fault, reader=None):
        """Change the behaviour towards one reader or all.

        Parameters
        ----------
        fault : Fault
            The behaviour.
        reader : str or None, default=None
            Name of the reader; all readers when None.
        """
        with self._changed:
            if fault.mode in ("stale", "old"):
                latest = {key: items[-1][0] for key, items in self._history.items()}
                fault = Fault(fault.mode, fault.delay, latest | fault.revisions)
            if reader is None:
                self._faults.clear()
                self._default_fault = fault
            else:
                self._faults[reader] = fault
            self._changed.notify_all()

    def count_calls(self):
        """Return the calls of readers so far.

        Returns
        -------
        dict
            ``total``, ``reads``, ``watches``, ``bytes`` and ``by_reader``.
        """
        with self._changed:
            return {
                "total": self._calls["reads"] + self._calls["watches"],
                **{name: self._calls[name] for name in ("reads", "watches", "bytes")},
                "by_reader": dict(self._calls_by_reader),
            }

    def run(self):
        """Serve until the process ends."""
        self._server.serve_forever(poll_interval=0.1)

    def stop(self):
        """End ``run`` and close the listener."""
        self._server.shutdown()
        self._server.server_close()

    def read(self, reader, key, after, wait):
        """Return what a reader sees once it is newer or the wait ends.

        Parameters
        ----------
        reader : str
            Name of the reader.
        key : str
            Name of the value.
        after : int
            Revision already known.
        wait : float
            Seconds to wait.

        Returns
        -------
        tuple of int and str or None
            Revision that the reader sees and the text; the text is None when
            it is not newer.

        Raises
        ------
        ServiceDown
            If the reader gets no answer.
        """
        end = time.monotonic() + wait
        with self._changed:
            self._calls["watches" if wait else "reads"] += 1
            self._calls_by_reader[reader] += 1
            fault = self._find_fault(reader)
        if fault.mode == "slow":
            time.sleep(fault.delay)
        with self._changed:
            while True:
                fault = self._find_fault(reader)
                if fault.mode == "down":
                    raise ServiceDown
                revision, text = self._view(reader, key, fault)
                if revision > after or (fault.mode == "old" and revision):
                    self._calls["bytes"] += len(text.encode())
                    return revision, text
                remaining = end - time.monotonic()
                if remaining <= 0:
                    return revision, None
                self._changed.wait(remaining)

    def _publish(self, key, texts, revision):
        with self._changed:
            items = self._history.setdefault(key, [])
            if revision is None:
                revision = items[-1][0] + 1 if items else 1
            items[:] = [item for item in items if item[0] < revision]
            items.append((revision, *texts))
            del items[:-MAX_HISTORY]
            self._changed.notify_all()

    def _find_fault(self, reader):
        return self._faults.get(reader, self._default_fault)

    def _view(self, reader, key, fault):
        highest = fault.revisions.get(key, float("inf"))
        for revision, first, second in reversed(self._history.get(key, ())):
            if revision <= highest:
                return revision, second if reader in self._second_readers else first
        return 0, None


class _Server(ThreadingHTTPServer):
    daemon_threads = True
    request_queue_size = 128


class _Handler(BaseHTTPRequestHandler):
    protocol_version = "HTTP/1.1"
    disable_nagle_algorithm = True

    def do_GET(self):
        parts = urlsplit(self.path)
        if parts.path == "/control/calls":
            self._answer(200, json.dumps(self.server.service.count_calls()).encode())
            return
        query = parse_qs(parts.query)
        reader = self.headers.get("User-Agent", "").rpartition(" ")[2]
        after = int(query.get("after", ["0"])[0])
        wait = float(query.get("wait", ["0"])[0])
        key = parts.path.rpartition("/")[2]
        try:
            revision, text = self.server.service.read(reader, key, after, wait)
        except ServiceDown:
            self.close_connection = True
            return
        if text is not None:
            self._answer(200, text.encode(), revision)
        else:
            self._answer(304 if revision else 404, b"", revision)

    def do_PUT(self):
        parts = urlsplit(self.path)
        body = self._read_body()
        if len(body) > MAX_VALUE_BYTES:
            self._answer(413)
            return
        revision = parse_qs(parts.query).get("revision")
        self.server.service.publish(
            parts.path.rpartition("/")[2],
            body.decode(),
            int(revision[0]) if revision else None,
        )
        self._answer(204)

    def do_POST(self):
        parts = urlsplit(self.path)
        document = json.loads(self._read_body())
        if parts.path == "/control/fault":
            reader = document.pop("reader", None)
            if document.get("mode") not in MODES:
                self._answer(400)
                return
            self.server.service.set_fault(Fault(**document), reader)
        elif parts.path.startswith("/control/split/"):
            second = parse_qs(parts.query).get("second", [""])[0].split(",")
            self.server.service.split(parts.path.rpartition("/")[2], document, second)
        else:
            self._answer(404)
            return
        self._answer(204)

    def log_message(self, *args):
        """Write no access log."""

    def _read_body(self):
        return self.rfile.read(int(self.headers.get("Content-Length", 0)))

    def _answer(self, status, body=b"", revision=None):
        self.send_response(status)
        if revision:
            self.send_header("Value-Revision", str(revision))
        if status != 304:
            self.send_header("Content-Length", str(len(body)))
        self.end_headers()
        self.wfile.write(body)
