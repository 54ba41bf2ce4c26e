import contextlib
import socket
import threading
import time
from pathlib import Path
from unittest import mock

from redwingspring import metrics
from redwingspring.metrics import MAX_DATAGRAM_BYTES, Metrics, connect_statsd

from .base import RedwingspringTestCase
from .names import find_names, matches_name, read_table_names

ROOT = Path(__file__).parent.parent
METHODS = {"increment", "set_gauge", "record_time"}


class MetricsTest(RedwingspringTestCase):
    def listen(self):
        sock = socket.socket(socket.AF_INET, socket.SOCK_DGRAM)
        self.addCleanup(sock.close)
        sock.bind(("127.0.0.1", 0))
        sock.settimeout(0.2)
        return sock, f"127.0.0.1:{sock.getsockname()[1]}"

    def receive(self, sock):
        datagrams = []
        try:
            while True:
                datagrams.append(sock.recv(1 << 16))
        except TimeoutError:
            return datagrams

    def test_names_and_documentation_agree(self):
        used = find_names(ROOT / "redwingspring", METHODS)
        listed = read_table_names(ROOT / "docs" / "metrics.md")
        self.assertEqual([], [n for n in used if not matches_name(n, listed)])
        self.assertEqual([], [n for n in listed if not matches_name(n, used)])

    def test_datagrams_are_bounded_and_a_name_cannot_inject_a_metric(self):
        sock, address = self.listen()
        totals = Metrics(connect_statsd(address, "redwingspring.entry-0"))
        for number in range(300):
            totals.increment(f"failures.reason-{number}", number + 1)
        totals.increment("x" * 5000)
        totals.increment("a:1|c\nforged:9|g")
        totals.flush()
        datagrams = self.receive(sock)
        self.assertTrue(len(datagrams) > 1)
        self.assertTrue(all(len(d) <= MAX_DATAGRAM_BYTES for d in datagrams))
        lines = b"\n".join(datagrams).split(b"\n")
        self.assertEqual(302, len(lines))
        self.assertFalse([line for line in lines if line.startswith(b"forged")])
        self.assertIn(b"redwingspring.entry-0.failures.reason-6:7|c", lines)

    def test_counters_are_sent_as_increments(self):
        sock, address = self.listen()
        totals = Metrics(connect_statsd(address, "p"))
        for amount in (2, 3):
            totals.increment("requests.ran", amount)
            totals.flush()
        totals.flush()
        self.assertEqual(
            [b"p.requests.ran:2|c", b"p.requests.ran:3|c"], self.receive(sock)
        )

    def test_a_down_daemon_or_failing_sampler_does_not_end_the_flusher(self):
        sock, address = self.listen()
        sock.close()
        totals = Metrics(connect_statsd(address, "p"))
        self.patch(metrics, "FLUSH_INTERVAL_S", 0.01)
        stopping = threading.Event()
        thread = threading.Thread(target=totals.run_flusher, args=(stopping,))
        thread.start()
        totals.add_sampler(lambda _: 1 / 0)
        for _ in range(20):
            totals.increment("requests.ran")
            time.sleep(0.01)
        stopping.set()
        thread.join(5)
        self.assertFalse(thread.is_alive())
        self.assertTrue(totals.snapshot()["metrics.flush_errors"] > 0)

    def test_a_request_does_not_wait_for_a_flush(self):
        class Client:
            def pipeline(self):
                release.wait(10)
                return contextlib.nullcontext(mock.Mock())

        release = threading.Event()
        self.addCleanup(release.set)
        totals = Metrics(Client())
        threading.Thread(target=totals.flush, daemon=True).start()
        time.sleep(0.05)
        started = time.monotonic()
        totals.increment("requests.ran")
        totals.record_time("requests.time", 0.1)
        self.assertTrue(time.monotonic() - started < 1)

    def test_percentiles_cover_only_the_last_window(self):
        totals = Metrics()
        for milliseconds in range(1, 1001):
            totals.record_time("requests.time", milliseconds / 1000)
        self.patch(metrics, "TIMING_WINDOW_S", 0.0)
        totals.flush()
        summary = totals.timings()["requests.time"]
        self.assertEqual(1000, summary.count)
        self.assertEqual(
            (501, 991, 1000), (summary.p50_ms, summary.p99_ms, summary.max_ms)
        )
        self.assertEqual(991, totals.gauges()["requests.time.p99_ms"])
        totals.flush()
        self.assertEqual({}, totals.timings())
        self.assertEqual({"requests.time.count": 0}, totals.gauges())
