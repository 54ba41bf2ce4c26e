"""Entry hosts, their state and the published host list."""

from dataclasses import dataclass
from enum import StrEnum

from .hostlist import parse_host_list
from .messages import Heartbeat, Hello

LEAVING = "leaving"
NEVER = float("-inf")


class HostState(StrEnum):
    """State of an entry host."""

    STARTING = "starting"
    SERVING = "serving"
    LEAVING = "leaving"

    def __str__(self):
        return self.value


@dataclass(frozen=True)
class Host:
    """One entry host.

    Attributes
    ----------
    name : str
        Unique name.
    address : str
        ``ip:port`` for callers.
    peer_address : str
        ``ip:port`` for other hosts.
    data_centre : str
        Name of the data centre that the host is in.
    leaving : bool, default=False
        Whether the host is leaving.
    """

    name: str
    address: str
    peer_address: str
    data_centre: str
    leaving: bool = False


@dataclass(frozen=True)
class Peer:
    """Latest messages of another host.

    Attributes
    ----------
    hello : Hello or None, default=None
        The latest introduction of the host.
    heartbeat : Heartbeat or None, default=None
        The latest heartbeat of the host.
    received_at : float, default=-inf
        Monotonic time in seconds at which the latest message was received.
    confirmed_at : float, default=-inf
        Monotonic time in seconds at which this host sent the newest heartbeat
        that the peer has echoed. The peer was running after that time.
    """

    hello: Hello | None = None
    heartbeat: Heartbeat | None = None
    received_at: float = NEVER
    confirmed_at: float = NEVER

    @property
    def leaving(self):
        """Return whether the latest heartbeat says that the host is leaving."""
        return self.heartbeat is not None and (
            self.heartbeat.state == HostState.LEAVING.value
        )


def parse_hosts(text, name="hosts"):
    """Parse a host list into hosts.

    Parameters
    ----------
    text : str
        YAML text.
    name : str, default="hosts"
        File or source name for error messages.

    Returns
    -------
    tuple of Host
        In the order of the document.

    Raises
    ------
    DocumentError
        With one message for each problem found.
    """
    return tuple(
        Host(
            listed.name,
            listed.address,
            listed.peer_address,
            listed.data_centre,
            leaving=listed.state == LEAVING,
        )
        for listed in parse_host_list(text, name)
    )
