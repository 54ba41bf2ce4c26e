"""The published configuration: services, targets, defaults and exceptions."""

from dataclasses import dataclass, field
from types import MappingProxyType

from .conflicts import check_contradictions, check_matches
from .defaults import KEYS
from .units import check_address, check_name, parse_value
from .yamlsource import YamlSource

SELECTOR_PARTS = ("service", "target", "data_centre")


@dataclass(frozen=True)
class Target:
    """A target of a service.

    Attributes
    ----------
    service : str
        Name of the service.
    address : str
        ``ip:port``.
    data_centre : str
        Name of the data centre.
    """

    service: str
    address: str
    data_centre: str


@dataclass(frozen=True)
class Service:
    """A named set of targets.

    Attributes
    ----------
    name : str
        First segment of the paths that belong to the service.
    targets : tuple of Target
        All targets, also those out of service.
    """

    name: str
    targets: tuple


@dataclass(frozen=True)
class ConfigurationException:
    """Values that differ from the defaults, with a reason.

    Attributes
    ----------
    service, target, data_centre : str or None
        The selector; None matches all.
    values : mapping of str to object
        Values by key, in base units.
    reason : str
        Why the exception is made.
    line : int, default=0
        Where it begins in its document.
    """

    service: str | None
    target: str | None
    data_centre: str | None
    values: MappingProxyType
    reason: str
    line: int = field(default=0, compare=False)

    def matches(self, target):
        """Tell whether the selector includes a target.

        Parameters
        ----------
        target : Target
            The target.

        Returns
        -------
        bool
            True if every given part of the selector is equal.
        """
        return (
            self.service in (None, target.service)
            and self.target in (None, target.address)
            and self.data_centre in (None, target.data_centre)
        )

    @property
    def specificity(self):
        """Rank of the selector; a higher rank takes precedence."""
        return (
            4 * (self.target is not None)
            + 2 * (self.service is not None)
            + (self.data_centre is not None)
        )

    @property
    def selector(self):
        """The selector as text, such as ``service orders, data_centre ncr-longos``."""
        given = ((part, getattr(self, part)) for part in SELECTOR_PARTS)
        return ", ".join(f"{part} {name}" for part, name in given if name is not None)


@dataclass(frozen=True)
class Configuration:
    """A checked configuration.

    The values in force are computed once, because every request looks several
    of them up.

    Attributes
    ----------
    defaults : mapping of str to object
        Fleet-wide values by key, in base units.
    services : mapping of str to Service
        Services by name.
    exceptions : tuple of ConfigurationException
        In the order of the document.
    lines : mapping of str to int
        Where the document sets each key of ``defaults``.
    """

    defaults: MappingProxyType = field(default_factory=lambda: MappingProxyType({}))
    services: MappingProxyType = field(default_factory=lambda: MappingProxyType({}))
    exceptions: tuple = ()
    lines: MappingProxyType = field(
        default_factory=lambda: MappingProxyType({}), compare=False
    )
    _values: dict = field(init=False, repr=False, compare=False)
    _index: dict = field(init=False, repr=False, compare=False)
    _service_values: dict = field(init=False, repr=False, compare=False)
    _target_values: dict = field(init=False, repr=False, compare=False)

    def __post_init__(self):
        values = {name: key.default for name, key in KEYS.items()}
        values.update(self.defaults)
        # Indexing by the most telling part of the selector keeps the cost per
        # target independent of the number of exceptions.
        index = {}
        for exception in self.exceptions:
            part = exception.target or exception.service or exception.data_centre
            index.setdefault(part, []).append(exception)
        object.__setattr__(self, "_values", values)
        object.__setattr__(self, "_index", index)
        services = {
            name: self._merge(self.find_exceptions(name)) for name in self.services
        }
        object.__setattr__(self, "_service_values", services)
        shared = {}
        targets = {}
        for service in self.services.values():
            for target in service.targets:
                found = self.find_exceptions(target.service, target)
                group = tuple(map(id, found))
                if group not in shared:
                    shared[group] = self._merge(found)
                targets[target] = shared[group]
        object.__setattr__(self, "_target_values", targets)

    def find_exceptions(self, service, target=None):
        """Return the exceptions that apply, the most precise one first.

        Parameters
        ----------
        service : str
            Name of the service.
        target : Target or None, default=None
            A target of the service; None asks for the service as a whole.

        Returns
        -------
        list of ConfigurationException
            For a whole service, those whose selector is the service alone.
        """
        if target is None:
            return [
                exception
                for exception in self._index.get(service, ())
                if exception.service == service and exception.specificity == 2
            ]
        parts = {target.address, service, target.data_centre}
        found = [
            exception
            for part in parts
            for exception in self._index.get(part, ())
            if exception.matches(target)
        ]
        return sorted(found, key=lambda exception: -exception.specificity)

    def default_value(self, key):
        """Return the fleet-wide value of a key.

        Parameters
        ----------
        key : str
            A key of the table in ``defaults``.

        Returns
        -------
        object
            The value in base units.
        """
        return self._values[key]

    def service_value(self, key, service):
        """Return the value of a key for a whole service.

        Parameters
        ----------
        key : str
            A key of the table in ``defaults``.
        service : str
            Name of the service.

        Returns
        -------
        object
            The value in base units.
        """
        return self._service_values.get(service, self._values)[key]

    def target_value(self, key, target):
        """Return the value of a key for one target.

        Parameters
        ----------
        key : str
            A key of the table in ``defaults``.
        target : Target
            The target.

        Returns
        -------
        object
            The value in base units; the most precise exception takes precedence.
        """
        values = self._target_values.get(target)
        if values is None:
            values = self._merge(self.find_exceptions(target.service, target))
        return values[key]

    def _merge(self, exceptions):
        """Return all values under exceptions, given most precise first."""
        if not exceptions:
            return self._values
        values = dict(self._values)
        for exception in reversed(exceptions):
            values.update(exception.values)
        return values


