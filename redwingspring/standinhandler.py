"""Connections of the stand-in target."""

import hashlib
import json
import re
import select
import socket
import time
from http.server import BaseHTTPRequestHandler
from urllib.parse import parse_qsl, urlsplit

from .standinbehaviour import Fault, slice_content

CONTROL_PREFIX = "/-target/"
MAX_SILENCE_S = 120.0
# How long after its deadline a late answer comes.
LATENESS_S = 0.2
# A connection is reset at once only after it could show that it is for the
# control pages.
CONTROL_WAIT_MS = 200
READ_SIZE = 64 << 10
# Ends of a run whose whole response leaves the connection usable.
_KEEPING_ENDS = ("failed", "fell-over")
_HEAD_ENDS = (b"\r\n", b"\n")
_RANGE = re.compile(r"bytes=(\d*)-(\d*)")
_EXTRA = b"HTTP/1.1 200 OK\r\nAttempt-Id: none\r\nContent-Length: 6\r\n\r\nextra\n"


class _Cut(Exception):
    """The exchange ends here; the argument is the end to record."""


class _LineReader:
    """Reader of a request head that remembers the line read last."""

    def __init__(self, reader):
        self._reader = reader
        self.last_line = b""

    def readline(self, size=-1):
        self.last_line = self._reader.readline(size)
        return self.last_line


