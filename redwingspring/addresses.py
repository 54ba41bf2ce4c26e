"""Selection of the entry hosts that a caller should use."""

import random
from dataclasses import dataclass

PAGE_NAME = "redwingspring-address"
VERSION_LINE = f"{PAGE_NAME} 1"


@dataclass(frozen=True)
class AddressAnswer:
    """Answer to a caller that asks which entry hosts to use.

    Attributes
    ----------
    service : str
        Name of the service.
    hosts : tuple of Host
        Hosts in the order to try.
    keep_seconds : float
        How long the caller may cache the answer, in seconds.
    """

    service: str
    hosts: tuple
    keep_seconds: float

    def as_dict(self):
        """Return the answer as a dict for JSON.

        Returns
        -------
        dict
            Fields of the JSON document.
        """
        return {
            "service": self.service,
            "hosts": [
                {"address": host.address, "data_centre": host.data_centre}
                for host in self.hosts
            ],
            "keep_seconds": self.keep_seconds,
        }


def order_hosts(hosts, data_centre, fallback_name=None):
    """Shuffle hosts and put those of a data centre first.

    Parameters
    ----------
    hosts : iterable of Host
        Hosts that accept requests.
    data_centre : str
        Data centre of the caller.
    fallback_name : str or None, default=None
        Name of a host that goes behind all others.

    Returns
    -------
    tuple of Host
        Hosts in the order to try.
    """
    shuffled = list(hosts)
    # The random order spreads the load of callers that ask at the same time.
    random.shuffle(shuffled)
    shuffled.sort(
        key=lambda host: (host.name == fallback_name, host.data_centre != data_centre)
    )
    return tuple(shuffled)


def find_hosts(membership, settings, data_centre=None):
    """Return the hosts that a caller should try.

    Parameters
    ----------
    membership : Membership
        State of all hosts as this host knows it.
    settings : Settings
        This host's own settings.
    data_centre : str or None, default=None
        Data centre of the caller; that of this host when None.

    Returns
    -------
    tuple of Host
        Hosts in the order to try; this host comes last while it refuses requests.
    """
    refuses = membership.check_serving() is not None
    return order_hosts(
        membership.find_addressable(),
        data_centre or settings.data_centre,
        settings.name if refuses else None,
    )


def find_alternatives(membership, settings):
    """Return the hosts that can be used instead of this one.

    Parameters
    ----------
    membership : Membership
        State of all hosts as this host knows it.
    settings : Settings
        This host's own settings.

    Returns
    -------
    tuple of Host
        Hosts in the order to try, without this one.
    """
    return tuple(
        host for host in find_hosts(membership, settings) if host.name != settings.name
    )
