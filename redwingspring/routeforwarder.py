"""WSGI application for requests that routes assign to services."""

from expression import Error, Ok

from .body import RequestBody
from .calls import HOP_BY_HOP_HEADERS, read_headers, read_length
from .clock import read_clock
from .routedispatch import Rejection, RoutedCall
from .routes import WeightedRoundRobin
from .targetconnection import ResponseBroken
from .upstream import CallerGone
from .verdict import Reason, refuse

PHRASES = {
    400: "Bad Request",
    404: "Not Found",
    413: "Content Too Large",
    502: "Bad Gateway",
    503: "Service Unavailable",
    504: "Gateway Timeout",
}
# A host without configuration has one within about this time.
NO_TABLE_RETURN_S = 0.3
# Request bodies up to this size are kept, so that they can be sent again.
KEPT_BODY_BYTES = 256 << 10
# A host whose configuration was not confirmed for this long does not know that
# a route is missing.
TRUSTED_AGE_S = 3.0


class RouteForwarder:
    """Answers callers' requests with the responses of targets.

    Parameters
    ----------
    store_state : StoreState
        Configuration in force.
    dispatcher : RouteDispatcher
        Sends calls to targets.
    dialect : module
        Headers that callers use.
    metrics : Metrics
        Counters.
    decisions : DecisionLog
        Takes one line for each decision.
    latencies : RequestLatencies
        Histograms of latencies.
    clock : callable, default=read_clock
        Returns seconds.
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
        received = self._clock()
        read = self._read_call(environ, received)
        if read.is_error():
            return self._reject(environ, start_response, read.error, received)
        call = read.ok
        outcome = self.dispatcher.send(call)
        seconds = self._clock() - received
        if outcome.is_error():
            self.latencies.observe(call.route, "failed", seconds)
            return self._reject(environ, start_response, outcome.error, received, call)
        self.latencies.observe(call.route, "answered", seconds)
        return self._relay(environ, call, outcome.ok, start_response)

    def _read_call(self, environ, received):
        """Return Ok with a RoutedCall, or an Error with a Rejection."""
        table = self.store_state.table
        if table is None:
            failure = refuse(Reason.NOT_READY, "this host has no configuration yet")
            return Error(Rejection(failure, NO_TABLE_RETURN_S))
        metadata = self.dialect.parse_request_headers(environ)
        path = environ.get("REQUEST_URI") or environ["PATH_INFO"]
        route = table.find_route(environ.get("HTTP_HOST", ""), path)
        if route is None:
            return Error(self._reject_unknown_route())
        if metadata.request_id is None:
            failure = refuse(Reason.MALFORMED, "the request has no id", 400)
            return Error(Rejection(failure))
        length = read_length(environ)
        most = table.limits.body_bytes
        if length is not None and length > most:
            failure = refuse(Reason.TOO_LARGE, "the request body is too large", 413)
            return Error(Rejection(failure))
        left = route.timeout_s
        if metadata.time_left_s is not None:
            left = min(left, metadata.time_left_s)
        deadline = received + left
        connection = environ.get("redwingspring.connection")
        body = RequestBody(
            environ["wsgi.input"],
            length,
            most,
            deadline,
            connection.limit_reads if connection else None,
            self._clock,
        )
        try:
            body.buffer(KEPT_BODY_BYTES)
        except CallerGone as gone:
            return Error(Rejection(refuse(gone.reason, str(gone), gone.status)))
        except TimeoutError:
            late = refuse(Reason.DEADLINE, "the request body was late")
            return Error(Rejection(late))
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
                received_at=received,
                deadline=deadline,
                caller_socket=connection.socket if connection else None,
                prior_wait_s=self.dispatcher.caller_timeouts.note(
                    route, metadata.time_left_s
                ),
            )
        )

    def _reject_unknown_route(self):
        """Return the rejection of a request that no known route matches."""
        if self.store_state.age_s > TRUSTED_AGE_S:
            detail = "no route is known, but the configuration may be outdated"
            return Rejection(refuse(Reason.NOT_READY, detail), NO_TABLE_RETURN_S)
        return Rejection(refuse(Reason.UNKNOWN_SERVICE, "no route matches", 404))

    def _relay(self, environ, call, answer, start_response):
        """Pass an answer on."""
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
        return _StreamedBody(answer, lambda: self._break(environ, call))

    def _break(self, environ, call):
        """Make the caller see that the response is not whole."""
        self.metrics.increment("responses.broken")
        self.decisions.record("response broke off", request_id=call.request_id)
        connection = environ.get("redwingspring.connection")
        if connection is not None:
            connection.abort()

    def _reject(self, environ, start_response, rejection, received, call=None):
        """Return the response for a failure."""
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
            held_ms=round((self._clock() - received) * 1000, 1),
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
    """A long response body that ends only when it is whole."""

    def __init__(self, answer, on_broken):
        self._answer = answer
        self._on_broken = on_broken
        self._next = answer.body
        self._left = None if answer.length is None else answer.length
        self._ended = False

    def __iter__(self):
        return self

    def __next__(self):
        data, self._next = self._next, None
        try:
            if data is None:
                data = self._answer.stream.read()
            if self._left is not None:
                self._left -= len(data)
                if not data and self._left:
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
        """End the relay; a body that is not whole breaks off visibly."""
        if self._ended:
            return
        self._ended = True
        self._answer.stream.abort()
        self._on_broken()
