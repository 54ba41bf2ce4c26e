"""Settings of an entry process that follows a store, read from a YAML file."""

from dataclasses import dataclass, field
from types import MappingProxyType
from typing import Annotated, Literal

import msgspec

from .settings import Address, Name, Seconds, check_settings
from .yamlsource import YamlSource

_Factor = Annotated[float, msgspec.Meta(ge=0, le=1e9)]
_Amount = Annotated[float, msgspec.Meta(gt=0, le=1e9)]


@dataclass(frozen=True)
class RoutedSettings:
    """Settings of one entry process.

    Attributes
    ----------
    name : str
        Unique name of the host.
    data_centre : str
        Where the host is.
    data_centres : mapping of str to str
        Region of each data centre.
    address : str
        ``ip:port`` for callers.
    ready_address : str
        ``ip:port`` that tells whether this host takes new connections.
    directory_address : str
        ``ip:port`` that tells callers which addresses to use.
    peer_address : str
        ``ip:port`` for datagrams of other entry hosts; the port is the same on
        all hosts.
    store : str
        ``ip:port`` of the store.
    seeds : tuple of str, default=()
        ``ip:port`` of some hosts; only the IP number is used.
    metrics_address : str or None, default=None
        ``ip:port`` that serves counters and histograms.
    statsd : str or None, default=None
        ``ip:port`` of a statsd daemon.
    log_level : str, default="INFO"
        Lowest level that is logged.
    max_connections : int, default=1024
        Caller connections at once.
    grace : float, default=6.0
        Seconds from SIGTERM to the end of the process.
    address_keep : float, default=2.0
        Seconds that callers keep an answer of the directory.
    retry_ratio : float, default=0.2
        Arrivals at targets beyond the first, for each request, over all hosts.
    retry_slack : float, default=0.0
        Such arrivals in each window beside those, over all hosts.
    retry_window : float, default=10.0
        Length of that window in seconds.
    probe_rate : float, default=20.0
        Probes a second that each target may get, over all hosts.
    cores : float, default=1.0
        Processor cores of the host.
    core_share : float, default=1.0
        Part of each core that the process may use.
    link_mbit : float, default=1000.0
        Speed of the host's link in Mbit/s.
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
    retry_ratio: _Factor = 0.2
    retry_slack: _Factor = 0.0
    retry_window: Seconds = 10.0
    probe_rate: _Amount = 20.0
    cores: _Amount = 1.0
    core_share: _Amount = 1.0
    link_mbit: _Amount = 1000.0

    @property
    def source_ip(self):
        """IP number that connections of this host come from."""
        return self.address.rsplit(":", 1)[0]

    @property
    def seed_peer_addresses(self):
        """``ip:port`` of the seeds for datagrams."""
        port = self.peer_address.rsplit(":", 1)[1]
        return tuple(f"{seed.rsplit(':', 1)[0]}:{port}" for seed in self.seeds)

    @property
    def regions(self):
        """Region of each data centre, read-only."""
        return MappingProxyType(self.data_centres)


def is_routed(text):
    """Tell whether a settings file is one of an entry process with a store.

    Parameters
    ----------
    text : str
        Content of the file.

    Returns
    -------
    bool
        True when it names a store.
    """
    return any(line.startswith("store:") for line in text.splitlines())


def parse_routed_settings(text, name="settings"):
    """Return the settings that a YAML document declares.

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
        With one message for each fault.
    """
    source = YamlSource(text, name)
    settings, nodes = check_settings(source, RoutedSettings)
    if settings is not None and settings.data_centre not in settings.data_centres:
        source.report(nodes["data_centre"], "is none of data_centres")
    source.raise_problems()
    return settings
