"""Decoding of the documents in the platform's metadata store."""

import logging
import re
from typing import Annotated, Literal

from msgspec import Meta, MsgspecError, Struct, json

from ..entrychanges import (
    EvacuationChange,
    InstanceChange,
    InstanceRemoval,
    TableChange,
)
from ..errors import DocumentError
from ..instancestate import Instance
from ..routes import CallerLimits, Route, RoutedService, WeightedService, build_table
from ..teams import Team, build_team_table
from ..units import check_address

logger = logging.getLogger(__name__)

CONFIGURATION_KEY = "op/config"
EVACUATION_PREFIX = "op/evacuate/"
INSTANCE_PREFIX = "servers/"

# Upper bounds of whole numbers. Without them a number of any length would be accepted,
# which neither the feed between hosts nor the arithmetic on it can represent.
MAX_VERSION = 2**63 - 1
MAX_UNIX_MS = 2**53
MAX_BYTES = 2**40
MAX_COUNT = 1_000_000

# Route types by whether a request may run more than once. A download is a long response
# to an idempotent request, an upload a request with a large body.
IDEMPOTENT_BY_TYPE = {
    "idempotent": True,
    "download": True,
    "non_idempotent": False,
    "upload": False,
}

_Count = Annotated[int, Meta(ge=1, le=MAX_COUNT)]
_Positive = Annotated[float, Meta(gt=0, le=1e9)]
_NonNegative = Annotated[float, Meta(ge=0, le=1e9)]
_Text = Annotated[str, Meta(min_length=1, max_length=1024)]
# An id is sent to its target in a header.
_INSTANCE_ID = re.compile(r"[!-~]{1,200}")
# So is the name of a tenant, which may contain spaces. An API key is what follows the
# scheme in a header, up to the end of the line.
_TenantName = Annotated[
    str, Meta(pattern=r"\A[!-~]([ -~]*[!-~])?\Z", min_length=1, max_length=200)
]
_ApiKey = Annotated[
    str, Meta(pattern=r"\A[^\s\x00-\x20\x7f]+\Z", min_length=1, max_length=1024)
]
_Priority = Annotated[int, Meta(ge=-MAX_COUNT, le=MAX_COUNT)]


class _SplitEntry(Struct, frozen=True):
    service: _Text
    weight: _NonNegative


class _Route(Struct, frozen=True):
    name: _Text
    prefix: _Text
    type: _Text
    timeout_s: _Positive
    target_latency_s: _Positive
    max_attempts: _Count = 1
    priority: _Priority = 0
    service: _Text | None = None
    traffic_split: tuple[_SplitEntry, ...] = ()
    allowed_regions: tuple[_Text, ...] = ()
    public: bool = False

    def __post_init__(self):
        if self.service is None and not any(s.weight for s in self.traffic_split):
            raise ValueError(
                "needs a service, or a traffic_split with a weight above 0"
            )

    @property
    def weights(self):
        """Weights of the services that get the requests, by their names."""
        weights = {}
        for share in self.traffic_split:
            if share.weight:
                weights[share.service] = weights.get(share.service, 0) + share.weight
        # Without a weighted split, all requests go to the single service.
        return weights or {self.service: 1.0}


class _VirtualHost(Struct, frozen=True):
    host: _Text
    paths: list[_Route]


class _Service(Struct, frozen=True):
    name: _Text
    health_path: _Text = "/health"
    max_conns: _Count = 1
    warmup_s: _NonNegative = 0.0
    warmup_per_s: _NonNegative = 0.0


class _Tenant(Struct, frozen=True):
    name: _TenantName
    api_keys: tuple[_ApiKey, ...]
    priority: _Priority | None = None
    rate_per_s: _NonNegative = 0.0
    burst: _NonNegative = 0.0

    def __repr__(self):
        """Return a text without the API keys."""
        return f"_Tenant({self.name!r})"


class _Limits(Struct, frozen=True):
    max_header_bytes: Annotated[int, Meta(gt=0, le=MAX_BYTES)] = (
        CallerLimits.header_bytes
    )
    max_body_bytes: Annotated[int, Meta(ge=0, le=MAX_BYTES)] = CallerLimits.body_bytes
    header_timeout_s: _Positive = CallerLimits.header_timeout_s
    idle_timeout_s: _Positive = CallerLimits.idle_timeout_s


class Configuration(Struct, frozen=True):
    """A configuration with the fields of its document.

    Attributes
    ----------
    config_version : int
        Version; increases with each change.
    services : list of Struct
        Services.
    virtual_hosts : list of Struct
        Virtual hosts with their routes, the field ``paths``.
    limits : Struct
        Limits on callers.
    tenants : tuple of Struct
        Teams with their API keys.
    """

    config_version: Annotated[int, Meta(ge=0, le=MAX_VERSION)]
    services: list[_Service]
    virtual_hosts: list[_VirtualHost]
    limits: _Limits = _Limits()
    tenants: tuple[_Tenant, ...] = ()

    def __post_init__(self):
        for _, message in list_unknown_services(self.services, self.virtual_hosts):
            raise ValueError(message)
        # Also checks the keys, which must belong to one tenant each.
        _build_teams(self.tenants, self.config_version)


def list_unknown_services(services, virtual_hosts):
    """Yield a message for each route that names a service that does not exist.

    Parameters
    ----------
    services : iterable of Struct
        All services of a document.
    virtual_hosts : iterable of Struct
        Its virtual hosts.

    Yields
    ------
    tuple of (str, str)
        Path of the route in the document, and the message.
    """
    known = {service.name for service in services}
    for i, host in enumerate(virtual_hosts):
        for j, route in enumerate(host.paths):
            used = {share.service for share in route.traffic_split}
            used |= {route.service} - {None}
            if unknown := used - known:
                message = f"route {route.name} names {sorted(unknown)}"
                yield f"$.virtual_hosts[{i}].paths[{j}]", message


