"""Relaying of response bodies to callers, with downloads resumed after a failure."""

import time
from dataclasses import replace

from .targetconnection import ResponseBroken
from .verdict import Reason, Verdict, fail_uncertain

# Statuses whose responses have no body.
_BODYLESS_STATUSES = (204, 304)
# Reasons for which the same request may succeed after a short wait.
_TRANSIENT_REASONS = frozenset(
    (Reason.NO_CAPACITY, Reason.NO_LEASE, Reason.STALE_DECISION, Reason.TARGET_REFUSED)
)
RESUME_RETRY_INTERVAL_S = 0.05
# A resume that brings less counts as without progress. Otherwise targets that stall
# after a few bytes could keep a download, a slot and its caller for hours.
MIN_PROGRESS_BYTES = 16 << 10


class RelayBody:
    """Iterable over a response body that ends normally only if it is complete.

    Parameters
    ----------
    dispatcher : Dispatcher
        Sends the request for the rest of an interrupted download.
    call : Call
        The caller's request.
    relay : Relay
        The response, whose head has arrived.
    on_end : callable
        Called once at the end, with the verdict.
    on_broken : callable
        Called when the connection to the caller must end with an error, because
        the body is incomplete.
    """

    def __init__(self, dispatcher, call, relay, on_end, on_broken):
        self._dispatcher = dispatcher
        self._call = call
        self._relay = relay
        self._on_end = on_end
        self._on_broken = on_broken
        self._tried = {relay.state}
        self._received_bytes = 0
        self._resume_offset = 0
        self._resumes_without_progress = 0
        self._resume_deadline = 0.0
        self._first_chunk = None
        self._ended = False
        first_response = relay.response
        self._status = first_response.status
        self._length = first_response.length
        self._etag = first_response.headers.get("etag", "")
        self._is_bodyless = (
            call.method == "HEAD" or first_response.status in _BODYLESS_STATUSES
        )

    def start(self):
        """Read the first chunk before the response to the caller is started.

        A failure here can still be reported with an error response.

        Returns
        -------
        Failure or None
            Why the body cannot be relayed; the relay has then ended.
        """
        try:
            self._first_chunk = b"" if self._is_bodyless else self._read()
        except ResponseBroken as error:
            self._end(Verdict.MAY_HAVE_RUN)
            return fail_uncertain(Reason.TRUNCATED, str(error))
        return None

    def __iter__(self):
        return self

    def __next__(self):
        data, self._first_chunk = self._first_chunk, None
        try:
            if data is None:
                data = self._read()
        except ResponseBroken:
            self._on_broken()
            self._end(Verdict.MAY_HAVE_RUN)
            raise
        if data:
            return data
        self._end(Verdict.RAN)
        raise StopIteration

    def close(self):
        """End the relay; if the body is incomplete, cancel the target's work."""
        if not self._ended:
            # The caller stalled or hung up. Without a declared length, the caller
            # would take a normal close for the end of the body.
            self._on_broken()
        self._end(Verdict.MAY_HAVE_RUN)

    def _end(self, verdict):
        if self._ended:
            return
        self._ended = True
        self._dispatcher.end_relay(self._relay, verdict is Verdict.RAN)
        self._on_end(verdict)

    def _read(self):
        """Return the next chunk; resume from another target if one fails."""
        while True:
            try:
                data = self._relay.response.read()
                if not data and self._length not in (None, self._received_bytes):
                    raise ResponseBroken(
                        f"{self._received_bytes} of {self._length} bytes arrived"
                    )
            except ResponseBroken:
                self._dispatcher.record_broken_response(self._relay)
                if not self._resume():
                    raise
                continue
            self._received_bytes += len(data)
            return data

    @property
    def _resumable(self):
        return (
            self._call.method == "GET"
            and self._call.idempotent
            and not self._call.body.exists
            and self._status == 200
            and self._length is not None
            and self._etag.startswith('"')
            and "Range" not in self._call.headers
        )

    def _resume(self):
        """Request the rest from another target; return False if that fails."""
        if not self._resumable:
            return False
        headers = dict(self._call.headers)
        headers["Range"] = f"bytes={self._received_bytes}-"
        headers["If-Range"] = self._etag
        configuration = self._dispatcher.directory.table.configuration
        wait = configuration.service_value("request.deadline", self._call.service)
        attempt_limit = configuration.service_value(
            "retry.attempts", self._call.service
        )
        progress = self._received_bytes - self._resume_offset
        if progress >= MIN_PROGRESS_BYTES or not self._resumes_without_progress:
            # After progress, targets that failed earlier may be tried again, as
            # they may have recovered. Without progress, each is tried only once.
            self._tried = {self._relay.state}
            self._resumes_without_progress = 0
            self._resume_deadline = time.time() + wait
        elif self._resumes_without_progress >= attempt_limit:
            return False
        self._resumes_without_progress += 1
        self._resume_offset = self._received_bytes
        call = replace(self._call, headers=headers, deadline=self._resume_deadline)
        sent = 0
        while sent < attempt_limit and time.time() < call.deadline:
            outcome = self._dispatcher.attempt(call, self._tried, sent + 1)
            if outcome.is_ok():
                if self._is_continuation(outcome.ok.response):
                    self._dispatcher.end_relay(self._relay, False)
                    self._relay = outcome.ok
                    self._dispatcher.metrics.increment("downloads.resumed")
                    return True
                self._dispatcher.end_relay(outcome.ok, False)
                sent += 1
            elif outcome.error.reason is Reason.CALLER_GONE:
                return False
            elif outcome.error.reason in _TRANSIENT_REASONS:
                # All other targets are busy or there are none. From now on the
                # target that failed may also be chosen.
                time.sleep(RESUME_RETRY_INTERVAL_S)
                self._tried = set()
            else:
                sent += 1
        return False

    def _is_continuation(self, response):
        """Tell whether a response contains exactly the rest of this body."""
        expected = f"bytes {self._received_bytes}-{self._length - 1}/{self._length}"
        return (
            response.status == 206
            and response.headers.get("etag") == self._etag
            and response.headers.get("content-range") == expected
            and response.length == self._length - self._received_bytes
        )
