"""Authentication of requests by their API keys: the team, or the rejection."""

from dataclasses import dataclass, field

from expression import Error, Ok

from .clock import read_clock
from .confirmations import MAX_CONFIRMED_AGE_S, RENEWAL_RETRY_AFTER_S
from .routedispatch import Rejection
from .verdict import Reason, refuse

# Fraction of the time within which all hosts reject a removed key. The rest covers
# clocks of different rates and the time between the guard and the send.
ACCEPTED_FRACTION = 0.9


@dataclass(frozen=True)
class ConfirmedTable:
    """Routing table in force with the time at which the store confirmed it.

    Attributes
    ----------
    table : RoutingTable or None
        The table; None without a configuration.
    confirmed_at : float
        Time at which the store held no newer one; -inf if it is unknown.
    """

    table: object
    confirmed_at: float


@dataclass(frozen=True)
class Identity:
    """Team under which a request runs.

    Attributes
    ----------
    team : Team or None
        The team; None for a request without a key.
    uses_keys : bool
        Whether the configuration contained teams when the request was read.
    key : bytes or None
        API key of the request.
    """

    team: object
    uses_keys: bool
    key: bytes | None = field(default=None, repr=False)


class Authenticator:
    """Decides under which team a request runs, when it is read and before each send.

    Parameters
    ----------
    store_state : StoreState
        Configuration in force.
    last_confirmation : LastConfirmation
        When the store confirmed it.
    strict_revoke_s : float or None
        Seconds within which all hosts reject a removed key; with None, keys in force
        are accepted however long ago the store confirmed them.
    metrics : Metrics
        Counters of rejections.
    clock : callable, default=read_clock
        Returns seconds; keeps counting while the host is suspended.
    """

    def __init__(
        self, store_state, last_confirmation, strict_revoke_s, metrics, clock=read_clock
    ):
        self._store_state = store_state
        self._last_confirmation = last_confirmation
        self._max_age_s = float("inf")
        if strict_revoke_s is not None:
            self._max_age_s = ACCEPTED_FRACTION * strict_revoke_s
        self._metrics = metrics
        self._clock = clock

    def read_table(self):
        """Return the routing table in force and when it was confirmed.

        Returns
        -------
        ConfirmedTable
            The table may be newer than the time, never older.
        """
        # In the other order, a pause in between would pair an old table with the time
        # at which a newer one was confirmed.
        confirmed_at = self._last_confirmation.confirmed_at
        return ConfirmedTable(self._store_state.table, confirmed_at)

    def authenticate(self, confirmed, route, key):
        """Return the team under which a request runs.

        Parameters
        ----------
        confirmed : ConfirmedTable
            Routing table by which the request is handled.
        route : Route or None
            Route of the request; None if no route matches.
        key : bytes or None
            API key of the request; None if it has none.

        Returns
        -------
        expression.Result
            Ok with an Identity, or an Error with a Rejection.
        """
        if confirmed.table.teams is None:
            return Ok(Identity(None, False))
        if key is not None:
            return self._find_team(confirmed, key).map_error(self._reject)
        if route is None or route.public:
            return Ok(Identity(None, True))
        self._metrics.increment("keys.missing")
        failure = refuse(Reason.UNAUTHORIZED, "the request has no API key", 401)
        return Error(Rejection(failure))

    def check_again(self, identity):
        """Check directly before a send that a request still runs under its team.

        Parameters
        ----------
        identity : Identity
            Result of the authentication when the request was read.

        Returns
        -------
        Failure or None
            The failure that forbids the send, or None.
        """
        failure = self._check_identity(identity)
        if failure is not None:
            self._metrics.increment("keys.rejected_before_send")
        return failure

    def _check_identity(self, identity):
        confirmed = self.read_table()
        table = confirmed.table
        # The headers of the request depend on whether there were teams.
        if table is None or (table.teams is not None) != identity.uses_keys:
            return _refuse_changed()
        if identity.key is None:
            return None
        found = self._find_team(confirmed, identity.key)
        if found.is_error():
            return found.error
        if found.ok.team.name != identity.team.name:
            return _refuse_changed()
        return None

    def _find_team(self, confirmed, key):
        """Return Ok with an Identity for a key, or an Error with a Failure."""
        team = confirmed.table.teams.find(key)
        # The clock is read last, so that it includes a pause before this point.
        age_s = self._clock() - confirmed.confirmed_at
        # A newer version may contain a key that is unknown here.
        limit_s = self._max_age_s if team else min(self._max_age_s, MAX_CONFIRMED_AGE_S)
        if age_s >= limit_s:
            detail = f"the store has not confirmed the API keys for {age_s:.1f} s"
            return Error(refuse(Reason.UNCONFIRMED, detail))
        if team is None:
            failure = refuse(Reason.UNAUTHORIZED, "the API key is not known", 401)
            return Error(failure)
        return Ok(Identity(team, True, key))

    def _reject(self, failure):
        """Count a failure and return its rejection."""
        if failure.reason is Reason.UNCONFIRMED:
            self._metrics.increment("keys.unconfirmed")
            return Rejection(failure, RENEWAL_RETRY_AFTER_S)
        self._metrics.increment("keys.unknown")
        return Rejection(failure)


def _refuse_changed():
    detail = "the teams changed while the request waited"
    return refuse(Reason.UNCONFIRMED, detail)
