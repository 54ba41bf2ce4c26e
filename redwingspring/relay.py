"""Response bodies on their way to callers, resumed when a target fails."""

import time
from dataclasses import replace

from .targetconnection import ResponseBroken
from .verdict import Reason, Verdict, fail_uncertain

# Statuses whose responses have no body.
_NO_BODY = (204, 304)
# Reasons for which the same request may succeed a little later.
_WAIT_REASONS = frozenset(
    (Reason.NO_CAPACITY, Reason.NO_LEASE, Reason.STALE_DECISION, Reason.TARGET_REFUSED)
)
RESUME_POLL_S = 0.05


class RelayBody:
    """Iterable over a response body that ends only when the body is whole.

    Parameters
    ----------
    dispatcher : Dispatcher
        Sends the request for the rest of an interrupted download.
    call : Call
        The caller's request.
    relay : Relay
        The response that began.
    on_end : callable
        Called once with the verdict.
    on_broken : callable
        Called when the caller must see an error.
    """

    def __init__(self, dispatcher, call, relay, on_end, on_broken):
        self._dispatcher = dispatcher
        self._call = call
        self._relay = relay
        self._on_end = on_end
        self._on_broken = on_broken
        self._tried = {relay.state}
        self._got = 0
        self._resumed_at = 0
        self._fruitless = 0
        self._resume_until = 0.0
        self._first = None
        self._ended = False
        first = relay.response
        self._status = first.status
        self._length = first.length
        self._etag = first.headers.get("etag", "")
        self._empty = call.method == "HEAD" or first.status in _NO_BODY

    def start(self):
        """Read the first part, so that an early failure still has a response.

        Returns
        -------
        Failure or None
            Why there is nothing to relay; the relay has then ended.
        """
        try:
            self._first = b"" if self._empty else self._read()
        except ResponseBroken as broken:
            self._end(Verdict.MAY_HAVE_RUN)
            return fail_uncertain(Reason.TRUNCATED, str(broken))
        return None

    def __iter__(self):
        return self

    def __next__(self):
        data, self._first = self._first, None
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
        """End the relay; a body that is not whole cancels the target's work."""
        if not self._ended:
            # The caller stalled or hung up. An orderly end would look like the
            # end of the body to a caller that has no length.
            self._on_broken()
        self._end(Verdict.MAY_HAVE_RUN)

    def _end(self, verdict):
        if self._ended:
            return
        self._ended = True
        self._dispatcher.end_relay(self._relay, verdict is Verdict.RAN)
        self._on_end(verdict)

    def _read(self):
        """Return the next part; continue from another target if one fails."""
        while True:
            try:
                data = self._relay.response.read()
                if not data and self._length not in (None, self._got):
                    raise ResponseBroken(f"{self._got} of {self._length} bytes arrived")
            except ResponseBroken:
                self._dispatcher.record_broken(self._relay)
                if not self._resume():
                    raise
                continue
            self._got += len(data)
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
        """Ask another target for the rest; return False if that fails."""
        if not self._resumable:
            return False
        headers = dict(self._call.headers)
        headers["Range"] = f"bytes={self._got}-"
        headers["If-Range"] = self._etag
        configuration = self._dispatcher.directory.table.configuration
        wait = configuration.service_value("request.deadline", self._call.service)
        most = configuration.service_value("retry.attempts", self._call.service)
        if self._got > self._resumed_at or not self._fruitless:
            # A target that failed earlier may have recovered; only without
            # progress are the targets tried once each.
            self._tried = {self._relay.state}
            self._fruitless = 0
            self._resume_until = time.time() + wait
        elif self._fruitless >= most:
            return False
        self._fruitless += 1
        self._resumed_at = self._got
        call = replace(self._call, headers=headers, deadline=self._resume_until)
        sent = 0
        while sent < most and time.time() < call.deadline:
            outcome = self._dispatcher.attempt(call, self._tried, sent + 1)
            if outcome.is_ok():
                if self._continues(outcome.ok.response):
                    self._dispatcher.end_relay(self._relay, False)
                    self._relay = outcome.ok
                    self._dispatcher.metrics.increment("downloads.resumed")
                    return True
                self._dispatcher.end_relay(outcome.ok, False)
                sent += 1
            elif outcome.error.reason is Reason.CALLER_GONE:
                return False
            elif outcome.error.reason in _WAIT_REASONS:
                # All other targets are busy or there are none; from now on
                # also the one that failed may take it.
                time.sleep(RESUME_POLL_S)
                self._tried = set()
            else:
                sent += 1
        return False

    def _continues(self, response):
        """Tell whether a response is exactly the rest of this body."""
        expected = f"bytes {self._got}-{self._length - 1}/{self._length}"
        return (
            response.status == 206
            and response.headers.get("etag") == self._etag
            and response.headers.get("content-range") == expected
            and response.length == self._length - self._got
        )
