"""Routes from requests to services, and the limits that apply to them."""

from dataclasses import dataclass, field
from types import MappingProxyType

# Bound on per-route statistics, which also include routes of earlier configurations.
MAX_ROUTES = 5000


@dataclass(frozen=True)
class WeightedService:
    """A service of a route with its weight.

    Attributes
    ----------
    service : str
        Name of the service.
    weight : float
        Share of the requests, relative to the other weights of the route.
    """

    service: str
    weight: float


@dataclass(frozen=True)
class Route:
    """Rule for the requests of one virtual host whose path has a given prefix.

    Attributes
    ----------
    name : str
        Name of the route.
    prefix : str
        Path prefix; begins and ends with a slash.
    weighted_services : tuple of WeightedService
        Services that get the requests; at least one.
    idempotent : bool
        Whether a request may be executed more than once.
    attempts : int
        Maximum number of times that one request may be sent.
    timeout_s : float
        Timeout of a request in seconds.
    target_latency_s : float
        Latency in seconds up to which a response is of full value to the caller.
    priority : int
        Priority; 0 is the highest.
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
    """Configuration of one service.

    Attributes
    ----------
    name : str
        Name of the service.
    health_path : str
        Path of the health endpoint, which also reports the load.
    max_connections : int
        Connections that each target accepts from all hosts in total.
    cold_s : float
        Seconds that a target stays cold after its start.
    cold_rate_per_s : float
        Requests per second that a cold target tolerates from all hosts in total.
    """

    name: str
    health_path: str
    max_connections: int
    cold_s: float
    cold_rate_per_s: float


@dataclass(frozen=True)
class CallerLimits:
    """Limits on requests and connections of callers.

    Attributes
    ----------
    header_bytes : int
        Maximum size of a request head.
    body_bytes : int
        Maximum size of a request body.
    header_timeout_s : float
        Seconds within which the whole head must arrive.
    idle_timeout_s : float
        Seconds after which an idle connection is closed.
    """

    header_bytes: int = 16 << 10
    body_bytes: int = 64 << 20
    header_timeout_s: float = 10.0
    idle_timeout_s: float = 30.0


@dataclass(frozen=True)
class ServiceProfile:
    """What the routes of one service have in common.

    Attributes
    ----------
    highest_priority : int
        Highest priority of its routes, which is the smallest number.
    shortest_latency_s : float
        Shortest target latency of its routes in seconds.
    """

    highest_priority: int
    shortest_latency_s: float


@dataclass(frozen=True)
class RoutingTable:
    """One version of the routing configuration.

    Attributes
    ----------
    version : int
        Version number; increases with each change.
    hosts : mapping of str to tuple of Route
        Routes by virtual host, the longest prefix first.
    services : mapping of str to RoutedService
        Services by name.
    limits : CallerLimits
        Limits on callers.
    profiles : mapping of str to ServiceProfile
        What the routes of each service have in common.
    """

    version: int
    hosts: MappingProxyType
    services: MappingProxyType
    limits: CallerLimits = field(default_factory=CallerLimits)
    profiles: MappingProxyType = field(default_factory=lambda: MappingProxyType({}))

    def find_route(self, host, path):
        """Return the route that matches a request.

        Parameters
        ----------
        host : str
            Value of the ``Host`` header; a port in it is ignored.
        path : str
            Path; a query in it is ignored.

        Returns
        -------
        Route or None
            The matching route with the longest prefix.
        """
        routes = self.hosts.get(host) or self.hosts.get(host.partition(":")[0], ())
        path = path.partition("?")[0]
        for route in routes:
            if path.startswith(route.prefix):
                return route
        return None


def build_table(version, routes, services, limits):
    """Build a routing table.

    Parameters
    ----------
    version : int
        Version of the configuration.
    routes : sequence of tuple of (str, Route)
        Pairs of a virtual host and a route.
    services : iterable of RoutedService
        All services.
    limits : CallerLimits
        Limits on callers.

    Returns
    -------
    RoutingTable
        Table with the routes of each virtual host in search order.
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
        MappingProxyType(_build_profiles(route for _, route in routes)),
    )


def _build_profiles(routes):
    """Return the profile of each service that has a route."""
    routes_by_service = {}
    for route in routes:
        for share in route.weighted_services:
            routes_by_service.setdefault(share.service, []).append(route)
    return {
        service: ServiceProfile(
            min(route.priority for route in group),
            min(route.target_latency_s for route in group),
        )
        for service, group in routes_by_service.items()
    }


class WeightedRoundRobin:
    """Smooth weighted round-robin over the services of routes with a traffic split.

    The next request of a route goes to the service that is furthest below its
    share, so that even a small number of requests follows the weights.
    """

    def __init__(self):
        self._deficits = {}

    def choose(self, route):
        """Choose the service for the next request of a route.

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
        deficits = self._deficits.get(route.name)
        if deficits is None or deficits.keys() != {
            s.service for s in route.weighted_services
        }:
            deficits = {share.service: 0.0 for share in route.weighted_services}
            self._deficits[route.name] = deficits
        total = sum(share.weight for share in route.weighted_services)
        for share in route.weighted_services:
            deficits[share.service] += share.weight / total
        chosen = max(
            route.weighted_services, key=lambda share: deficits[share.service]
        ).service
        deficits[chosen] -= 1.0
        return chosen
