"""A host's own settings, read from a YAML file."""

import re
from dataclasses import MISSING, dataclass, field, fields
from typing import Annotated, Literal, get_args, get_type_hints
from urllib.parse import urlsplit

import msgspec

from .units import check_address, check_name, parse_quantity
from .yamlsource import YamlSource, describe, describe_text_fault


def _check_url(text):
    try:
        parts = urlsplit(text)
        if parts.scheme not in ("http", "https") or parts.path not in ("", "/"):
            raise ValueError
        if parts.query or parts.fragment:
            raise ValueError
        check_address(parts.netloc)
    except ValueError:
        raise ValueError(
            "must be http:// or https:// with an IPv4 address and a port, as in "
            f"http://10.0.0.1:8080, not {text!r}"
        ) from None
    return text


class Address(str):
    """An ``ip:port``."""


class Name(str):
    """A name that appears in the names of metrics."""


class Url(str):
    """The base URL of a service."""


class Size(int):
    """A number of bytes between two bounds."""

    minimum, maximum = 0, 1 << 62


class HeaderSize(Size):
    """A size of 1 KiB to 1 MiB."""

    minimum, maximum = 1 << 10, 1 << 20


class BodySize(Size):
    """A size of up to 1 TiB."""

    minimum, maximum = 0, 1 << 40


class Seconds(float):
    """A time above 0 and up to an hour."""

    minimum, maximum = 0, 3600


_TEXTS = {Address: check_address, Name: check_name, Url: _check_url}
_QUANTITIES = {HeaderSize: "size", BodySize: "size", Seconds: "duration"}
_PLACE = re.compile(r" - at `[^`]*\$([^`]*)`$")
_EXPECTED = re.compile(r"Expected (.+?)(?:, got .+)?$")
_TYPE_NAMES = {
    "`int`": "a whole number",
    "`float`": "a number",
    "`str`": "text",
    "`array`": "a list",
    "`object`": "a mapping",
}


def _read_value(kind, value):
    """Return a value of one of the types above; a hook of msgspec."""
    if kind in _TEXTS:
        if not isinstance(value, str):
            raise ValueError(describe_text_fault(value))
        return kind(_TEXTS[kind](value))
    if isinstance(value, str):
        value = parse_quantity(_QUANTITIES[kind], value)
    accepted = int if issubclass(kind, Size) else int | float
    if isinstance(value, bool) or not isinstance(value, accepted):
        raise ValueError(f"must be a {_QUANTITIES[kind]}, not {describe(value)}")
    # A comparison with a value that is no number is never true.
    if kind is Seconds and not value > kind.minimum:
        raise ValueError(f"must be greater than {kind.minimum}, not {describe(value)}")
    if not kind.minimum <= value <= kind.maximum:
        limits = f"from {kind.minimum} to {kind.maximum}"
        raise ValueError(f"must be {limits}, not {describe(value)}")
    return kind(value)


