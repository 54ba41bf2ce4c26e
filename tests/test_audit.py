import io
import json
import logging
import threading
import time
from pathlib import Path

from redwingspring import logs
from redwingspring.audit import AuditTrail, format_entry
from redwingspring.logs import configure_logs

from .base import RedwingspringTestCase
from .names import find_names, matches_name, read_table_names

ROOT = Path(__file__).parent.parent
FORGED = "a\n2026-12-04 INFO host\x1b[2Jtaken\u2028b\x85\udc80"


class AuditTest(RedwingspringTestCase):
    def setUp(self):
        super().setUp()
        logger = logging.getLogger("redwingspring")
        previous = logger.handlers[:], logger.level, logger.propagate
        self.addCleanup(self.restore, logger, *previous)

    def restore(self, logger, handlers, level, propagate):
        logger.handlers[:] = handlers
        logger.setLevel(level)
        logger.propagate = propagate

    def log(self, style, write):
        stream = io.StringIO()
        writer = configure_logs(style, "INFO", stream)
        write(logging.getLogger("redwingspring.test"))
        writer.stop()
        return stream.getvalue()

    def test_a_value_cannot_forge_an_entry_or_a_log_line(self):
        trail = AuditTrail()
        for style in ("text", "json"):
            text = self.log(style, lambda _: trail.record(FORGED, FORGED, FORGED))
            self.assertEqual(1, len(text.splitlines()), text)
            self.assertNotIn("\x1b", text)
        entry = trail.list_entries()[0]
        for value in (entry.kind, entry.subject, entry.detail):
            self.assertTrue(value.isprintable(), value)
        self.assertEqual(1, len(format_entry(entry.as_dict()).splitlines()))

    def test_an_entry_of_another_process_prints_as_a_single_line(self):
        fields = {"number": 1, "time": 0, "kind": "k", "subject": FORGED, "detail": ""}
        self.assertEqual(1, len(format_entry(fields).splitlines()))

    def test_number_and_length_of_entries_are_bounded(self):
        trail = AuditTrail(capacity=2)
        for _ in range(3):
            trail.record("k", "s" * 10_000, "d" * 10_000)
        self.assertEqual([2, 3], [entry.number for entry in trail.list_entries()])
        self.assertEqual([3], [entry.number for entry in trail.list_entries(after=2)])
        self.assertTrue(all(len(str(e.as_dict())) < 2000 for e in trail.list_entries()))

    def test_a_traceback_cannot_pass_for_log_lines(self):
        def write(logger):
            try:
                raise ValueError("x\n2026-12-04 00:00:00,000 INFO forged")
            except ValueError:
                logger.exception("failed")

        lines = self.log("text", write).splitlines()
        self.assertTrue(all(line.startswith("    ") for line in lines[1:]), lines)
        self.assertEqual(1, len(self.log("json", write).splitlines()))

    def test_a_log_line_has_the_request_id(self):
        def write(logger):
            logger.info("state changed", extra={"request_id": "r-1"})

        self.assertTrue(self.log("text", write).endswith("state changed request r-1\n"))
        self.assertEqual("r-1", json.loads(self.log("json", write))["request_id"])

    def test_a_blocked_log_stream_blocks_neither_logging_nor_the_exit(self):
        release = threading.Event()

        class BlockedStream(io.StringIO):
            def write(self, text):
                release.wait()
                return super().write(text)

        self.patch(logs, "MAX_QUEUED_LINES", 5)
        self.patch(logs, "STOP_WAIT_S", 0.05)
        writer = configure_logs("text", "INFO", BlockedStream())
        logger = logging.getLogger("redwingspring")
        for _ in range(20):
            logger.info("state changed")
        self.assertTrue(logs.count_dropped_lines() >= 14)
        started = time.monotonic()
        writer.stop()
        self.assertTrue(time.monotonic() - started < 5, "the process could not end")
        release.set()

    def test_kinds_and_documentation_agree(self):
        used = find_names(ROOT / "redwingspring", {"record"}, {"audit", "_audit"})
        listed = read_table_names(ROOT / "docs" / "audit.md")
        self.assertEqual([], [n for n in used if not matches_name(n, listed)])
        self.assertEqual([], [n for n in listed if not matches_name(n, used)])
