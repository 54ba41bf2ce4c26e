"""Decision log lines suffice to trace a failed request to its cause."""

import io
import json
import logging

from redwingspring import decisions
from redwingspring.decisions import DecisionLog
from redwingspring.logs import JsonFormatter
from redwingspring.metrics import Metrics

from .base import RedwingspringTestCase
from .standins import (
    POSTS,
    READS,
    HostFixture,
    describe_configuration,
    describe_route,
    wait_until,
)


class DecisionLogCapture:
    """Captures the lines of the decision log as they are formatted for output."""

    def __init__(self, test):
        self._stream = io.StringIO()
        handler = logging.StreamHandler(self._stream)
        handler.setFormatter(JsonFormatter())
        test.addCleanup(decisions.logger.removeHandler, handler)
        decisions.logger.addHandler(handler)
        level = decisions.logger.level
        test.addCleanup(decisions.logger.setLevel, level)
        decisions.logger.setLevel(logging.INFO)

    def read(self, **expected):
        lines = [json.loads(line) for line in self._stream.getvalue().splitlines()]
        return [entry for entry in lines if expected.items() <= entry.items()]


class FailedRequestTest(RedwingspringTestCase):
    def read_failure(self, logs, host, status, *request, **options):
        response = host.ask(*request, **options)
        self.assertEqual(status, response[0])
        [failed] = logs.read(message="request failed")
        sent = logs.read(message="request sent", request_id=failed["request_id"])
        return failed, sent

    def test_a_read_rejected_for_lack_of_capacity_logs_its_wait_and_reason(self):
        logs = DecisionLogCapture(self)
        host = HostFixture(self, instances=1)
        host.instances[0].load = "3,5,3,100"
        failed, sent = self.read_failure(logs, host, 503)
        self.assertEqual([], sent)
        self.assertEqual(
            ("no-capacity", "not-run"), (failed["reason"], failed["verdict"])
        )
        self.assertTrue(failed["held_ms"] < 500)
        self.assertTrue(failed["retry_after_s"] > 0)
        self.assertEqual(1, failed["configuration_version"])

    def test_a_post_that_may_have_run_logs_the_instance_and_its_load(self):
        logs = DecisionLogCapture(self)
        host = HostFixture(self, instances=1)
        host.instances[0].mode = "reset"
        failed, sent = self.read_failure(logs, host, 502, "POST", POSTS, body=b"x")
        self.assertEqual(
            ("reset", "may-have-run"), (failed["reason"], failed["verdict"])
        )
        [line] = sent
        self.assertEqual(
            ("i-0", 0, 1.0), (line["instance"], line["running"], line["slowness"])
        )
        self.assertTrue(line["load_age_ms"] < 100)

    def test_a_request_that_missed_its_deadline_logs_its_attempts(self):
        logs = DecisionLogCapture(self)
        route = describe_route("reads", READS, "idempotent", timeout_s=0.5)
        host = HostFixture(
            self, instances=2, configuration=describe_configuration(1, [route])
        )
        for instance in host.instances:
            instance.mode = "hang"
        failed, sent = self.read_failure(logs, host, 504)
        self.assertEqual("deadline", failed["reason"])
        self.assertEqual([1, 2], [line["attempt"] for line in sent])
        self.assertEqual({"i-0", "i-1"}, {line["instance"] for line in sent})

    def test_a_lost_and_regained_store_is_logged_once_each(self):
        logs = DecisionLogCapture(self)
        host = HostFixture(self)
        host.store.status = 503
        wait_until(lambda: logs.read(message="store lost"))
        host.store.status = 200
        wait_until(lambda: len(logs.read(message="store regained")) == 2)
        self.assertTrue(logs.read(message="store lost")[0]["cause"])


class LogRateTest(RedwingspringTestCase):
    def test_the_rate_of_lines_is_limited_and_suppressed_lines_are_counted(self):
        logs = DecisionLogCapture(self)
        now = [10.0]
        metrics = Metrics()
        log = DecisionLog(metrics, lambda: now[0])
        for _ in range(20_000):
            now[0] += 0.0005
            log.record("request sent", request_id="r")
        written = len(logs.read())
        max_lines = decisions.BURST_LINES + 10 * decisions.LINES_PER_S + 1
        self.assertTrue(written <= max_lines, written)
        self.assertEqual(20_000 - written, metrics.snapshot()["logs.suppressed"])
