"""Parsing of the published host list, with errors that name file, line and key."""

from dataclasses import dataclass

from .units import check_address, check_name
from .yamlsource import YamlSource

FIELDS = ("name", "address", "peer_address", "data_centre", "state")
STATES = ("live", "leaving")


@dataclass(frozen=True)
class ListedHost:
    """One entry of the host list.

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
    state : {"live", "leaving"}
        State in the list, which may be older than that in the heartbeats of the host.
    """

    name: str
    address: str
    peer_address: str
    data_centre: str
    state: str


def parse_host_list(text, name="hosts"):
    """Parse and check a host list.

    Parameters
    ----------
    text : str
        YAML text.
    name : str, default="hosts"
        File or source name for error messages.

    Returns
    -------
    tuple of ListedHost
        In the order of the document.

    Raises
    ------
    DocumentError
        With one message for each problem found.
    """
    source = YamlSource(text, name)
    entries = source.read_mapping(source.root, ("hosts",), ())
    seen = {}
    hosts = []
    for item in source.read_items(entries.get("hosts")):
        fields = source.read_mapping(item, FIELDS, ())
        values = {}
        for field in FIELDS:
            values[field] = _read_field(source, field, fields.get(field), seen)
        hosts.append(ListedHost(**values))
    source.raise_problems()
    return tuple(hosts)


def _read_field(source, field, entry, seen):
    """Return the text of one field; report invalid and duplicate values."""
    text = source.read_text(entry)
    if text is None:
        return None
    try:
        if field == "state":
            if text not in STATES:
                raise ValueError(f"must be one of: {', '.join(STATES)}")
            return text
        if field == "data_centre":
            return check_name(text)
        (check_name if field == "name" else check_address)(text)
        # An address must not be used for both callers and peers.
        kind = "name" if field == "name" else "address"
        if (kind, text) in seen:
            raise ValueError(f"{text} is also used in line {seen[kind, text]}")
        seen[kind, text] = entry.line
    except ValueError as error:
        source.report(entry, str(error))
    return text
