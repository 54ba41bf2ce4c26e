"""Check of a configuration before it is published."""

import re
from dataclasses import dataclass

from ..jsonlines import find_lines
from ..registry import Registry
from ..validation import CheckReport, serialize_problems
from ..yamlsource import Problem
from .configurationchanges import compare_documents
from .documentfaults import list_faults
from .documents import CONFIGURATION_KEY, IDEMPOTENT_BY_TYPE, read_configuration
from .headers import AUTHENTICATION_SCHEME

KIND = "platform"
# Fields are looked for as text, because a malformed document must be recognised too.
_FIELD = re.compile(r'"(config_version|virtual_hosts|tenants|api_keys)"')
# Each yields path and message of what is valid in a configuration and of no use.
warning_checks = Registry("check of a configuration")


@dataclass(frozen=True)
class ConfigurationReport(CheckReport):
    """The result of checking a configuration of the platform.

    Attributes
    ----------
    warnings : tuple of Problem
        What hosts accept although it has no effect or contradicts itself.
    changes : tuple of DocumentChange or None
        Differences from the version in force; None if it was not given or if one of
        the two is invalid.
    """

    warnings: tuple = ()
    changes: tuple | None = None

    def to_json(self):
        """Return the report as an object for JSON.

        Returns
        -------
        dict
            Also ``warnings``, and ``changes`` if there was a comparison.
        """
        fields = {**super().to_json(), "warnings": serialize_problems(self.warnings)}
        if self.changes is not None:
            fields["changes"] = [change.to_json() for change in self.changes]
        return fields

    def to_text(self):
        """Return the report as lines of text.

        Returns
        -------
        str
            Problems or a line for a valid file, then warnings and changes.
        """
        lines = [super().to_text()]
        lines += [
            f"{w.file}:{w.line}: {w.key}: warning: {w.message}" for w in self.warnings
        ]
        if self.changes is not None:
            changes = [f"change: {change.to_text()}" for change in self.changes]
            lines += changes or ["no change"]
        return "\n".join(lines)


def is_configuration(text):
    """Tell whether a text is meant as a configuration of the platform.

    Parameters
    ----------
    text : str
        Content of a file.

    Returns
    -------
    bool
        True also for a malformed one.
    """
    return _FIELD.search(text) is not None


def check_configuration(text, name, text_in_force=None, name_in_force=""):
    """Check a configuration of the platform.

    Parameters
    ----------
    text : str
        The document.
    name : str
        Name of its file.
    text_in_force : str or None, default=None
        The version that it would replace.
    name_in_force : str, default=""
        Name of the file of that version.

    Returns
    -------
    ConfigurationReport
        The result; contains no API key.
    """
    problems = _list_problems(text, name)
    if text_in_force is not None:
        problems += _list_problems(text_in_force, name_in_force)
    if problems:
        return ConfigurationReport(name, KIND, tuple(problems))
    document = read_configuration(text.encode())
    lines = find_lines(text)
    changes = None
    if text_in_force is not None:
        in_force = read_configuration(text_in_force.encode())
        changes = tuple(compare_documents(in_force, document))
        problems = _check_version(document, in_force, name, lines)
    found = [
        finding
        for check in warning_checks.list_names()
        for finding in warning_checks.find(check)(document)
    ]
    warnings = [_build_problem(name, lines, *finding) for finding in found]
    warnings.sort(key=lambda warning: warning.line)
    summary = "" if problems else _summarize(document)
    return ConfigurationReport(
        name, KIND, tuple(problems), summary, tuple(warnings), changes
    )


def _list_problems(text, name):
    """Return what makes a host refuse a document."""
    value = text.encode()
    faults = list_faults(value)
    if not faults:
        return []
    if faults[0].offset is not None:
        line = value.count(b"\n", 0, faults[0].offset) + 1
        return [Problem(name, line, CONFIGURATION_KEY, faults[0].message)]
    lines = find_lines(text)
    return [_build_problem(name, lines, f.path, f.message) for f in faults]


def _build_problem(name, lines, path, message):
    """Return a problem with the line of its value, or of what should contain it."""
    key = path.removeprefix("$").removeprefix(".") or CONFIGURATION_KEY
    while path not in lines:
        path = path[: max(path.rfind("."), path.rfind("["))]
    return Problem(name, lines[path], key, message)


def _check_version(document, in_force, name, lines):
    """Return a problem for a version that hosts ignore because of its number."""
    version, known = document.config_version, in_force.config_version
    if version > known:
        return []
    message = f"{version} is not higher than {known}, the version in force"
    return [_build_problem(name, lines, "$.config_version", message)]


