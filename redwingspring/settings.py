"""Settings of a single host, read from a YAML file."""

import re
from dataclasses import MISSING, dataclass, field, fields
from typing import Annotated, Literal, get_args, get_type_hints
from urllib.parse import urlsplit

import msgspec

from .units import check_address, check_name, parse_quantity
from .yamlsource import YamlSource, describe_text_error, describe_value


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
    """An IPv4 address and a port, ``ip:port``."""


class Name(str):
    """A name of a host or data centre, safe as part of a metric name."""


class Url(str):
    """The base URL of a service."""


class Size(int):
    """A number of bytes from ``minimum`` to ``maximum``."""

    minimum, maximum = 0, 1 << 62


class HeaderSize(Size):
    """A size of 1 KiB to 1 MiB."""

    minimum, maximum = 1 << 10, 1 << 20


class BodySize(Size):
    """A size of up to 1 TiB."""

    minimum, maximum = 0, 1 << 40


class Seconds(float):
    """A duration in seconds, greater than 0 and at most one hour."""

    minimum, maximum = 0, 3600


_TEXT_CHECKS = {Address: check_address, Name: check_name, Url: _check_url}
_QUANTITY_KINDS = {HeaderSize: "size", BodySize: "size", Seconds: "duration"}
_ERROR_PATH = re.compile(r" - at `[^`]*\$([^`]*)`$")
_EXPECTED_TYPE = re.compile(r"Expected (.+?)(?:, got .+)?$")
_TYPE_DESCRIPTIONS = {
    "`int`": "a whole number",
    "`float`": "a number",
    "`str`": "text",
    "`array`": "a list",
    "`object`": "a mapping",
}


def _decode_value(kind, value):
    """Convert a value to one of the types above; the ``dec_hook`` of msgspec."""
    if kind in _TEXT_CHECKS:
        if not isinstance(value, str):
            raise ValueError(describe_text_error(value))
        return kind(_TEXT_CHECKS[kind](value))
    if isinstance(value, str):
        value = parse_quantity(_QUANTITY_KINDS[kind], value)
    accepted_types = int if issubclass(kind, Size) else int | float
    if isinstance(value, bool) or not isinstance(value, accepted_types):
        raise ValueError(
            f"must be a {_QUANTITY_KINDS[kind]}, not {describe_value(value)}"
        )
    # ``not >`` also rejects NaN, for which every comparison is false.
    if kind is Seconds and not value > kind.minimum:
        raise ValueError(
            f"must be greater than {kind.minimum}, not {describe_value(value)}"
        )
    if not kind.minimum <= value <= kind.maximum:
        limits = f"from {kind.minimum} to {kind.maximum}"
        raise ValueError(f"must be {limits}, not {describe_value(value)}")
    return kind(value)


@dataclass(frozen=True)
class Settings:
    """Settings of one entry process.

    Attributes
    ----------
    name : str
        Unique name of the host.
    data_centre : str
        Data centre of the host.
    address : str
        ``ip:port`` to listen on for callers.
    peer_address : str
        ``ip:port`` at which other entry hosts reach this one.
    configuration_service : str
        Base URL of the configuration service.
    peer_key : str
        Secret that all entry hosts share.
    seeds : tuple of str, default=()
        Peer addresses to contact before a host list is available.
    peer_listen : str or None, default=None
        ``ip:port`` to listen on for other hosts, where it differs from
        ``peer_address`` because of address translation.
    statsd : str or None, default=None
        ``ip:port`` of a statsd daemon.
    log_style : {"text", "json"}, default="text"
        Format of log lines.
    log_level : str, default="INFO"
        Minimum level of logged messages.
    max_connections : int, default=1024
        Maximum number of concurrent caller connections.
    max_header_bytes : int, default=32768
        Maximum size of a request line with its headers.
    max_body_bytes : int, default=1073741824
        Maximum size of a request body, for all services.
    caller_timeout : float, default=30.0
        Seconds that a caller may stall while a request or response is in transit.
    keep_alive : float, default=30.0
        Seconds that an idle caller connection is kept open.
    """

    name: Name
    data_centre: Name
    address: Address
    peer_address: Address
    configuration_service: Url
    # A short key could be found by brute force against a captured frame.
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
    """Parse and check a settings file.

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
        With one message for each problem found.
    """
    source = YamlSource(text, name)
    settings, nodes = convert_settings(source, Settings)
    if settings is not None and settings.address == settings.peer_address:
        message = "must differ from address, which serves callers"
        source.report(nodes["peer_address"], message)
    source.raise_problems()
    return settings


def convert_settings(source, settings_class):
    """Convert a document to settings and check them against their types.

    Parameters
    ----------
    source : YamlSource
        The document; collects the reported problems.
    settings_class : type
        Dataclass of the settings.

    Returns
    -------
    tuple of (object or None, dict)
        The settings, or None if a setting is missing or invalid, and the nodes
        by key.
    """
    annotations = get_type_hints(settings_class, include_extras=True)
    nodes = source.read_mapping(source.root, (), tuple(annotations))
    if not nodes:
        # If the document is not a mapping, messages about missing keys do not help.
        source.raise_problems()
    values = {}
    for setting in fields(settings_class):
        node = nodes.get(setting.name)
        if node is None:
            if setting.default is MISSING:
                source.report_missing(source.root, setting.name)
            continue
        try:
            values[setting.name] = msgspec.convert(
                node.strip_positions(),
                annotations[setting.name],
                dec_hook=_decode_value,
            )
        except msgspec.ValidationError as error:
            _report_conversion_error(
                source, setting.name, node, annotations[setting.name], str(error)
            )
    required = {
        setting.name for setting in fields(settings_class) if setting.default is MISSING
    }
    complete = required <= values.keys() and nodes.keys() <= values.keys()
    return (settings_class(**values) if complete else None), nodes


def _report_conversion_error(source, key, node, annotation, error_text):
    """Report an error of msgspec at the node that caused it."""
    if key == "peer_key":
        # The value is a secret, which must not appear in messages.
        source.report(node, "must be text of 16 to 1024 characters")
        return
    path_match = _ERROR_PATH.search(error_text)
    if path_match:
        error_text = error_text[: path_match.start()]
        index = re.fullmatch(r"\[(\d+)\]", path_match[1])
        if index and isinstance(node.value, tuple):
            node = node.value[int(index[1])]
    source.report(node, _format_conversion_error(error_text, annotation, node.value))


def _format_conversion_error(error_text, annotation, value):
    """Return an error of msgspec in the wording of the other messages."""
    if error_text.startswith("Invalid enum value"):
        options = " or ".join(map(repr, get_args(annotation)))
        return f"must be {options}, not {describe_value(value)}"
    expected = _EXPECTED_TYPE.fullmatch(error_text)
    if not expected:
        return error_text
    expected_type = expected[1]
    if expected_type == "`str`":
        return describe_text_error(value)
    for name, description in _TYPE_DESCRIPTIONS.items():
        expected_type = expected_type.replace(name, description)
    return f"must be {expected_type}, not {describe_value(value)}"