class _InstanceInfo(Struct, frozen=True):
    service: _Text
    zone: _Text
    max_concurrency: _Count = 1


class _InstanceStatus(Struct, frozen=True):
    state: Literal["ready", "draining"]
    warmup_left_s: _NonNegative = 0.0


class _InstanceEntry(Struct, frozen=True):
    address: _Text
    info: _InstanceInfo
    status: _InstanceStatus
    born: Annotated[int, Meta(ge=0, le=MAX_UNIX_MS)] = 0


def decode_change(change):
    """Decode an entry of the store.

    Parameters
    ----------
    change : StoreChange
        The entry.

    Returns
    -------
    TableChange, EvacuationChange, InstanceChange, InstanceRemoval or None
        None for an entry that this host does not use.

    Raises
    ------
    DocumentError
        If the entry is invalid.
    """
    key, value = change.key, change.value
    if key.startswith(INSTANCE_PREFIX):
        if value is None:
            return InstanceRemoval(key.removeprefix(INSTANCE_PREFIX))
        return InstanceChange(decode_instance(key, value))
    if key.startswith(EVACUATION_PREFIX):
        data_centre = key.removeprefix(EVACUATION_PREFIX)
        return EvacuationChange(data_centre, value is not None)
    if key == CONFIGURATION_KEY and value is not None:
        return TableChange(decode_configuration(value))
    return None


def decode_configuration(value):
    """Decode the routing table that the operator published.

    Parameters
    ----------
    value : bytes
        The document.

    Returns
    -------
    RoutingTable
        The table.

    Raises
    ------
    DocumentError
        If the document is invalid.
    """
    document = read_configuration(value)
    limits = CallerLimits(
        document.limits.max_header_bytes,
        document.limits.max_body_bytes,
        document.limits.header_timeout_s,
        document.limits.idle_timeout_s,
    )
    routes = [
        (host.host, _build_route(route))
        for host in document.virtual_hosts
        for route in host.paths
    ]
    services = [
        RoutedService(s.name, s.health_path, s.max_conns, s.warmup_s, s.warmup_per_s)
        for s in document.services
    ]
    teams = _build_teams(document.tenants, document.config_version)
    return build_table(document.config_version, routes, services, limits, teams)


def read_configuration(value):
    """Read a configuration with the fields of its document.

    Parameters
    ----------
    value : bytes
        The document.

    Returns
    -------
    Configuration
        The document, with defaults for missing fields.

    Raises
    ------
    DocumentError
        If the document is invalid.
    """
    return _decode(Configuration, value, CONFIGURATION_KEY)


def _build_teams(tenants, version):
    """Return the table of teams, None without tenants."""
    if not tenants:
        return None
    return build_team_table(
        [
            (
                Team(t.name, t.priority, t.rate_per_s, t.burst, version),
                [key.encode() for key in t.api_keys],
            )
            for t in tenants
        ]
    )


def _build_route(route):
    weighted_services = tuple(
        WeightedService(share.service, share.weight)
        for share in route.traffic_split
        if share.weight
    )
    return Route(
        name=route.name,
        prefix=route.prefix,
        # Without a weighted split, all requests go to the single service.
        weighted_services=weighted_services or (WeightedService(route.service, 1.0),),
        idempotent=_is_idempotent(route),
        attempts=route.max_attempts,
        timeout_s=route.timeout_s,
        target_latency_s=route.target_latency_s,
        priority=route.priority,
        regions=tuple(route.allowed_regions),
        public=route.public,
    )


def _is_idempotent(route):
    """Tell whether requests of a route may run more than once.

    Without a route its requests would match a shorter prefix, so a route of an unknown
    type is kept, and its requests are never repeated.
    """
    if route.type not in IDEMPOTENT_BY_TYPE:
        logger.warning(
            "route %s has the unknown type %r; its requests are never repeated",
            route.name,
            route.type,
        )
        return False
    return IDEMPOTENT_BY_TYPE[route.type]


def decode_instance(key, value):
    """Decode the entry of an instance.

    Parameters
    ----------
    key : str
        Key of the entry; the instance's id follows its prefix.
    value : bytes
        The document.

    Returns
    -------
    Instance
        The instance.

    Raises
    ------
    DocumentError
        If the entry is invalid and thus describes no usable target.
    """
    instance_id = key.removeprefix(INSTANCE_PREFIX)
    if not _INSTANCE_ID.fullmatch(instance_id):
        raise DocumentError([f"{key!r}: the id has characters that are not allowed"])
    entry = _decode(_InstanceEntry, value, key)
    try:
        check_address(entry.address)
    except ValueError as error:
        raise DocumentError([f"{key}: address: {error}"]) from error
    return Instance(
        id=instance_id,
        service=entry.info.service,
        address=entry.address,
        data_centre=entry.info.zone,
        slots=entry.info.max_concurrency,
        leaving=entry.status.state == "draining",
        cold_s=entry.status.warmup_left_s,
        started_unix_ms=entry.born,
    )


def _decode(model, value, key):
    """Decode and validate a JSON document; errors name its key."""
    try:
        return json.decode(value, type=model)
    except (MsgspecError, UnicodeDecodeError, RecursionError) as error:
        raise DocumentError([f"{key}: {error}"]) from error