def _summarize(document):
    routes = sum(len(host.paths) for host in document.virtual_hosts)
    return (
        f"version {document.config_version}, routes: {routes}, "
        f"services: {len(document.services)}, tenants: {len(document.tenants)}"
    )


def _list_routes(document):
    """Yield path, virtual host and route of each route."""
    for i, host in enumerate(document.virtual_hosts):
        for j, route in enumerate(host.paths):
            yield f"$.virtual_hosts[{i}].paths[{j}]", host.host, route


@warning_checks.register("hidden routes")
def _find_hidden_routes(document):
    first = {}
    for path, host, route in _list_routes(document):
        other = first.setdefault((host, route.prefix), route)
        if other is not route:
            message = f"never matches: route {other.name} has the same prefix"
            yield f"{path}.prefix", message


@warning_checks.register("route types")
def _find_unknown_types(document):
    for path, _, route in _list_routes(document):
        if route.type not in IDEMPOTENT_BY_TYPE:
            known = ", ".join(IDEMPOTENT_BY_TYPE)
            message = f"requests are never repeated, because it is none of: {known}"
            yield f"{path}.type", message


@warning_checks.register("weights")
def _find_zero_weights(document):
    for path, _, route in _list_routes(document):
        if route.traffic_split and not any(s.weight for s in route.traffic_split):
            message = f"has only zero weights; all requests go to {route.service}"
            yield f"{path}.traffic_split", message


@warning_checks.register("virtual hosts")
def _find_empty_hosts(document):
    for index, host in enumerate(document.virtual_hosts):
        if not host.paths:
            yield f"$.virtual_hosts[{index}].paths", f"{host.host} has no route"


@warning_checks.register("services")
def _find_unused_services(document):
    used = {name for _, _, route in _list_routes(document) for name in route.weights}
    for index, service in enumerate(document.services):
        if service.name not in used:
            yield f"$.services[{index}].name", f"no route uses {service.name}"


@warning_checks.register("API keys")
def _find_useless_keys(document):
    for index, tenant in enumerate(document.tenants):
        if not tenant.api_keys:
            yield f"$.tenants[{index}].api_keys", f"{tenant.name} has no API key"
    routes = [route for _, _, route in _list_routes(document)]
    has_keys = any(tenant.api_keys for tenant in document.tenants)
    if has_keys and routes and all(route.public for route in routes):
        yield "$.tenants", "no route needs an API key, because all are public"


@warning_checks.register("timeouts")
def _find_short_timeouts(document):
    for path, _, route in _list_routes(document):
        latency_s, timeout_s = route.target_latency_s, route.timeout_s
        attempts = route.max_attempts
        if latency_s > timeout_s:
            message = f"{latency_s:g} s is above the timeout of {timeout_s:g} s"
            yield f"{path}.target_latency_s", message
        elif attempts * latency_s > timeout_s:
            message = (
                f"{timeout_s:g} s leaves no room for {attempts} attempts of "
                f"{latency_s:g} s, the target latency"
            )
            yield f"{path}.timeout_s", message
    limits = document.limits
    if limits.idle_timeout_s < limits.header_timeout_s:
        message = (
            f"{limits.idle_timeout_s:g} s is below the header timeout of "
            f"{limits.header_timeout_s:g} s"
        )
        yield "$.limits.idle_timeout_s", message


@warning_checks.register("rate limits")
def _find_useless_bursts(document):
    for index, tenant in enumerate(document.tenants):
        path = f"$.tenants[{index}].burst"
        if 0 < tenant.burst < 1:
            yield path, f"{tenant.burst:g} is below one request"
        if tenant.burst and not tenant.rate_per_s:
            yield path, "has no effect without a rate_per_s above 0"


@warning_checks.register("cold starts")
def _find_endless_cold_starts(document):
    for index, service in enumerate(document.services):
        if service.warmup_s and not service.warmup_per_s:
            message = f"0 contradicts a warmup_s of {service.warmup_s:g}"
            yield f"$.services[{index}].warmup_per_s", message


@warning_checks.register("header limit")
def _find_small_header_limit(document):
    """Compare the limit with the shortest head of a request with the longest key."""
    keys = [len(key.encode()) for tenant in document.tenants for key in tenant.api_keys]
    heads = [
        len(f"GET {route.prefix} HTTP/1.1\r\nHost: {host}\r\n\r\n".encode())
        for _, host, route in _list_routes(document)
        if not route.public
    ]
    if not keys or not heads:
        return
    field = len(f"Authorization: {AUTHENTICATION_SCHEME} \r\n")
    needed, limit = max(heads) + field + max(keys), document.limits.max_header_bytes
    if limit < needed:
        message = f"{limit} is below the {needed} bytes of a request with an API key"
        yield "$.limits.max_header_bytes", message
