"""Target for benchmarks: known work times and behaviour that changes at run time."""

import argparse
import asyncio
import json
import math
import time
import uuid
import zlib
from collections import deque

MAX_HEAD_BYTES = 64 << 10


def draw_work(request_id, mean, spread):
    """Return the work time of a request, the same at every target.

    Parameters
    ----------
    request_id : str
        Seeds the draw, so that a repeated request takes as long again.
    mean : float
        Mean in seconds.
    spread : float
        Share of the mean that varies, with an exponential distribution. No
        choice of a target can remove this variance.

    Returns
    -------
    float
        Seconds.
    """
    uniform = (zlib.crc32(request_id.encode()) + 1) / (2**32 + 1)
    return mean * (1 - spread - spread * math.log(uniform))


class BenchTarget:
    """Slots, waiting room and behaviour of one target.

    Parameters
    ----------
    slots : int
        Requests run at once.
    queue : int
        Requests that may wait; more are refused.
    work : float
        Mean work time in seconds.
    spread : float
        Share of the work time that varies.
    """

    def __init__(self, slots, queue, work, spread):
        self.slots = slots
        self.queue = queue
        self.work = work
        self.spread = spread
        self.slowness = 1.0
        self.failing = False
        self.start_id = uuid.uuid4().hex[:8]
        self.counts = dict.fromkeys(
            ("attempts", "repeats", "ran", "refused", "cancelled", "failed"), 0
        )
        self._running = set()
        self._waiting = deque()

    def report(self):
        """Return the value of the ``Load-Report`` header."""
        inflight = len(self._running) + len(self._waiting)
        return (
            f"inflight={inflight}; slots={self.slots}; state=warm; "
            f"start={self.start_id}"
        )

    def change(self, behaviour):
        """Change the behaviour, also of running requests.

        Parameters
        ----------
        behaviour : dict
            ``slowness`` (factor on work times) or ``failing`` (bool).
        """
        now = time.monotonic()
        for job in self._running:
            job.pause(now)
        self.slowness = behaviour.get("slowness", self.slowness)
        self.failing = behaviour.get("failing", self.failing)
        for job in self._running:
            job.resume(now)

    def enter(self, job):
        """Run a job, let it wait or refuse it."""
        self.counts["attempts"] += 1
        self.counts["repeats"] += job.repeat
        if self.failing:
            self.counts["failed"] += 1
            job.respond(500, b"failed\n")
        elif len(self._running) < self.slots:
            self._start(job)
        elif len(self._waiting) < self.queue:
            self._waiting.append(job)
        else:
            self.counts["refused"] += 1
            job.respond(503, b"busy\n", "Request-Run: not-run\r\n")

    def finish(self, job):
        """End a job that ran its time."""
        self.counts["ran"] += 1
        self._running.discard(job)
        job.respond(200, b"x" * 100)
        self._start_next()

    def cancel(self, job):
        """Drop a job whose connection closed."""
        if job in self._running:
            self._running.discard(job)
            job.pause(time.monotonic())
        elif job in self._waiting:
            self._waiting.remove(job)
        else:
            return
        self.counts["cancelled"] += 1
        self._start_next()

    def _start(self, job):
        self._running.add(job)
        job.resume(time.monotonic())

    def _start_next(self):
        if self._waiting and len(self._running) < self.slots:
            self._start(self._waiting.popleft())


class Job:
    """One request at a target."""

    def __init__(self, protocol, headers):
        self._protocol = protocol
        self._target = protocol.target
        self._attempt_id = headers.get("attempt-id", "")
        self.repeat = int(headers.get("request-attempt", 0)) > 0
        self._left = draw_work(
            headers.get("request-id", ""), self._target.work, self._target.spread
        )
        self._since = 0.0
        self._timer = None

    def resume(self, now):
        """Let the work go on at the target's present speed."""
        self._since = now
        loop = asyncio.get_running_loop()
        delay = self._left * self._target.slowness
        self._timer = loop.call_later(delay, self._target.finish, self)

    def pause(self, now):
        """Stop the work and keep what is left of it."""
        self._timer.cancel()
        self._left -= (now - self._since) / self._target.slowness
        self._left = max(0.0, self._left)

    def respond(self, status, body, extra=""):
        """Send the response."""
        head = (
            f"Attempt-Id: {self._attempt_id}\r\n"
            f"Load-Report: {self._target.report()}\r\n{extra}"
        )
        self._protocol.respond(status, body, head)


class BenchProtocol(asyncio.Protocol):
    """One connection; requests on it are answered one after the other."""

    def __init__(self, target):
        self.target = target
        self._buffer = b""
        self._job = None
        self._transport = None

    def connection_made(self, transport):
        """Keep the transport."""
        self._transport = transport

    def connection_lost(self, error):
        """Cancel the work of a closed connection."""
        if self._job is not None:
            self.target.cancel(self._job)
            self._job = None

    def data_received(self, data):
        """Collect a request."""
        self._buffer += data
        if self._job is None:
            self._take_request()

    def respond(self, status, body, extra):
        """Send a response and take the next request."""
        self._job = None
        head = f"HTTP/1.1 {status} Status\r\n{extra}Content-Length: {len(body)}\r\n\r\n"
        self._transport.write(head.encode() + body)
        if self._buffer:
            self._take_request()

    def _take_request(self):
        head, end, rest = self._buffer.partition(b"\r\n\r\n")
        if not end:
            if len(self._buffer) > MAX_HEAD_BYTES:
                self._transport.close()
            return
        first, *lines = head.decode("latin-1").split("\r\n")
        headers = {}
        for line in lines:
            name, _, value = line.partition(":")
            headers[name.lower()] = value.strip()
        length = int(headers.get("content-length", 0))
        if len(rest) < length:
            return
        self._buffer = rest[length:]
        path = first.split(" ")[1]
        if path == "/-/behaviour":
            self.target.change(json.loads(rest[:length]))
            self.respond(200, b"changed\n", "")
        elif path == "/-/counts":
            self.respond(200, json.dumps(self.target.counts).encode(), "")
        else:
            self._job = Job(self, headers)
            self.target.enter(self._job)


async def serve(listen, target):
    """Serve until the process ends."""
    host, port = listen.rsplit(":", 1)
    loop = asyncio.get_running_loop()
    server = await loop.create_server(lambda: BenchProtocol(target), host, int(port))
    await server.serve_forever()


def main():
    """Run a target from command line options."""
    parser = argparse.ArgumentParser()
    parser.add_argument("--listen", required=True)
    parser.add_argument("--slots", type=int, default=3)
    parser.add_argument("--queue", type=int, default=3)
    parser.add_argument("--work-ms", type=float, default=50.0)
    parser.add_argument("--spread", type=float, default=0.2)
    options = parser.parse_args()
    target = BenchTarget(
        options.slots, options.queue, options.work_ms / 1000, options.spread
    )
    asyncio.run(serve(options.listen, target))


if __name__ == "__main__":
    main()
