"""Lookup of the default or exception that sets the value of a key."""

import difflib
from dataclasses import dataclass

from .defaults import KEYS
from .errors import UnknownNameError
from .units import format_value


@dataclass(frozen=True)
class Origin:
    """A default or exception that sets a value of a key.

    Attributes
    ----------
    kind : {"built-in", "default", "exception"}
        ``built-in`` for the table in ``defaults.py``, ``default`` for the
        ``defaults`` of the document, ``exception`` for one of its exceptions.
    value : str
        The value as operators write it.
    line : int or None, default=None
        Line of the document that sets it; None for a built-in default.
    selector : str, default=""
        Selector of the exception as text.
    reason : str, default=""
        Reason of the exception.
    """

    kind: str
    value: str
    line: int | None = None
    selector: str = ""
    reason: str = ""

    def describe(self):
        """Return the origin as text.

        Returns
        -------
        str
            Such as ``exception in line 12 (service orders): new disks``.
        """
        if self.kind == "built-in":
            return "built-in default"
        if self.kind == "default":
            return f"defaults in line {self.line}"
        return f"exception in line {self.line} ({self.selector}): {self.reason}"

    def to_json(self):
        """Return the origin as an object for JSON.

        Returns
        -------
        dict
            All attributes that apply to the kind.
        """
        fields = {"kind": self.kind, "value": self.value}
        if self.line is not None:
            fields["line"] = self.line
        if self.kind == "exception":
            fields.update(selector=self.selector, reason=self.reason)
        return fields


@dataclass(frozen=True)
class Explanation:
    """The value of a key in force for a service or target.

    Attributes
    ----------
    key : str
        The key.
    origins : tuple of Origin
        Every default and exception that sets the key, the one in force first.
    narrower : tuple of Origin
        Exceptions that set another value for some targets of the service;
        empty when the explanation is for a single target.
    """

    key: str
    origins: tuple
    narrower: tuple = ()

    @property
    def value(self):
        """The value in force, as operators write it."""
        return self.origins[0].value

    def to_json(self):
        """Return the explanation as an object for JSON.

        Returns
        -------
        dict
            ``key``, ``value``, ``from``, ``overridden`` and ``narrower``.
        """
        return {
            "key": self.key,
            "value": self.value,
            "from": self.origins[0].to_json(),
            "overridden": [origin.to_json() for origin in self.origins[1:]],
            "narrower": [origin.to_json() for origin in self.narrower],
        }

    def to_text(self):
        """Return the explanation as lines of text.

        Returns
        -------
        str
            The value, its origin, and the values that it overrides.
        """
        lines = [
            f"{self.key}: {self.value}",
            f"  from {self.origins[0].describe()}",
        ]
        lines += [
            f"  overrides {origin.value} from {origin.describe()}"
            for origin in self.origins[1:]
        ]
        lines += [
            f"  {origin.value} for some targets, from {origin.describe()}"
            for origin in self.narrower
        ]
        return "\n".join(lines)


def explain(configuration, service, address=None, key=None):
    """Explain the values in force for a service or one of its targets.

    Parameters
    ----------
    configuration : Configuration
        The configuration.
    service : str
        Name of the service.
    address : str or None, default=None
        Address of a target; None explains the service as a whole.
    key : str or None, default=None
        A key; None explains all keys.

    Returns
    -------
    list of Explanation
        In the order of the table in ``defaults``.

    Raises
    ------
    UnknownNameError
        If the service, target or key does not exist.
    """
    found = _look_up("service", service, configuration.services)
    target = None
    if address is not None:
        targets = {target.address: target for target in found.targets}
        target = _look_up(f"target of service {service}", address, targets)
    if key is not None:
        _look_up("key", key, KEYS)
    names = KEYS if key is None else (key,)
    return [_explain_key(configuration, name, service, target) for name in names]


def list_origins(configuration, key, service, target=None):
    """Return every origin of a value for a service or target.

    Parameters
    ----------
    configuration : Configuration
        The configuration.
    key : str
        A key of the table in ``defaults``.
    service : str
        Name of the service.
    target : Target or None, default=None
        A target; None stands for the service as a whole.

    Returns
    -------
    tuple of Origin
        The one in force first; the last one is the built-in default.
    """
    origins = [
        _make_origin(key, exception)
        for exception in configuration.find_exceptions(service, target)
        if key in exception.values
    ]
    return (*origins, *list_default_origins(configuration, key))


def list_default_origins(configuration, key):
    """Return the origins of the fleet-wide value of a key.

    Parameters
    ----------
    configuration : Configuration
        The configuration.
    key : str
        A key of the table in ``defaults``.

    Returns
    -------
    tuple of Origin
        The one in force first; the last one is the built-in default.
    """
    built_in = Origin("built-in", format_value(KEYS[key], KEYS[key].default))
    if key not in configuration.defaults:
        return (built_in,)
    value = format_value(KEYS[key], configuration.defaults[key])
    return Origin("default", value, configuration.lines.get(key)), built_in


def _explain_key(configuration, key, service, target):
    origins = list_origins(configuration, key, service, target)
    narrower = {}
    if target is None:
        service_exceptions = configuration.find_exceptions(service)
        for member in configuration.services[service].targets:
            for exception in configuration.find_exceptions(service, member):
                if key in exception.values:
                    if exception not in service_exceptions:
                        narrower[id(exception)] = _make_origin(key, exception)
                    break
    return Explanation(key, origins, tuple(narrower.values()))


def _make_origin(key, exception):
    return Origin(
        "exception",
        format_value(KEYS[key], exception.values[key]),
        exception.line,
        exception.selector,
        exception.reason,
    )


def _look_up(kind, name, known):
    """Return the item of a name; the error suggests a similar known name."""
    if name in known:
        return known[name]
    close_matches = difflib.get_close_matches(name, known, 1)
    hint = f"; did you mean {close_matches[0]!r}?" if close_matches else ""
    if not close_matches and len(known) <= 12:
        hint = f"; known are: {', '.join(known) or 'none'}"
    raise UnknownNameError(f"there is no {kind} {name!r}{hint}")
