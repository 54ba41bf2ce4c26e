"""Parsing, formatting and validation of configuration values with units."""

import ipaddress
import re
from decimal import Decimal

UNITS = {
    "duration": {
        "us": Decimal("0.000001"),
        "ms": Decimal("0.001"),
        "s": Decimal(1),
        "min": Decimal(60),
        "h": Decimal(3600),
    },
    "size": {"B": 1, "KiB": 1 << 10, "MiB": 1 << 20, "GiB": 1 << 30},
    "ratio": {"%": Decimal("0.01")},
    "rate": {"/s": Decimal(1), "/min": Decimal(60), "/h": Decimal(3600)},
}
EXAMPLES = {"duration": "250ms", "size": "64MiB", "ratio": "10%", "rate": "2/s"}

_QUANTITY = re.compile(r"([0-9]{1,12}(?:\.[0-9]{1,6})?)([A-Za-z%/]*)")
_PATH = re.compile(r"/[!-\"$-~]{0,999}")
_NAME = re.compile(r"[A-Za-z0-9][A-Za-z0-9._-]{0,62}")


def parse_quantity(kind, raw):
    """Parse a number with a unit and return it in base units.

    Parameters
    ----------
    kind : {"duration", "size", "ratio", "rate"}
        What the number measures.
    raw : object
        Value from the document, such as ``250ms``.

    Returns
    -------
    float or int
        Seconds, bytes (int), a fraction, or events per second.

    Raises
    ------
    ValueError
        If the text, the number or the unit is invalid; the message says what is
        allowed.
    """
    units = UNITS[kind]
    allowed = f"use {', '.join(units)}, as in {EXAMPLES[kind]}"
    text = str(raw) if isinstance(raw, int | float) else raw
    match = _QUANTITY.fullmatch(text) if isinstance(text, str) else None
    if match is None or isinstance(raw, bool):
        raise ValueError(f"must be a {kind}; {allowed}")
    number, unit = match.groups()
    if not unit:
        raise ValueError(f"{number} has no unit; {allowed}")
    if unit not in units:
        raise ValueError(f"unknown unit {unit!r}; {allowed}")
    if kind == "rate":
        return float(Decimal(number) / units[unit])
    value = Decimal(number) * units[unit]
    if kind != "size":
        return float(value)
    if value != int(value):
        raise ValueError(f"{number}{unit} is not a whole number of bytes")
    return int(value)


def format_quantity(kind, value):
    """Format a number in base units as text with a unit.

    Parameters
    ----------
    kind : {"duration", "size", "ratio", "rate"}
        What the number measures.
    value : float or int
        The number in base units.

    Returns
    -------
    str
        The number in the largest unit in which it is a whole number; otherwise in
        the base unit, with a fraction.
    """
    if kind == "ratio":
        return f"{value * 100:.9g}%"
    units = UNITS[kind]
    base_unit = next(unit for unit, factor in units.items() if factor == 1)
    if value == 0:
        return f"0{base_unit}"
    # The largest unit of a rate is the one with the shortest period, so rates try the
    # units in the opposite order.
    ordered_units = units.items() if kind == "rate" else reversed(units.items())
    for unit, factor in ordered_units:
        number = value * float(factor) if kind == "rate" else value / float(factor)
        if number >= 1 and abs(number - round(number)) < 1e-6:
            return f"{round(number)}{unit}"
    return f"{value:.9g}{base_unit}"


def parse_value(key, raw):
    """Parse and check the value of a configuration key.

    Parameters
    ----------
    key : Key
        A key of the table in ``defaults``.
    raw : object
        Value from the document; a list is given as a tuple.

    Returns
    -------
    object
        The value in base units.

    Raises
    ------
    ValueError
        If the value is not allowed; the message says what is allowed.
    """
    if key.kind in UNITS:
        value = parse_quantity(key.kind, raw)
    elif key.kind == "count":
        if isinstance(raw, bool) or not isinstance(raw, int):
            raise ValueError("must be a whole number without a unit")
        value = raw
    elif key.kind == "flag":
        if not isinstance(raw, bool):
            raise ValueError("must be true or false")
        return raw
    elif key.kind == "path":
        if not isinstance(raw, str) or not _PATH.fullmatch(raw):
            raise ValueError(
                "must be a path of at most 1000 visible ASCII characters that begins "
                "with '/' and has no '#'"
            )
        return raw
    elif key.kind == "choice":
        choices = key.list_choices()
        if raw not in choices:
            raise ValueError(f"must be one of: {', '.join(choices)}")
        return raw
    else:
        choices = key.list_choices()
        if not isinstance(raw, tuple) or any(name not in choices for name in raw):
            raise ValueError(f"must be a list of names among: {', '.join(choices)}")
        return raw
    _check_range(key, value)
    return value


def format_value(key, value):
    """Format a value in base units as operators write it.

    Parameters
    ----------
    key : Key
        A key of the table in ``defaults``.
    value : object
        The value in base units.

    Returns
    -------
    str
        Text that ``parse_value`` accepts, or a list of names in brackets.
    """
    if key.kind in UNITS:
        return format_quantity(key.kind, value)
    if key.kind == "names":
        return f"[{', '.join(value)}]"
    if key.kind == "flag":
        return "true" if value else "false"
    return str(value)


def check_address(text):
    """Check that a text is an IPv4 address and a port.

    Parameters
    ----------
    text : str
        Such as ``10.0.0.1:8080``.

    Returns
    -------
    str
        The same text.

    Raises
    ------
    ValueError
        If it is anything else.
    """
    host, _, port = text.rpartition(":")
    try:
        ipaddress.IPv4Address(host)
    except ValueError:
        host = ""
    digits = port.isascii() and port.isdigit() and not port.startswith("0")
    if not host or not digits or len(port) > 5 or int(port) > 65535:
        raise ValueError(
            f"must be an IPv4 address and a port, as in 10.0.0.1:8080, not {text!r}"
        )
    return text


def check_name(text):
    """Check that a text is a valid name of a host, service or data centre.

    Parameters
    ----------
    text : str
        Such as ``akl-a``.

    Returns
    -------
    str
        The same text.

    Raises
    ------
    ValueError
        If it is anything else.
    """
    if not _NAME.fullmatch(text):
        raise ValueError(
            "must be a name of 1 to 63 letters, digits, '.', '_' or '-' that begins "
            f"with a letter or digit, not {text[:70]!r}"
        )
    return text


def _check_range(key, value):
    minimum, maximum = key.minimum, key.maximum
    if (minimum is None or value >= minimum) and (maximum is None or value <= maximum):
        return
    bounds = []
    if minimum is not None:
        bounds.append(f"at least {format_value(key, minimum)}")
    if maximum is not None:
        bounds.append(f"at most {format_value(key, maximum)}")
    raise ValueError(f"must be {' and '.join(bounds)}, not {format_value(key, value)}")
