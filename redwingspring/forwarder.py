"""WSGI application of the data path."""

import time

from .calls import HOP_BY_HOP_HEADERS, read_call, read_request_id
from .relay import RelayBody
from .verdict import Reason, Verdict, fail_uncertain

# Headers between targets and this system that callers do not see, and those
# by which only this system may speak to callers.
_OWN_RESPONSE_HEADERS = frozenset(
    ("attempt-id", "failure-reason", "load-report", "request-id", "request-run")
)
_CONTROLS = dict.fromkeys([*range(32), 127], " ")
_PHRASES = {
    400: "Bad Request",
    404: "Not Found",
    409: "Conflict",
    413: "Content Too Large",
    429: "Too Many Requests",
    502: "Bad Gateway",
    503: "Service Unavailable",
    504: "Gateway Timeout",
}


class Forwarder:
    """Answers callers' requests with targets' responses.

    Parameters
    ----------
    directory : TargetDirectory
        Targets and configuration in force.
    dispatcher : Dispatcher
        Sends calls to targets.
    requests : RequestLog
        Memory of request ids.
    metrics : Metrics
        Counters.
    """

    def __init__(self, directory, dispatcher, requests, metrics):
        self.directory = directory
        self.dispatcher = dispatcher
        self.requests = requests
        self.metrics = metrics

    def __call__(self, environ, start_response):
        """Serve one request.

        Parameters
        ----------
        environ : dict
            WSGI environment.
        start_response : callable
            WSGI callable.

        Returns
        -------
        iterable of bytes
            The response body.
        """
        named = read_request_id(environ)
        if named.is_error():
            return self._fail(environ, start_response, "-", named.error)
        request_id = named.ok
        read = read_call(environ, request_id, self.directory.table)
        if read.is_error():
            return self._fail(environ, start_response, request_id, read.error)
        call = read.ok
        if not self.requests.start(request_id, exclusive=not call.idempotent):
            detail = "a request with this id was accepted before"
            failure = fail_uncertain(Reason.DUPLICATE, detail, 409)
            return self._fail(environ, start_response, request_id, failure)
        return self._serve(call, environ, start_response)

    def _serve(self, call, environ, start_response):
        """Answer a call that the request log knows."""
        ended = False

        def end(verdict):
            nonlocal ended
            ended = True
            self.requests.finish(call.request_id, verdict)

        try:
            return self._relay(call, environ, start_response, end)
        finally:
            if not ended and environ.get("redwingspring.relay") is None:
                end(Verdict.MAY_HAVE_RUN)

    def _relay(self, call, environ, start_response, end):
        """Send a call and return the body of the response."""
        started = time.monotonic()
        admitted = self.dispatcher.admit(call)
        if admitted.is_error():
            end(admitted.error.verdict)
            return self._fail(environ, start_response, call.request_id, admitted.error)
        admission = admitted.ok
        relay = None
        try:
            outcome = self.dispatcher.send(call, admission)
            relay = outcome.default_value(None)
        finally:
            if relay is None:
                admission.release_slot()
        if relay is None:
            end(outcome.error.verdict)
            return self._fail(environ, start_response, call.request_id, outcome.error)

        # Everything before the head of the response but the target's own time.
        added = time.monotonic() - started - relay.target_time
        self.metrics.record_time("requests.added", added)

        def finish(verdict):
            admission.release_slot()
            self.metrics.record_time("requests.time", time.monotonic() - started)
            end(verdict)
            self.metrics.increment(f"requests.{verdict}")

        body = RelayBody(
            self.dispatcher, call, relay, finish, lambda: self._break(environ)
        )
        environ["redwingspring.relay"] = body
        try:
            failure = body.start()
            if failure is not None:
                return self._fail(
                    environ, start_response, call.request_id, failure, counted=True
                )
            self._send_head(call, relay.response, start_response)
        except BaseException:
            body.close()
            raise
        return body

    def _send_head(self, call, response, start_response):
        """Pass the head of a response on."""
        dropped = HOP_BY_HOP_HEADERS | _OWN_RESPONSE_HEADERS
        for listed in response.headers.getlist("connection"):
            dropped = dropped | {name.strip().lower() for name in listed.split(",")}
        headers = [
            (name, value.translate(_CONTROLS))
            for name, value in response.headers.items()
            if name.lower() not in dropped
        ]
        headers.append(("Request-Id", call.request_id))
        reason = (response.reason or "Status").translate(_CONTROLS)
        start_response(f"{response.status} {reason}", headers)

    def _break(self, environ):
        """Make the caller see that the response is not whole."""
        self.metrics.increment("responses.broken")
        connection = environ.get("redwingspring.connection")
        if connection is not None:
            connection.abort()

    def _fail(self, environ, start_response, request_id, failure, counted=False):
        """Return the response for a failure."""
        if not counted:
            self.metrics.increment(f"requests.{failure.verdict}")
        self.metrics.increment(f"failures.{failure.reason}")
        body = (
            f"request {request_id} {failure.verdict}\n"
            f"reason {failure.reason}: {failure.detail}\n"
        ).encode()
        headers = [
            ("Content-Type", "text/plain; charset=utf-8"),
            ("Content-Length", str(len(body))),
            ("Request-Id", request_id),
            ("Request-Run", str(failure.verdict)),
            ("Failure-Reason", str(failure.reason)),
        ]
        phrase = _PHRASES.get(failure.status, "Failure")
        start_response(f"{failure.status} {phrase}", headers)
        return [] if environ["REQUEST_METHOD"] == "HEAD" else [body]
