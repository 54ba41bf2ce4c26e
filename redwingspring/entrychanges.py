"""Changes of the state in force, decoded from entries of the store."""

from dataclasses import dataclass

from .instancestate import Instance
from .routes import RoutingTable


@dataclass(frozen=True)
class TableChange:
    """A routing table was published.

    Attributes
    ----------
    table : RoutingTable
        The table.
    """

    table: RoutingTable


@dataclass(frozen=True)
class EvacuationChange:
    """A data centre was evacuated or put back into service.

    Attributes
    ----------
    data_centre : str
        Name of the data centre.
    evacuated : bool
        Whether its targets get no requests.
    """

    data_centre: str
    evacuated: bool


@dataclass(frozen=True)
class InstanceChange:
    """The entry of an instance was written.

    Attributes
    ----------
    instance : Instance
        The entry.
    """

    instance: Instance


@dataclass(frozen=True)
class InstanceRemoval:
    """The entry of an instance was removed.

    Attributes
    ----------
    instance_id : str
        Id of the instance.
    """

    instance_id: str
