"""WSGI application that forwards requests to services by route."""

from expression import Error, Ok

from .body import BufferBudget, RequestBody
from .calls import HOP_BY_HOP_HEADERS, read_content_length, read_headers
from .clock import read_clock
from .routedispatch import Rejection, RoutedCall
from .routes import WeightedRoundRobin
from .targetconnection import ResponseBroken
from .upstream import CallerGone, allow_stream
from .verdict import Reason, refuse

PHRASES = {
    400: "Bad Request",
    404: "Not Found",
    413: "Content Too Large",
    502: "Bad Gateway",
    503: "Service Unavailable",
    504: "Gateway Timeout",
}
# A starting host receives its configuration within about this time.
NO_CONFIGURATION_RETRY_AFTER_S = 0.3
# Request bodies up to this size are buffered, so that they can be replayed in a retry.
MAX_BUFFERED_BODY_BYTES = 256 << 10
# Bodies of all requests that are buffered together. The smallest hosts have 200 MB.
MAX_BUFFERED_BYTES = 32 << 20
# With a configuration that was not confirmed for longer than this, a request without
# a matching route may belong to a route that this host does not know yet.
MAX_CONFIRMED_AGE_S = 3.0


class RouteForwarder:
    """Forwards callers' requests and relays the targets' responses.

    Parameters
    ----------
    store_state : StoreState
        Configuration in force.
    dispatcher : RouteDispatcher
        Sends calls to targets.
    dialect : module
        Module with the names of the request and response headers and their parser.
    metrics : Metrics
        Counters of requests and failures.
    decisions : DecisionLog
        Log with one line for each decision.
    latencies : RequestLatencies
        Latency histograms by route and outcome.
    clock : callable, default=read_clock
        Clock; returns a time in seconds.
    """

    def __init__(
        self,
        store_state,
        dispatcher,
        dialect,
        metrics,
        decisions,
        latencies,
        clock=read_clock,
    ):
        self.store_state = store_state
        self.dispatcher = dispatcher
        self.dialect = dialect
        self.metrics = metrics
        self.decisions = decisions
        self.latencies = latencies
        self._clock = clock
        self._round_robin = WeightedRoundRobin()
        self._buffer_budget = BufferBudget(MAX_BUFFERED_BYTES)

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
        request = environ.get("redwingspring.request")
        # A pipelined request may have waited for those before it.
        received_at = getattr(request, "received_at", None) or self._clock()
        call_result = self._read_call(environ, received_at)
        if call_result.is_error():
            return self._reject(environ, start_response, call_result.error, received_at)
        call = call_result.ok
        try:
            outcome = self.dispatcher.send(call)
        finally:
            call.body.release()
        latency_s = self._clock() - received_at
        if outcome.is_error():
            self.latencies.observe(call.route, "failed", latency_s)
            return self._reject(
                environ, start_response, outcome.error, received_at, call
            )
        self.latencies.observe(call.route, "answered", latency_s)
        return self._relay(environ, call, outcome.ok, start_response)

    def _read_call(self, environ, received_at):
        """Return Ok with a RoutedCall, or an Error with a Rejection."""
        table = self.store_state.table
        if table is None:
            failure = refuse(Reason.NOT_READY, "this host has no configuration yet")
            return Error(Rejection(failure, NO_CONFIGURATION_RETRY_AFTER_S))
        metadata = self.dialect.parse_request_headers(environ)
        path = environ.get("REQUEST_URI") or environ["PATH_INFO"]
        route = table.find_route(environ.get("HTTP_HOST", ""), path)
        if route is None:
            return Error(self._reject_unknown_route())
        if metadata.request_id is None:
            failure = refuse(Reason.MALFORMED, "the request has no id", 400)
            return Error(Rejection(failure))
        length = read_content_length(environ)
        max_bytes = table.limits.body_bytes
        if length is not None and length > max_bytes:
            failure = refuse(Reason.TOO_LARGE, "the request body is too large", 413)
            return Error(Rejection(failure))
        remaining_s = route.timeout_s
        if metadata.time_left_s is not None:
            remaining_s = min(remaining_s, metadata.time_left_s)
        deadline = received_at + remaining_s
        connection = environ.get("redwingspring.connection")
        request = environ.get("redwingspring.request")
        body = RequestBody(
            environ["wsgi.input"],
            length,
            max_bytes,
            deadline,
            connection.set_read_timeout if connection else None,
            self._clock,
            self._buffer_budget,
        )
        try:
            body.buffer(MAX_BUFFERED_BODY_BYTES)
        except CallerGone as error:
            body.release()
            return Error(Rejection(refuse(error.reason, str(error), error.status)))
        except TimeoutError:
            body.release()
            failure = refuse(Reason.DEADLINE, "the request body was late")
            return Error(Rejection(failure))
        service = table.services[self._round_robin.choose(route)]
        return Ok(
            RoutedCall(
                request_id=metadata.request_id,
                route=route,
                service=service,
                method=environ["REQUEST_METHOD"],
                path=path,
                headers=read_headers(environ, self.dialect.REPLACED_REQUEST_HEADERS),
                body=body,
                received_at=received_at,
                deadline=deadline,
                caller_socket=connection.socket if connection else None,
                prior_wait_s=self.dispatcher.caller_timeouts.record_time_left(
                    route, metadata.time_left_s
                ),
                begin_stream=getattr(request, "begin_stream", allow_stream),
                profile=table.profiles.get(service.name),
            )
        )

    def _reject_unknown_route(self):
        """Return the rejection of a request that matches no known route."""
        if self.store_state.age_s > MAX_CONFIRMED_AGE_S:
            detail = "no route is known, but the configuration may be outdated"
            return Rejection(
                refuse(Reason.NOT_READY, detail), NO_CONFIGURATION_RETRY_AFTER_S
            )
        return Rejection(refuse(Reason.UNKNOWN_SERVICE, "no route matches", 404))

    def _relay(self, environ, call, answer, start_response):
        """Start the response with the target's answer and return its body."""
        headers = [
            (name, value)
            for name, value in answer.headers
            if name.lower() not in HOP_BY_HOP_HEADERS
            and name.lower() not in self.dialect.INTERNAL_RESPONSE_HEADERS
            and name.lower() != "content-length"
        ]
        if answer.length is not None:
            headers.append(("Content-Length", str(answer.length)))
        start_response(f"{answer.status} {answer.reason}", headers)
        self.metrics.increment("requests.answered")
        if call.method == "HEAD":
            return []
        if answer.stream is None:
            return [answer.body]
        return _StreamedBody(
            answer, lambda: self._abort_response(environ, call, answer)
        )

    def _abort_response(self, environ, call, answer):
        """Let the caller detect that the response is incomplete.

        The end of the connection shows it, as the response states its length or is
        chunked. A reset is needed without either, and only then: it could discard
        complete responses that the caller has not read yet.
        """
        self.metrics.increment("responses.broken")
        self.decisions.record("response broke off", request_id=call.request_id)
        connection = environ.get("redwingspring.connection")
        request = environ.get("redwingspring.request")
        shows_end = answer.length is not None or getattr(
            request, "chunked_write", False
        )
        if connection is not None and not shows_end:
            connection.abort()

    def _reject(self, environ, start_response, rejection, received_at, call=None):
        """Start the response for a failure and return its body."""
        failure = rejection.failure
        request_id = environ.get("HTTP_REQUEST_ID", "-")
        self.metrics.increment(f"requests.{failure.verdict}")
        self.metrics.increment(f"failures.{failure.reason}")
        retry_after = rejection.retry_after_s if failure.proves_not_run else None
        self.decisions.record(
            "request failed",
            request_id=request_id,
            verdict=str(failure.verdict),
            reason=str(failure.reason),
            detail=failure.detail,
            status=failure.status,
            retry_after_s=retry_after,
            route=call.route.name if call else None,
            priority=call.route.priority if call else None,
            held_ms=round((self._clock() - received_at) * 1000, 1),
            configuration_version=self.store_state.version,
            configuration_age_s=round(self.store_state.age_s, 2),
        )
        body = f"{failure.reason}: {failure.detail}\n".encode()
        headers = [
            ("Content-Type", "text/plain; charset=utf-8"),
            ("Content-Length", str(len(body))),
            ("Request-Run", str(failure.verdict)),
            ("Failure-Reason", str(failure.reason)),
        ]
        if retry_after is not None and failure.status == 503:
            headers.append(("Retry-After", f"{retry_after:.3f}"))
        phrase = PHRASES.get(failure.status, "Failure")
        start_response(f"{failure.status} {phrase}", headers)
        return [] if environ["REQUEST_METHOD"] == "HEAD" else [body]


class _StreamedBody:
    """Response body relayed in blocks, which ends normally only if it is complete."""

    def __init__(self, answer, on_incomplete):
        self._answer = answer
        self._on_incomplete = on_incomplete
        self._buffered = answer.body
        self._remaining_bytes = None if answer.length is None else answer.length
        self._ended = False

    def __iter__(self):
        return self

    def __next__(self):
        data, self._buffered = self._buffered, None
        try:
            if data is None:
                data = self._answer.stream.read()
            if self._remaining_bytes is not None:
                self._remaining_bytes -= len(data)
                if not data and self._remaining_bytes:
                    raise ResponseBroken("the body ended early")
        except ResponseBroken:
            self.close()
            raise
        if data:
            return data
        self._ended = True
        self._answer.stream.finish()
        raise StopIteration

    def close(self):
        """End the relay; abort a body that is not complete."""
        if self._ended:
            return
        self._ended = True
        self._answer.stream.abort()
        self._on_incomplete()
