"""WSGI application that forwards callers' requests to targets."""

import time

from .calls import HOP_BY_HOP_HEADERS, read_call, read_request_id
from .relay import RelayBody
from .verdict import Reason, Verdict, fail_uncertain

# Headers that targets send to the load balancer only, and headers that only the load
# balancer may send to callers.
_INTERNAL_RESPONSE_HEADERS = frozenset(
    ("attempt-id", "failure-reason", "load-report", "request-id", "request-run")
)
_CONTROL_CHARACTERS_TO_SPACES = dict.fromkeys([*range(32), 127], " ")
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
    """Forward callers' requests and relay the targets' responses.

    Parameters
    ----------
    directory : TargetDirectory
        Targets and configuration in force.
    dispatcher : Dispatcher
        Sends calls to targets.
    request_log : RequestLog
        Log of recent request ids.
    metrics : Metrics
        Counters and timings of requests.
    """

    def __init__(self, directory, dispatcher, request_log, metrics):
        self.directory = directory
        self.dispatcher = dispatcher
        self.request_log = request_log
        self.metrics = metrics

    def __call__(self, environ, start_response):
        """Handle one request.

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
        id_result = read_request_id(environ)
        if id_result.is_error():
            return self._send_failure(environ, start_response, "-", id_result.error)
        request_id = id_result.ok
        call_result = read_call(environ, request_id, self.directory.table)
        if call_result.is_error():
            return self._send_failure(
                environ, start_response, request_id, call_result.error
            )
        call = call_result.ok
        if not self.request_log.start(request_id, exclusive=not call.idempotent):
            detail = "a request with this id was accepted before"
            failure = fail_uncertain(Reason.DUPLICATE, detail, 409)
            return self._send_failure(environ, start_response, request_id, failure)
        return self._handle_call(call, environ, start_response)

    def _handle_call(self, call, environ, start_response):
        """Handle a call that has been entered in the request log."""
        ended = False

        def end(verdict):
            nonlocal ended
            ended = True
            self.request_log.finish(call.request_id, verdict)

        try:
            return self._relay(call, environ, start_response, end)
        finally:
            if not ended and environ.get("redwingspring.relay") is None:
                end(Verdict.MAY_HAVE_RUN)

    def _relay(self, call, environ, start_response, end):
        """Admit and send a call; return the body of its response."""
        started = time.monotonic()
        admitted = self.dispatcher.admit(call)
        if admitted.is_error():
            end(admitted.error.verdict)
            return self._send_failure(
                environ, start_response, call.request_id, admitted.error
            )
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
            return self._send_failure(
                environ, start_response, call.request_id, outcome.error
            )

        # Time until the response headers, without the time that the target took.
        added_s = time.monotonic() - started - relay.target_time
        self.metrics.record_time("requests.added", added_s)

        def finish(verdict):
            admission.release_slot()
            self.metrics.record_time("requests.time", time.monotonic() - started)
            end(verdict)
            self.metrics.increment(f"requests.{verdict}")

        body = RelayBody(
            self.dispatcher, call, relay, finish, lambda: self._abort_response(environ)
        )
        environ["redwingspring.relay"] = body
        try:
            failure = body.start()
            if failure is not None:
                return self._send_failure(
                    environ, start_response, call.request_id, failure, counted=True
                )
            self._send_head(call, relay.response, start_response)
        except BaseException:
            body.close()
            raise
        return body

    def _send_head(self, call, response, start_response):
        """Start the response with the target's status and end-to-end headers."""
        dropped = HOP_BY_HOP_HEADERS | _INTERNAL_RESPONSE_HEADERS
        for options in response.headers.getlist("connection"):
            dropped = dropped | {name.strip().lower() for name in options.split(",")}
        headers = [
            (name, value.translate(_CONTROL_CHARACTERS_TO_SPACES))
            for name, value in response.headers.items()
            if name.lower() not in dropped
        ]
        headers.append(("Request-Id", call.request_id))
        reason = (response.reason or "Status").translate(_CONTROL_CHARACTERS_TO_SPACES)
        start_response(f"{response.status} {reason}", headers)

    def _abort_response(self, environ):
        """Reset the connection so that the caller detects the incomplete response."""
        self.metrics.increment("responses.broken")
        connection = environ.get("redwingspring.connection")
        if connection is not None:
            connection.abort()

    def _send_failure(
        self, environ, start_response, request_id, failure, counted=False
    ):
        """Start the response for a failure and return its body."""
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
