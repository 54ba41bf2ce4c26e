"""Settings of an entry process that reads its configuration from a store."""

from dataclasses import dataclass, field
from types import MappingProxyType
from typing import Annotated, Literal

import msgspec

from .settings import Address, Name, Seconds, convert_settings
from .yamlsource import YamlSource

_NonNegative = Annotated[float, msgspec.Meta(ge=0, le=1e9)]
_Positive = Annotated[float, msgspec.Meta(gt=0, le=1e9)]


@dataclass(frozen=True)
class RoutedSettings:
    """Settings of an entry process that uses a store.

    Attributes
    ----------
    name : str
        Unique name of the host.
    data_centre : str
        Data centre of the host.
    data_centres : mapping of str to str
        Region of each data centre.
    address : str
        ``ip:port`` to listen on for callers.
    ready_address : str
        ``ip:port`` of the readiness endpoint, which tells whether this host accepts
        new connections.
    directory_address : str
        ``ip:port`` of the directory, which tells callers which addresses to use.
    peer_address : str
        ``ip:port`` for gossip datagrams; the port is the same on all hosts.
    store : str
        ``ip:port`` of the store.
    seeds : tuple of str, default=()
        ``ip:port`` of hosts to contact first; only the IP address is used.
    metrics_address : str or None, default=None
        ``ip:port`` that serves the counters and histograms.
    statsd : str or None, default=None
        ``ip:port`` of a statsd daemon.
    log_level : str, default="INFO"
        Minimum level of logged messages.
    max_connections : int, default=1024
        Maximum number of concurrent caller connections.
    grace : float, default=6.0
        Shutdown time: seconds from SIGTERM to the end of the process.
    address_keep : float, default=2.0
        Seconds that callers may cache a response of the directory.
    retry_ratio : float, default=0.2
        Retry budget as a ratio: additional attempts that reach targets, per
        request, over all hosts.
    retry_slack : float, default=0.0
        Fixed number of such attempts that each window allows in addition, over
        all hosts.
    retry_window : float, default=10.0
        Length of the window of the retry budget in seconds.
    probe_rate : float, default=20.0
        Maximum number of probes per second that each target receives, over all
        hosts.
    cores : float, default=1.0
        Number of processor cores of the host.
    core_share : float, default=1.0
        Fraction of each core that the process may use.
    link_mbit : float, default=1000.0
        Bandwidth of the host's network link in Mbit/s.
    first_start : bool, default=False
        Whether all hosts start for the first time, so that no caller waits yet.
    revoke : float or None, default=None
        Seconds after the publication of a configuration without an API key from
        which on no host accepts the key in a new request.
    strict_revoke : bool, default=False
        Whether ``revoke`` holds at hosts that cannot hear of the configuration, too.
        They accept no keys once the store has not confirmed theirs for most of it.
    quota_window : float, default=5.0
        Length of the window of the rate limits of teams in seconds.
    quota_overage : float, default=0.0
        Fraction by which the requests of a team in a window may exceed its limit.
    quota_slack : float, default=0.0
        Fixed number of requests by which they may exceed it in addition.
    """

    name: Name
    data_centre: Name
    data_centres: dict[str, str] = field(repr=False)
    address: Address
    ready_address: Address
    directory_address: Address
    peer_address: Address
    store: Address
    seeds: tuple[Address, ...] = ()
    metrics_address: Address | None = None
    statsd: Address | None = None
    log_level: Literal["DEBUG", "INFO", "WARNING", "ERROR", "CRITICAL"] = "INFO"
    max_connections: Annotated[int, msgspec.Meta(ge=1, le=100_000)] = 1024
    grace: Seconds = 6.0
    address_keep: Seconds = 2.0
    retry_ratio: _NonNegative = 0.2
    retry_slack: _NonNegative = 0.0
    retry_window: Seconds = 10.0
    probe_rate: _Positive = 20.0
    cores: _Positive = 1.0
    core_share: _Positive = 1.0
    link_mbit: _Positive = 1000.0
    first_start: bool = False
    revoke: Seconds | None = None
    strict_revoke: bool = False
    quota_window: Seconds = 5.0
    quota_overage: _NonNegative = 0.0
    quota_slack: _NonNegative = 0.0

    @property
    def source_ip(self):
        """IP address that this host opens its connections from."""
        return self.address.rsplit(":", 1)[0]

    @property
    def seed_peer_addresses(self):
        """``ip:port`` of the seeds for gossip datagrams."""
        port = self.peer_address.rsplit(":", 1)[1]
        return tuple(f"{seed.rsplit(':', 1)[0]}:{port}" for seed in self.seeds)

    @property
    def strict_revoke_s(self):
        """Time in seconds within which all hosts reject a removed key, if limited."""
        return self.revoke if self.strict_revoke else None

    @property
    def regions(self):
        """Region of each data centre, read-only."""
        return MappingProxyType(self.data_centres)


def is_routed(text):
    """Return whether a settings file is for an entry process that uses a store.

    Parameters
    ----------
    text : str
        Content of the file.

    Returns
    -------
    bool
        True if the file has a ``store`` key at the top level.
    """
    return any(line.startswith("store:") for line in text.splitlines())


def parse_routed_settings(text, name="settings"):
    """Parse and check the settings file of an entry process that uses a store.

    Parameters
    ----------
    text : str
        YAML text.
    name : str, default="settings"
        File name for error messages.

    Returns
    -------
    RoutedSettings
        The checked settings.

    Raises
    ------
    DocumentError
        With one message for each problem found.
    """
    source = YamlSource(text, name)
    settings, nodes = convert_settings(source, RoutedSettings)
    if settings is not None and settings.data_centre not in settings.data_centres:
        source.report(nodes["data_centre"], "is not a key of data_centres")
    source.raise_problems()
    return settings
