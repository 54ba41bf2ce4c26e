"""Table of all configuration keys with their kinds, defaults and documentation."""

from collections.abc import Callable
from dataclasses import dataclass


def _list_policies():
    # Imported here to avoid an import cycle: policies may import modules that read
    # this table.
    from .policy.policies import policies

    return policies.list_names()


def _list_ramps():
    from .policy.ramps import ramps

    return ramps.list_names()


@dataclass(frozen=True)
class Key:
    """A configuration key.

    Attributes
    ----------
    name : str
        Dotted name as operators write it.
    kind : str
        One of ``duration``, ``size``, ``ratio``, ``rate``, ``count``,
        ``choice``, ``names``, ``flag`` and ``path``.
    default : object
        Default in base units: seconds, bytes, a fraction, events per second.
    doc : str
        Documentation for operators, one sentence.
    choices : tuple of str or callable, default=()
        Allowed values of the kinds ``choice`` and ``names``, or a function
        that returns them.
    minimum, maximum : float or int or None, default=None
        Inclusive bounds in base units; None means no bound.
    scope : {"target", "service"}, default="target"
        ``service`` marks a key that has one value for a whole service, so an
        exception for a target or data centre cannot set it.
    exception_only : bool, default=False
        Whether only an exception, not ``defaults`` of a document, can set the key.
    """

    name: str
    kind: str
    default: object
    doc: str
    choices: tuple | Callable = ()
    minimum: float | int | None = None
    maximum: float | int | None = None
    scope: str = "target"
    exception_only: bool = False

    def list_choices(self):
        """Return the allowed values of the kinds ``choice`` and ``names``.

        Returns
        -------
        tuple of str
            The values; empty for other kinds.
        """
        return self.choices() if callable(self.choices) else self.choices


HOUR_S = 3600.0

KEYS = {
    key.name: key
    for key in (
        Key(
            "serve",
            "choice",
            "in",
            "Whether the target, service or data centre takes new work.",
            ("in", "out"),
            exception_only=True,
        ),
        Key(
            "request.deadline",
            "duration",
            10.0,
            "Longest time until a response begins.",
            minimum=0.001,
            maximum=HOUR_S,
            scope="service",
        ),
        Key(
            "request.body",
            "size",
            64 << 20,
            "Largest request body.",
            minimum=0,
            maximum=1 << 30,
            scope="service",
        ),
        Key(
            "request.replay_body",
            "size",
            64 << 10,
            "Largest request body that is buffered so that it can be sent again.",
            minimum=0,
            maximum=16 << 20,
            scope="service",
        ),
        Key(
            "request.idempotent_methods",
            "names",
            ("GET", "HEAD", "OPTIONS"),
            "Methods that may be sent again after a failure without proof.",
            ("GET", "HEAD", "OPTIONS", "PUT", "DELETE", "TRACE"),
            scope="service",
        ),
        Key(
            "response.echo",
            "choice",
            "required",
            "Whether a response must echo the Attempt-Id.",
            ("required", "when-present"),
        ),
        Key(
            "response.stall",
            "duration",
            10.0,
            "Longest pause within a response body.",
            minimum=0.01,
            maximum=HOUR_S,
        ),
        Key(
            "target.slots",
            "count",
            3,
            "Requests that a target runs at once.",
            minimum=1,
            maximum=10_000,
        ),
        Key(
            "target.connections",
            "count",
            250,
            "Connections that a target accepts, summed over all hosts.",
            minimum=1,
            maximum=1_000_000,
        ),
        Key(
            "target.connect",
            "duration",
            0.25,
            "Longest time for a new connection.",
            minimum=0.001,
            maximum=60.0,
        ),
        Key(
            "target.idle",
            "duration",
            30.0,
            "How long an unused connection to a target is kept.",
            minimum=0,
            maximum=HOUR_S,
        ),
        Key(
            "cold.slots",
            "count",
            1,
            "Requests that a target in cold start runs at once, over all hosts.",
            minimum=1,
            maximum=10_000,
        ),
        # A restarted host grants no lease for 2 s, so that all leases that it granted
        # before the restart have expired. A longer lease would outlast this period.
        Key(
            "cold.lease",
            "duration",
            2.0,
            "Longest lease on a slot of a target in cold start.",
            minimum=0.05,
            maximum=2.0,
        ),
        Key(
            "cold.ramp",
            "choice",
            "stepwise",
            "Ramp policy of a cold start.",
            _list_ramps,
        ),
        Key(
            "cold.step_responses",
            "count",
            5,
            "Complete responses after which a ramp opens its next slot.",
            minimum=1,
            maximum=1_000_000,
        ),
        Key(
            "balance.policy",
            "choice",
            "expected-finish",
            "Policy that selects a target.",
            _list_policies,
            scope="service",
        ),
        Key(
            "retry.share",
            "ratio",
            0.1,
            "Retries as a share of first attempts.",
            minimum=0,
            maximum=1,
            scope="service",
        ),
        Key(
            "retry.attempts",
            "count",
            3,
            "Most attempts for one request.",
            minimum=1,
            maximum=10,
            scope="service",
        ),
        Key(
            "hedge.share",
            "ratio",
            0.0,
            "Hedges as a share of first attempts.",
            minimum=0,
            maximum=1,
            scope="service",
        ),
        Key(
            "queue.length",
            "count",
            64,
            "Requests of a service that wait at one host.",
            minimum=0,
            maximum=100_000,
            scope="service",
        ),
        Key(
            "queue.wait",
            "duration",
            0.5,
            "Longest wait in the queue.",
            minimum=0,
            maximum=60.0,
            scope="service",
        ),
        Key(
            "eject.failures",
            "count",
            3,
            "Failures in a row after which a target is ejected.",
            minimum=1,
            maximum=1_000_000,
        ),
        Key(
            "eject.time",
            "duration",
            2.0,
            "How long an ejected target receives no requests.",
            minimum=0,
            maximum=HOUR_S,
        ),
        Key(
            "eject.outlier",
            "count",
            5,
            "Multiple of the median latency that ejects a target; 0 never does.",
            minimum=0,
            maximum=1_000_000,
        ),
        Key(
            "probe.after",
            "duration",
            5.0,
            "Age of the last load report after which a target is probed.",
            minimum=0.01,
            maximum=HOUR_S,
        ),
        Key(
            "probe.budget",
            "rate",
            1.0,
            "Probes sent to a target, summed over all hosts.",
            minimum=0,
            maximum=1000.0,
        ),
        Key(
            "probe.path",
            "path",
            "/",
            "Path that probes ask for with GET.",
        ),
        Key(
            "return.ramp",
            "duration",
            10.0,
            "Time in which a returned data centre rises to its full share.",
            minimum=0,
            maximum=HOUR_S,
        ),
        Key(
            "address.keep",
            "duration",
            30.0,
            "How long a caller keeps the address of a host.",
            minimum=0,
            maximum=HOUR_S,
            scope="service",
        ),
    )
}
