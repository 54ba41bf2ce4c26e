"""Published configuration: services, targets, defaults and exceptions."""

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
    """A service and its targets.

    Attributes
    ----------
    name : str
        Name of the service, which is the first segment of its request paths.
    targets : tuple of Target
        All targets, including those taken out of service.
    """

    name: str
    targets: tuple


@dataclass(frozen=True)
class ConfigurationException:
    """Values that override the defaults for selected targets, with a reason.

    Attributes
    ----------
    service, target, data_centre : str or None
        Parts of the selector; None matches everything.
    values : mapping of str to object
        Values by key, in base units.
    reason : str
        Why the exception exists.
    line : int, default=0
        Line of the document on which the exception begins.
    """

    service: str | None
    target: str | None
    data_centre: str | None
    values: MappingProxyType
    reason: str
    line: int = field(default=0, compare=False)

    def matches(self, target):
        """Return whether the selector matches a target.

        Parameters
        ----------
        target : Target
            The target.

        Returns
        -------
        bool
            True if every part of the selector that is set equals that of the target.
        """
        return (
            self.service in (None, target.service)
            and self.target in (None, target.address)
            and self.data_centre in (None, target.data_centre)
        )

    @property
    def specificity(self):
        """Specificity of the selector; the exception with the highest one applies."""
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

    The values in force are computed when the configuration is created, because
    every request looks up several of them.

    Attributes
    ----------
    defaults : mapping of str to object
        Fleet-wide values by key, in base units.
    services : mapping of str to Service
        Services by name.
    exceptions : tuple of ConfigurationException
        Exceptions in the order of the document.
    lines : mapping of str to int
        Line of the document that sets each key of ``defaults``.
    """

    defaults: MappingProxyType = field(default_factory=lambda: MappingProxyType({}))
    services: MappingProxyType = field(default_factory=lambda: MappingProxyType({}))
    exceptions: tuple = ()
    lines: MappingProxyType = field(
        default_factory=lambda: MappingProxyType({}), compare=False
    )
    _values: dict = field(init=False, repr=False, compare=False)
    _exceptions_by_name: dict = field(init=False, repr=False, compare=False)
    _service_values: dict = field(init=False, repr=False, compare=False)
    _target_values: dict = field(init=False, repr=False, compare=False)

    def __post_init__(self):
        values = {name: key.default for name, key in KEYS.items()}
        values.update(self.defaults)
        # An index by the most specific part of the selector keeps the cost per target
        # independent of the number of exceptions.
        exceptions_by_name = {}
        for exception in self.exceptions:
            part = exception.target or exception.service or exception.data_centre
            exceptions_by_name.setdefault(part, []).append(exception)
        object.__setattr__(self, "_values", values)
        object.__setattr__(self, "_exceptions_by_name", exceptions_by_name)
        services = {
            name: self._merge_values(self.find_exceptions(name))
            for name in self.services
        }
        object.__setattr__(self, "_service_values", services)
        values_by_exceptions = {}
        targets = {}
        for service in self.services.values():
            for target in service.targets:
                found = self.find_exceptions(target.service, target)
                exception_ids = tuple(map(id, found))
                if exception_ids not in values_by_exceptions:
                    values_by_exceptions[exception_ids] = self._merge_values(found)
                targets[target] = values_by_exceptions[exception_ids]
        object.__setattr__(self, "_target_values", targets)

    def find_exceptions(self, service, target=None):
        """Return the exceptions that apply, the most specific one first.

        Parameters
        ----------
        service : str
            Name of the service.
        target : Target or None, default=None
            A target of the service; None stands for the service as a whole.

        Returns
        -------
        list of ConfigurationException
            Matching exceptions; for a service as a whole, those that select by
            service alone.
        """
        if target is None:
            return [
                exception
                for exception in self._exceptions_by_name.get(service, ())
                if exception.service == service and exception.specificity == 2
            ]
        parts = {target.address, service, target.data_centre}
        found = [
            exception
            for part in parts
            for exception in self._exceptions_by_name.get(part, ())
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
            The value in base units; the most specific exception takes precedence.
        """
        values = self._target_values.get(target)
        if values is None:
            values = self._merge_values(self.find_exceptions(target.service, target))
        return values[key]

    def _merge_values(self, exceptions):
        """Return all values with exceptions applied, given most specific first."""
        if not exceptions:
            return self._values
        values = dict(self._values)
        for exception in reversed(exceptions):
            values.update(exception.values)
        return values


def parse_configuration(text, name="configuration"):
    """Parse and check a configuration document.

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
        With one message for each problem found.
    """
    source = YamlSource(text, name)
    # ``services`` is required so that an empty file, which a failed write may leave
    # behind, does not remove all services.
    nodes = source.read_mapping(source.root, ("services",), ("defaults", "exceptions"))
    default_nodes = source.read_mapping(nodes.get("defaults"))
    defaults = _read_values(source, default_nodes)
    for key in defaults:
        if KEYS[key].exception_only:
            message = "can be set only by an exception, which records a reason"
            source.report(default_nodes[key], message)
    services, complete = _read_services(source, nodes.get("services"))
    parsed_exceptions = [
        _read_exception(source, node)
        for node in source.read_items(nodes.get("exceptions"))
    ]
    check_contradictions(source, parsed_exceptions)
    # If a target could not be parsed, an exception for it would be reported as
    # matching nothing.
    if complete:
        check_matches(source, parsed_exceptions, services)
    source.raise_problems()
    return Configuration(
        MappingProxyType(defaults),
        MappingProxyType(services),
        tuple(exception for _, exception in parsed_exceptions),
        MappingProxyType({key: default_nodes[key].line for key in defaults}),
    )


def _read_values(source, nodes, check=None):
    """Return values in base units by key; ``check`` may report further problems."""
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


def _read_validated_text(source, node, check):
    """Return a text if it passes a check; otherwise report a problem."""
    text = source.read_text(node)
    if text is None:
        return None
    try:
        return check(text)
    except ValueError as error:
        source.report(node, str(error))
        return None


def _read_services(source, node):
    """Return services by name, and whether all of their targets could be parsed."""
    if node is None:
        return {}, False
    if node.value is None:
        source.report(node, "must be a mapping; write {} for no services")
        return {}, False
    services = {}
    problem_count = len(source.problems)
    duplicate_count = 0
    for name, service_node in source.read_mapping(node).items():
        try:
            check_name(name)
        except ValueError as error:
            source.report(service_node, str(error))
        service_fields = source.read_mapping(service_node, ("targets",), ())
        targets = {}
        for target_node in source.read_items(service_fields.get("targets")):
            target_fields = source.read_mapping(
                target_node, ("address", "data_centre"), ()
            )
            address = _read_validated_text(
                source, target_fields.get("address"), check_address
            )
            centre = _read_validated_text(
                source, target_fields.get("data_centre"), check_name
            )
            if address in targets and address is not None:
                first_line = targets[address][1]
                message = f"{address} is also the target in line {first_line}"
                source.report(target_fields["address"], message)
                duplicate_count += 1
            elif address is not None:
                targets[address] = Target(name, address, centre), target_node.line
        services[name] = Service(name, tuple(target for target, _ in targets.values()))
    return services, len(source.problems) == problem_count + duplicate_count


def _read_exception(source, node):
    """Return the nodes of an exception by name, and the exception."""
    parts = source.read_mapping(node, ("set", "reason"), SELECTOR_PARTS)
    service = _read_validated_text(source, parts.get("service"), check_name)
    target = _read_validated_text(source, parts.get("target"), check_address)
    centre = _read_validated_text(source, parts.get("data_centre"), check_name)
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
