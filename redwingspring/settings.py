"""A host's own settings, read from a YAML file."""

from dataclasses import dataclass, field, fields
from typing import Annotated, Literal
from urllib.parse import urlsplit

from pydantic import (
    AfterValidator,
    BeforeValidator,
    ConfigDict,
    Field,
    Strict,
    TypeAdapter,
    ValidationError,
)

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


def _read_size(value):
    return parse_quantity("size", value) if isinstance(value, str) else value


def _read_duration(value):
    return parse_quantity("duration", value) if isinstance(value, str) else value


Text = Annotated[str, Strict()]
Count = Annotated[int, Strict()]
Address = Annotated[Text, AfterValidator(check_address)]
Name = Annotated[Text, AfterValidator(check_name)]
Size = Annotated[Count, BeforeValidator(_read_size)]
Seconds = Annotated[
    float,
    Strict(),
    BeforeValidator(_read_duration),
    Field(gt=0, le=3600, allow_inf_nan=False),
]


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

    __pydantic_config__ = ConfigDict(extra="forbid")

    name: Name
    data_centre: Name
    address: Address
    peer_address: Address
    configuration_service: Annotated[Text, AfterValidator(_check_url)]
    # A short key could be found by trying all keys against a recorded frame.
    peer_key: Annotated[Text, Field(min_length=16, max_length=1024)] = field(repr=False)
    seeds: tuple[Address, ...] = ()
    peer_listen: Address | None = None
    statsd: Address | None = None
    log_style: Literal["text", "json"] = "text"
    log_level: Literal["DEBUG", "INFO", "WARNING", "ERROR", "CRITICAL"] = "INFO"
    max_connections: Annotated[Count, Field(ge=1, le=100_000)] = 1024
    max_header_bytes: Annotated[Size, Field(ge=1 << 10, le=1 << 20)] = 32 << 10
    max_body_bytes: Annotated[Size, Field(ge=0, le=1 << 40)] = 1 << 30
    caller_timeout: Seconds = 30.0
    keep_alive: Seconds = 30.0


_ADAPTER = TypeAdapter(Settings)
_NAMES = tuple(item.name for item in fields(Settings))


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
    settings, entries = check_settings(source, _ADAPTER, _NAMES)
    if settings is not None and settings.address == settings.peer_address:
        message = "must differ from address, which serves callers"
        source.report(entries["peer_address"], message)
    source.raise_problems()
    return settings


def check_settings(source, adapter, names):
    """Return the settings of a document, checked against their types.

    Parameters
    ----------
    source : YamlSource
        The document; faults are reported to it.
    adapter : pydantic.TypeAdapter
        Types of the settings.
    names : sequence of str
        All keys.

    Returns
    -------
    tuple of (object or None, dict)
        The settings, None when there are faults, and the entries by key.
    """
    entries = source.read_mapping(source.root, (), names)
    if not entries:
        # The text may be no mapping at all; missing keys would only distract.
        source.raise_problems()
    settings = None
    try:
        settings = adapter.validate_python(
            {key: entry.strip_places() for key, entry in entries.items()}
        )
    except ValidationError as error:
        for fault in error.errors():
            _report_fault(source, entries, fault)
    return settings, entries


def _report_fault(source, entries, fault):
    """Add one fault that pydantic found, at the place of its entry."""
    key, *path = fault["loc"]
    if fault["type"] == "missing":
        source.report_missing(source.root, key)
        return
    entry = entries[key]
    for part in path:
        of_list = isinstance(part, int) and isinstance(entry.value, tuple)
        of_mapping = isinstance(entry.value, dict) and part in entry.value
        if of_list or of_mapping:
            entry = entry.value[part]
    if key == "peer_key":
        # The value is a secret and stays out of messages.
        message = "must be text of 16 to 1024 characters"
    elif fault["type"] == "value_error":
        message = str(fault["ctx"]["error"])
    elif fault["type"] == "string_type":
        message = describe_text_fault(entry.value)
    else:
        message = fault["msg"].replace("Input should be", "must be", 1)
        message += f", not {describe(entry.value)}"
    source.report(entry, message)