class TargetHandler(BaseHTTPRequestHandler):
    """One connection of a stand-in target."""

    protocol_version = "HTTP/1.1"
    disable_nagle_algorithm = True
    _counted = False

    def log_message(self, *args):
        """Write no access log.

        Parameters
        ----------
        *args : object
            Not used.
        """

    def parse_request(self):
        """Read the head of a request; refuse one that the connection cuts off.

        The base class takes the end of the connection for the end of the head
        and would run a request whose last header is cut short.

        Returns
        -------
        bool
            Whether there is a request to handle.
        """
        reader = self.rfile
        self.rfile = lines = _LineReader(reader)
        try:
            valid = super().parse_request()
        finally:
            self.rfile = reader
        if valid and lines.last_line not in _HEAD_ENDS:
            self.close_connection = True
            return False
        return valid

    def setup(self):
        """Prepare the connection, or reset it at once."""
        super().setup()
        self.record = self.server.record
        self.over_limit = False
        fault = self.record.pick_fault("", "")
        if fault is not None and not (fault.at and self._begins_control()):
            self.record.counters["reset-accept"] += 1
            self._reset()
            raise ConnectionResetError

    def _begins_control(self):
        """Tell whether the first request is for the control pages."""
        poller = select.poll()
        poller.register(self.connection.fileno(), select.POLLIN)
        if not poller.poll(CONTROL_WAIT_MS):
            return False
        first = self.connection.recv(128, socket.MSG_PEEK)
        return CONTROL_PREFIX.encode() in first.split(b"\r\n")[0]

    def finish(self):
        """Count the end of the connection."""
        if self._counted:
            self.record.count_connection(-1)
        super().finish()

    def _handle(self):
        self.close_connection = self._wants_close()
        parts = urlsplit(self.path)
        if parts.path.startswith(CONTROL_PREFIX):
            self._control(parts.path.removeprefix(CONTROL_PREFIX))
            return
        if not self._counted:
            self._counted = True
            self.over_limit = not self.record.count_connection(1)
        self.options = dict(parse_qsl(parts.query))
        self.behaviour = self.record.behaviour
        self.fault = self._choose_fault(parts.path)
        self.request = {
            "request": self.headers.get("Request-Id"),
            "attempt": self.headers.get("Attempt-Id"),
            "method": self.command,
            "path": self.path,
            "deadline": self._read_time("Request-Deadline"),
            "response_deadline": self._read_time("Response-Deadline"),
            "repeat": self.headers.get("Request-Attempt"),
        }
        self._run_request(parts.path)

    do_GET = do_HEAD = do_POST = do_PUT = do_DELETE = do_PATCH = do_OPTIONS = _handle

    def _wants_close(self):
        listed = self.headers.get("Connection", "").lower()
        return self.request_version < "HTTP/1.1" or "close" in listed

    def _choose_fault(self, path):
        if "fault" in self.options:
            return Fault(self.options["fault"], at=int(self.options.get("at", -1)))
        return self.record.pick_fault(self.command, path)

    def _has_fault(self, *names):
        return self.fault is not None and self.fault.name in names

    def _read_time(self, name):
        value = self.headers.get(name)
        return int(value) / 1000 if value else None

    def _run_request(self, path):
        run = None
        end = "broken"
        try:
            if self._has_fault("reset-after-head"):
                run = self._start() if self._starts_on_head else None
                raise _Cut("reset-after-head")
            if self._starts_on_head:
                run = self._start()
            if self._has_fault("early-response"):
                self._refuse_unread()
            body = self._read_body()
            if run is None:
                run = self._start()
            if self._has_fault("reset-after-body"):
                raise _Cut("reset-after-body")
            self._work()
            end = self._respond(path, body)
        except _Cut as cut:
            end = cut.args[0]
            if end.startswith(("reset", "late")):
                self._reset()
            if end not in _KEEPING_ENDS:
                self.close_connection = True
        except OSError:
            end = "cancelled"
            self.close_connection = True
        finally:
            if run is not None:
                self.record.leave(run, end)

    @property
    def _starts_on_head(self):
        return self.options.get("start", self.behaviour.start_on) == "head"

    def _start(self):
        """Begin to run, or refuse with the proof that nothing ran."""
        now = time.time()
        deadlines = (self.request["deadline"], self.request["response_deadline"])
        if any(deadline is not None and now >= deadline for deadline in deadlines):
            outcome = "late"
        elif self.over_limit:
            outcome = "connections"
        elif self._has_fault("refuse"):
            outcome = "shed"
        else:
            outcome = self.record.enter(self.request)
        if not isinstance(outcome, str):
            return outcome
        self.record.refuse(self.request, outcome)
        self._refuse(outcome)
        raise _Cut(outcome)

    def _refuse(self, reason):
        # A body that was not read makes the connection unusable.
        self._write(
            self.behaviour.shed_status,
            f"refused: {reason}\n".encode(),
            [("Request-Run", "not-run"), ("Connection", "close")],
        )

    def _refuse_unread(self):
        """Respond before the request body was read, then close."""
        self._write(413, b"too much\n", [("Connection", "close")])
        self.connection.shutdown(socket.SHUT_WR)
        raise _Cut("early-response")

    def _read_body(self):
        """Return size and SHA-256 of the request body, and a short body itself."""
        size, digest, kept = 0, hashlib.sha256(), []
        for part in self._read_parts():
            size += len(part)
            digest.update(part)
            if size <= 1 << 20:
                kept.append(part)
            if self._has_fault("reset-in-request-body"):
                raise _Cut("reset-in-request-body")
        return size, digest.hexdigest(), b"".join(kept)

    def _read_parts(self):
        if self.headers.get("Transfer-Encoding", "").lower() == "chunked":
            while size := int(self.rfile.readline().split(b";")[0], 16):
                yield from self._read_exactly(size)
                self.rfile.readline()
            while self.rfile.readline().strip():
                pass
        else:
            yield from self._read_exactly(int(self.headers.get("Content-Length") or 0))

    def _read_exactly(self, size):
        while size:
            part = self.rfile.read1(min(size, READ_SIZE))
            if not part:
                raise ConnectionAbortedError("the request body ended early")
            size -= len(part)
            yield part

    def _work(self):
        """Work for the configured time, unless cancelled or late."""
        work_s = float(self.options.get("work_ms", self.behaviour.work_s * 1000)) / 1000
        if self._has_fault("fail"):
            work_s = 0.0
        self._pause(work_s * self.behaviour.latency, self.request["deadline"])
        if stall := self.record.stall_left:
            self._pause(stall, self.request["deadline"])
            self._write(500, b"fell over\n", [])
            raise _Cut("fell-over")
        if self._has_fault("fail"):
            self._write(500, b"failed\n", [])
            raise _Cut("failed")
        if self._has_fault("reset-after-work"):
            raise _Cut("reset-after-work")
        if self._has_fault("no-answer"):
            self._pause(MAX_SILENCE_S, None)
            raise _Cut("no-answer")
        if self._has_fault("late-answer"):
            deadline = self.request["deadline"] or time.time()
            time.sleep(max(0.0, deadline - time.time()) + LATENESS_S)

    def _pause(self, seconds, deadline):
        """Wait; a closed connection or a deadline cancels the request."""
        end = time.time() + seconds
        late = deadline is not None and deadline < end
        poller = select.poll()
        poller.register(self.connection.fileno(), select.POLLRDHUP)
        left = (deadline if late else end) - time.time()
        if left > 0 and poller.poll(left * 1000):
            raise _Cut("cancelled")
        if late:
            raise _Cut("late")

    def _respond(self, path, body):
        if path.startswith("/download/"):
            size = path.removeprefix("/download/")
            if not size.isdigit():
                return self._write(404, b"no such download\n", [])
            return self._download(int(size))
        size, digest, kept = body
        status, headers = 200, [("Body-Digest", digest)]
        if path == "/echo":
            data = kept
        else:
            data = f"{self.command} {self.path} {size}\n".encode()
        if path.startswith("/status/"):
            status = int(path.removeprefix("/status/"))
            if status in (204, 304):
                return self._write(status, None, headers)
        if self._has_fault("crossed-body", "crossed-id"):
            data = b"another caller's response\n"
        return self._write(status, data, headers)

    def _download(self, size):
        content = self.behaviour.content
        etag = f'"{content}-{size}"'
        start, stop, status, headers = 0, size, 200, [("ETag", etag)]
        asked = _RANGE.fullmatch(self.headers.get("Range", ""))
        if asked and self.headers.get("If-Range", etag) == etag and any(asked.groups()):
            first, last = asked.groups()
            if first:
                start = int(first)
                stop = min(size, int(last) + 1) if last else size
            else:
                start = max(0, size - int(last))
            if start >= stop:
                headers.append(("Content-Range", f"bytes */{size}"))
                return self._write(416, b"", headers)
            status = 206
            headers.append(("Content-Range", f"bytes {start}-{stop - 1}/{size}"))
        headers.append(("Accept-Ranges", "bytes"))
        parts = slice_content(size, start, stop, content)
        return self._stream(status, parts, stop - start, headers)

    def _write(self, status, data, headers):
        if data is None:
            return self._stream(status, (), None, headers)
        return self._stream(status, (data,) if data else (), len(data), headers)

    def _head(self, status, length, headers):
        """Return the bytes of the response head."""
        attempt = self.headers.get("Attempt-Id")
        if self._has_fault("crossed-id"):
            attempt = "another-attempt"
        if attempt is not None and not self._has_fault("missing-id"):
            headers = [("Attempt-Id", attempt), *headers]
        if report := self.record.report():
            headers = [("Load-Report", report), *headers]
        if length is not None and not self._has_fault("unframed"):
            if self.options.get("chunked") == "1":
                headers = [*headers, ("Transfer-Encoding", "chunked")]
            else:
                headers = [*headers, ("Content-Length", str(length))]
            if self._has_fault("conflicting-lengths"):
                headers.append(("Content-Length", str(length + 1)))
        if self.options.get("close") == "1":
            self.close_connection = True
        phrase = self.responses.get(status, ("Status",))[0]
        lines = [f"HTTP/1.1 {status} {phrase}"]
        lines += [f"{name}: {value}" for name, value in headers]
        if self.close_connection and not any(n == "Connection" for n, _ in headers):
            lines.append("Connection: close")
        head = ("\r\n".join(lines) + "\r\n\r\n").encode("latin-1")
        if self._has_fault("interim"):
            head = b"HTTP/1.1 103 Early Hints\r\nLink: </x>\r\n\r\n" + head
        return head

    def _stream(self, status, parts, length, headers):
        """Send a response, with the fault of this request; return its end."""
        head = self._head(status, length, headers)
        if self._has_fault("reset-in-response-head"):
            self.wfile.write(head[: len(head) // 2])
            raise _Cut("reset-in-response-head")
        if self.command == "HEAD" or length is None:
            self.wfile.write(head)
            return "whole"
        rate = float(self.options.get("rate", self.behaviour.body_rate))
        deadline = self.request["response_deadline"]
        cut_at = self._find_cut(length)
        buffer, sent = [head], 0
        for part in parts:
            if cut_at is not None:
                part = part[: cut_at - sent]
            buffer.append(self._frame(part))
            sent += len(part)
            self.wfile.write(b"".join(buffer))
            buffer = []
            if cut_at is not None and sent >= cut_at:
                # Closing in order, where a reset could discard bytes sent.
                raise _Cut(self.fault.name)
            if rate:
                self._pause(len(part) / rate, deadline)
            elif deadline is not None and time.time() >= deadline:
                raise _Cut("late")
        if self.options.get("chunked") == "1" and not self._has_fault("unframed"):
            buffer.append(b"0\r\n\r\n")
        if self._has_fault("over-long"):
            buffer.append(b"overlong")
        if self._has_fault("extra-bytes"):
            buffer.append(_EXTRA)
        self.wfile.write(b"".join(buffer))
        if self._has_fault("unframed"):
            raise _Cut("unframed")
        return "whole"

    def _find_cut(self, length):
        """Return the byte of the body at which a fault strikes, or None."""
        if not self._has_fault("reset-in-body", "truncated"):
            return None
        cut_at = self.fault.at if self.fault.at >= 0 else length // 2
        return cut_at if cut_at < length else None

    def _frame(self, part):
        if self.options.get("chunked") == "1" and not self._has_fault("unframed"):
            return b"%x\r\n%b\r\n" % (len(part), part) if part else b""
        return part

    def _reset(self):
        """Send a reset instead of an orderly end."""
        linger = b"\x01\x00\x00\x00\x00\x00\x00\x00"
        self.connection.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, linger)
        self.close_connection = True
        # The server's own shutdown would send an orderly end first, and the
        # socket stays open as long as the reader holds it.
        self.rfile.close()
        self.connection.close()

    def _control(self, name):
        length = int(self.headers.get("Content-Length") or 0)
        body = self.rfile.read(length)
        self.fault = None
        self.options = {}
        self.request = {"response_deadline": None}
        self.behaviour = self.record.behaviour
        try:
            answer = self._run_control(name, json.loads(body or b"{}"))
        except (KeyError, TypeError, ValueError) as error:
            self._write(400, f"{error}\n".encode(), [])
            return
        data = json.dumps(answer).encode()
        self._write(200, data, [("Content-Type", "application/json")])

    def _run_control(self, name, values):
        if name == "behaviour":
            self.record.change(values)
        elif name == "turn":
            new_start = values.get("new_start", True)
            self.record.turn_cold(new_start, values.get("reports_cold", True))
        elif name == "clear":
            self.record.clear()
        elif name == "records":
            return self.record.dump()
        else:
            raise KeyError(f"there is no control page {name}")
        return {"start": self.record.start_id}