def parse_configuration(text, name="configuration"):
    """Return the configuration that a document declares.

    Parameters
    ----------
    text : str
        YAML text.
    name : str, default="configuration"
        File or source name for error messages.

    Returns
    -------
    Configuration
        The checked configuration.

    Raises
    ------
    DocumentError
        With one message for each fault.
    """
    source = YamlSource(text, name)
    # ``services`` is required so that an empty file, as a failed write leaves
    # it, does not remove all services.
    nodes = source.read_mapping(source.root, ("services",), ("defaults", "exceptions"))
    declared = source.read_mapping(nodes.get("defaults"))
    defaults = _read_values(source, declared)
    for key in defaults:
        if KEYS[key].exception_only:
            message = "can be set only by an exception, which records a reason"
            source.report(declared[key], message)
    services, complete = _read_services(source, nodes.get("services"))
    readings = [
        _read_exception(source, node)
        for node in source.read_items(nodes.get("exceptions"))
    ]
    check_contradictions(source, readings)
    # An exception for a target that could not be read would seem to match
    # nothing.
    if complete:
        check_matches(source, readings, services)
    source.raise_problems()
    return Configuration(
        MappingProxyType(defaults),
        MappingProxyType(services),
        tuple(exception for _, exception in readings),
        MappingProxyType({key: declared[key].line for key in defaults}),
    )


def _read_values(source, nodes, check=None):
    """Return values in base units by key; ``check`` reports further faults."""
    values = {}
    for name, node in nodes.items():
        key = KEYS.get(name)
        if key is None:
            source.report(node, f"unknown key{source.suggest(name, KEYS)}")
            continue
        if check is not None:
            check(key, node)
        try:
            values[name] = parse_value(key, node.strip_positions())
        except ValueError as error:
            source.report(node, str(error))
    return values


def _read_checked(source, node, check):
    """Return a text that passes a check, or None."""
    text = source.read_text(node)
    if text is None:
        return None
    try:
        return check(text)
    except ValueError as error:
        source.report(node, str(error))
        return None


def _read_services(source, node):
    """Return services by name, and whether every part of them was read."""
    if node is None:
        return {}, False
    if node.value is None:
        source.report(node, "must be a mapping; write {} for no services")
        return {}, False
    services = {}
    problems = len(source.problems)
    duplicates = 0
    for name, body in source.read_mapping(node).items():
        try:
            check_name(name)
        except ValueError as error:
            source.report(body, str(error))
        parts = source.read_mapping(body, ("targets",), ())
        targets = {}
        for item in source.read_items(parts.get("targets")):
            fields = source.read_mapping(item, ("address", "data_centre"), ())
            address = _read_checked(source, fields.get("address"), check_address)
            centre = _read_checked(source, fields.get("data_centre"), check_name)
            if address in targets and address is not None:
                first = targets[address][1]
                message = f"{address} is also the target in line {first}"
                source.report(fields["address"], message)
                duplicates += 1
            elif address is not None:
                targets[address] = Target(name, address, centre), item.line
        services[name] = Service(name, tuple(target for target, _ in targets.values()))
    return services, len(source.problems) == problems + duplicates


def _read_exception(source, node):
    """Return the parts of an exception by name, and the exception."""
    parts = source.read_mapping(node, ("set", "reason"), SELECTOR_PARTS)
    service = _read_checked(source, parts.get("service"), check_name)
    target = _read_checked(source, parts.get("target"), check_address)
    centre = _read_checked(source, parts.get("data_centre"), check_name)
    if isinstance(node.value, dict) and parts.keys().isdisjoint(SELECTOR_PARTS):
        message = "needs a selector: service, target, data_centre or several of them"
        source.report(node, message)

    def _check_scope(key, value):
        if key.scope == "service" and parts.keys() & {"target", "data_centre"}:
            message = "applies to a whole service; select by service alone"
            source.report(value, message)

    values = source.read_mapping(parts.get("set"))
    if "set" in parts and not parts["set"].value:
        source.report(parts["set"], "must set at least one key")
    values = _read_values(source, values, _check_scope)
    reason = source.read_text(parts.get("reason"))
    exception = ConfigurationException(
        service, target, centre, MappingProxyType(values), reason, node.line
    )
    return parts, exception