@dataclass(frozen=True)
class Settings:
    """Settings of one entry process.

    Attributes
    ----------
    name : str
        Unique name of the host.
    data_centre : str
        Where the host is.
    address : str
        ``ip:port`` for callers; the process listens there.
    peer_address : str
        ``ip:port`` for other entry hosts.
    configuration_service : str
        Base URL of the configuration service.
    peer_key : str
        Shared secret of all entry hosts.
    seeds : tuple of str, default=()
        Peer addresses to contact before a host list is known.
    peer_listen : str or None, default=None
        ``ip:port`` to listen on for other hosts, where it differs from
        ``peer_address`` because of address translation.
    statsd : str or None, default=None
        ``ip:port`` of a statsd daemon.
    log_style : {"text", "json"}, default="text"
        Form of log lines.
    log_level : str, default="INFO"
        Lowest level that is logged.
    max_connections : int, default=1024
        Caller connections at once.
    max_header_bytes : int, default=32768
        Size of a request's line and headers.
    max_body_bytes : int, default=1073741824
        Size of a request body, for every service.
    caller_timeout : float, default=30.0
        Seconds that a caller may stall within a request or response.
    keep_alive : float, default=30.0
        Seconds that an unused caller connection is kept.
    """

    name: Name
    data_centre: Name
    address: Address
    peer_address: Address
    configuration_service: Url
    # A short key could be found by trying all keys against a recorded frame.
    peer_key: Annotated[str, msgspec.Meta(min_length=16, max_length=1024)] = field(
        repr=False
    )
    seeds: tuple[Address, ...] = ()
    peer_listen: Address | None = None
    statsd: Address | None = None
    log_style: Literal["text", "json"] = "text"
    log_level: Literal["DEBUG", "INFO", "WARNING", "ERROR", "CRITICAL"] = "INFO"
    max_connections: Annotated[int, msgspec.Meta(ge=1, le=100_000)] = 1024
    max_header_bytes: HeaderSize = 32 << 10
    max_body_bytes: BodySize = 1 << 30
    caller_timeout: Seconds = 30.0
    keep_alive: Seconds = 30.0


def parse_settings(text, name="settings"):
    """Return the settings that a YAML document declares.

    Parameters
    ----------
    text : str
        YAML text.
    name : str, default="settings"
        File name for error messages.

    Returns
    -------
    Settings
        The checked settings.

    Raises
    ------
    DocumentError
        With one message for each fault.
    """
    source = YamlSource(text, name)
    settings, nodes = check_settings(source, Settings)
    if settings is not None and settings.address == settings.peer_address:
        message = "must differ from address, which serves callers"
        source.report(nodes["peer_address"], message)
    source.raise_problems()
    return settings


def check_settings(source, model):
    """Return the settings of a document, checked against their types.

    Parameters
    ----------
    source : YamlSource
        The document; faults are reported to it.
    model : type
        Data class of the settings.

    Returns
    -------
    tuple of (object or None, dict)
        The settings, None when there are faults, and the entries by key.
    """
    hints = get_type_hints(model, include_extras=True)
    nodes = source.read_mapping(source.root, (), tuple(hints))
    if not nodes:
        # The text may be no mapping at all; missing keys would only distract.
        source.raise_problems()
    values = {}
    for item in fields(model):
        node = nodes.get(item.name)
        if node is None:
            if item.default is MISSING:
                source.report_missing(source.root, item.name)
            continue
        try:
            values[item.name] = msgspec.convert(
                node.strip_positions(), hints[item.name], dec_hook=_read_value
            )
        except msgspec.ValidationError as error:
            _report_fault(source, item.name, node, hints[item.name], str(error))
    required = {item.name for item in fields(model) if item.default is MISSING}
    complete = required <= values.keys() and nodes.keys() <= values.keys()
    return (model(**values) if complete else None), nodes


def _report_fault(source, key, node, hint, fault):
    """Add one fault that msgspec found, at the place of its entry."""
    if key == "peer_key":
        # The value is a secret and stays out of messages.
        source.report(node, "must be text of 16 to 1024 characters")
        return
    place = _PLACE.search(fault)
    if place:
        fault = fault[: place.start()]
        index = re.fullmatch(r"\[(\d+)\]", place[1])
        if index and isinstance(node.value, tuple):
            node = node.value[int(index[1])]
    source.report(node, _phrase_fault(fault, hint, node.value))


def _phrase_fault(fault, hint, value):
    """Return a fault as users read it."""
    if fault.startswith("Invalid enum value"):
        options = " or ".join(map(repr, get_args(hint)))
        return f"must be {options}, not {describe(value)}"
    expected = _EXPECTED.fullmatch(fault)
    if not expected:
        return fault
    wanted = expected[1]
    if wanted == "`str`":
        return describe_text_fault(value)
    for name, words in _TYPE_NAMES.items():
        wanted = wanted.replace(name, words)
    return f"must be {wanted}, not {describe(value)}"
