"""Entry process that measures the parts of a call and prints them at its end."""

import argparse
import functools
import json
import signal
import sys
import threading
import time
from pathlib import Path

from redwingspring import (
    dispatch,
    forwarder,
    outcomes,
    relay,
    requestlog,
    server,
    upstream,
)
from redwingspring.control import Entry
from redwingspring.load import make_histogram
from redwingspring.settings import parse_settings

# Where each part is spent; a part may contain others.
PARTS = {
    "parse": (server.EntryRequest, "read_request_headers"),
    "call": (forwarder, "read_call"),
    "log-start": (requestlog.RequestLog, "start"),
    "admit": (dispatch.Dispatcher, "admit"),
    "send-all": (dispatch.Dispatcher, "send"),
    "decide": (dispatch.Dispatcher, "_choose"),
    "build": (dispatch.Dispatcher, "_build_attempt"),
    "pool": (upstream.TargetPool, "take"),
    "request": (upstream, "send_request"),
    "guard": (dispatch.Dispatcher, "_check_send"),
    "wait": (upstream, "_wait_for_response"),
    "head": (upstream.TargetConnection, "getresponse"),
    "record": (outcomes.OutcomeRecorder, "record_response_head"),
    "start-response": (forwarder.Forwarder, "_send_head"),
    "relay": (relay.RelayBody, "__next__"),
    "gateway": (server.EntryGateway, "respond"),
}


class PartTimer:
    """Times of the parts of a call, by part."""

    def __init__(self):
        self.parts = {name: make_histogram() for name in PARTS}
        self._lock = threading.Lock()

    def install(self):
        """Wrap every part."""
        for name, (owner, attribute) in PARTS.items():
            setattr(owner, attribute, self._wrap(name, getattr(owner, attribute)))

    def as_dict(self):
        """Return median and 99th percentile in microseconds, by part."""
        return {
            name: [
                histogram.get_value_at_percentile(50),
                histogram.get_value_at_percentile(99),
            ]
            for name, histogram in self.parts.items()
        }

    def _wrap(self, name, function):
        histogram = self.parts[name]

        @functools.wraps(function)
        def timed(*args, **options):
            started = time.perf_counter()
            try:
                return function(*args, **options)
            finally:
                spent = int((time.perf_counter() - started) * 1e6)
                with self._lock:
                    histogram.record_value(max(1, spent))

        return timed


def main():
    """Run the entry process until SIGTERM, then print the parts."""
    parser = argparse.ArgumentParser()
    parser.add_argument("--settings", type=Path, required=True)
    options = parser.parse_args()
    timer = PartTimer()
    timer.install()
    entry = Entry(parse_settings(options.settings.read_text()))
    signal.signal(signal.SIGTERM, lambda *_: entry.stop())
    entry.start()
    entry.wait()
    print(json.dumps(timer.as_dict()))
    sys.stdout.flush()


if __name__ == "__main__":
    main()
