"""Routes: which service answers a request, and under which limits."""

from dataclasses import dataclass, field
from types import MappingProxyType

# Routes of which requests are remembered, those of earlier configurations included.
MAX_ROUTES = 5000


@dataclass(frozen=True)
class WeightedService:
    """Part of a route's requests that goes to one service.

    Attributes
    ----------
    service : str
        Name of the service.
    weight : float
        Part of the requests, relative to the other shares of the route.
    """

    service: str
    weight: float


@dataclass(frozen=True)
class Route:
    """Requests of one virtual host whose path begins with one prefix.

    Attributes
    ----------
    name : str
        Name of the route.
    prefix : str
        Beginning of the paths; begins and ends with a slash.
    weighted_services : tuple of WeightedService
        Services that answer, at least one.
    idempotent : bool
        Whether a request may run more than once.
    attempts : int
        Most targets that one request may be sent to.
    timeout_s : float
        Longest time in seconds that a caller is kept waiting.
    target_latency_s : float
        Seconds within which a response has its full use for the caller.
    priority : int
        Rank; 0 is the highest.
    regions : tuple of str
        Regions whose targets may run the requests; empty allows all.
    """

    name: str
    prefix: str
    weighted_services: tuple
    idempotent: bool
    attempts: int
    timeout_s: float
    target_latency_s: float
    priority: int
    regions: tuple = ()


@dataclass(frozen=True)
class RoutedService:
    """What the configuration says of one service.

    Attributes
    ----------
    name : str
        Name of the service.
    health_path : str
        Path that tells a target's health and load.
    max_connections : int
        Connections that each target accepts from all hosts together.
    cold_s : float
        Seconds that a target stays cold after its start.
    cold_rate_per_s : float
        Requests a second that a cold target tolerates from all hosts together.
    """

    name: str
    health_path: str
    max_connections: int
    cold_s: float
    cold_rate_per_s: float


@dataclass(frozen=True)
class CallerLimits:
    """Bounds on what a caller may send.

    Attributes
    ----------
    header_bytes : int
        Largest head of a request.
    body_bytes : int
        Largest body of a request.
    header_timeout_s : float
        Seconds within which the head must have arrived.
    idle_timeout_s : float
        Seconds that an unused connection is kept.
    """

    header_bytes: int = 16 << 10
    body_bytes: int = 64 << 20
    header_timeout_s: float = 10.0
    idle_timeout_s: float = 30.0


@dataclass(frozen=True)
class RoutingTable:
    """One version of the routing configuration.

    Attributes
    ----------
    version : int
        Grows with each change.
    hosts : mapping of str to tuple of Route
        Routes by virtual host, the longest prefix first.
    services : mapping of str to RoutedService
        Services by name.
    limits : CallerLimits
        Bounds on callers.
    """

    version: int
    hosts: MappingProxyType
    services: MappingProxyType
    limits: CallerLimits = field(default_factory=CallerLimits)

    def find_route(self, host, path):
        """Return the route of a request.

        Parameters
        ----------
        host : str
            Value of the ``Host`` header; a port in it does not matter.
        path : str
            Path with or without a query.

        Returns
        -------
        Route or None
            The route with the longest prefix that begins the path.
        """
        routes = self.hosts.get(host) or self.hosts.get(host.partition(":")[0], ())
        path = path.partition("?")[0]
        for route in routes:
            if path.startswith(route.prefix):
                return route
        return None


def build_table(version, routes, services, limits):
    """Return a routing table.

    Parameters
    ----------
    version : int
        Version of the configuration.
    routes : iterable of tuple of (str, Route)
        Each route with its virtual host.
    services : iterable of RoutedService
        All services.
    limits : CallerLimits
        Bounds on callers.

    Returns
    -------
    RoutingTable
        The table, with the routes in the order in which they are searched.
    """
    hosts = {}
    for host, route in routes:
        hosts.setdefault(host, []).append(route)
    ordered = {
        host: tuple(sorted(group, key=lambda route: -len(route.prefix)))
        for host, group in hosts.items()
    }
    return RoutingTable(
        version,
        MappingProxyType(ordered),
        MappingProxyType({service.name: service for service in services}),
        limits,
    )


class WeightedRoundRobin:
    """Deals the requests of split routes to their services by weight.

    Each route's next request goes to the service that is furthest behind its
    weight, so that also a small number of requests follows the weights.
    """

    def __init__(self):
        self._debts = {}

    def choose(self, route):
        """Return the service for the next request of a route.

        Parameters
        ----------
        route : Route
            The route.

        Returns
        -------
        str
            Name of the service.
        """
        if len(route.weighted_services) == 1:
            return route.weighted_services[0].service
        debts = self._debts.get(route.name)
        if debts is None or debts.keys() != {
            s.service for s in route.weighted_services
        }:
            debts = {share.service: 0.0 for share in route.weighted_services}
            self._debts[route.name] = debts
        total = sum(share.weight for share in route.weighted_services)
        for share in route.weighted_services:
            debts[share.service] += share.weight / total
        chosen = max(
            route.weighted_services, key=lambda share: debts[share.service]
        ).service
        debts[chosen] -= 1.0
        return chosen
