"""Comparison of two configurations, as JSON and as text."""

from dataclasses import dataclass, replace

from .defaults import KEYS
from .explanation import list_default_origins, list_origins

# Bounds the length of a text line; the JSON output names every target.
MAX_LISTED_TARGETS = 6


@dataclass(frozen=True)
class Change:
    """One difference between two configurations.

    Attributes
    ----------
    kind : str
        ``service-added``, ``service-removed``, ``target-added``,
        ``target-removed``, ``target-moved``, ``default``, ``service-value`` or
        ``target-value``.
    service : str or None, default=None
        Name of the service; None for a change of ``defaults``.
    target : str or None, default=None
        Address of the target, if the change concerns one.
    key : str or None, default=None
        The key whose value changes.
    old, new : str or None, default=None
        Value of the key, or data centre of the target, before and after.
    old_origin, new_origin : Origin or None, default=None
        Default or exception that sets the value before and after.
    """

    kind: str
    service: str | None = None
    target: str | None = None
    key: str | None = None
    old: str | None = None
    new: str | None = None
    old_origin: object = None
    new_origin: object = None

    def to_json(self):
        """Return the change as an object for JSON.

        Returns
        -------
        dict
            All attributes that apply to the kind.
        """
        names = ("kind", "service", "target", "key", "old", "new")
        fields = {name: getattr(self, name) for name in names}
        for name in ("old_origin", "new_origin"):
            origin = getattr(self, name)
            fields[name] = None if origin is None else origin.to_json()
        return {name: value for name, value in fields.items() if value is not None}


def compare(old, new):
    """Return the changes that replacing one configuration by another makes.

    Only services, targets and values in force are compared; comments, reasons
    and the order of exceptions are ignored.

    Parameters
    ----------
    old, new : Configuration
        The configurations.

    Returns
    -------
    list of Change
        Defaults first, then service by service.
    """
    changes = []
    for key in KEYS:
        before = list_default_origins(old, key)[0]
        after = list_default_origins(new, key)[0]
        if before.value != after.value:
            changes.append(_make_change("default", None, None, key, before, after))
    for name in sorted({*old.services, *new.services}):
        if name not in new.services:
            changes.append(Change("service-removed", name))
        elif name not in old.services:
            changes.append(Change("service-added", name))
            changes += _compare_targets(name, {}, _index_targets(new, name))
        else:
            changes += _compare_service(old, new, name)
    return changes


def describe_changes(changes):
    """Return changes as text, one line for each group of equal changes.

    Changes that differ only in the target form a group.

    Parameters
    ----------
    changes : list of Change
        The changes.

    Returns
    -------
    list of str
        The lines.
    """
    defaults = {
        (change.key, change.old, change.new): []
        for change in changes
        if change.kind == "default"
    }
    groups = {}
    for change in changes:
        if _is_due_to_default(change):
            defaults[change.key, change.old, change.new].append(change)
        else:
            groups.setdefault(replace(change, target=None), []).append(change.target)
    lines = []
    for change, targets in groups.items():
        line = _describe_change(change, targets)
        if change.kind == "default":
            inherited_changes = defaults[change.key, change.old, change.new]
            line += _describe_default_effect(inherited_changes)
        lines.append(line)
    return lines


def _is_due_to_default(change):
    """Return whether a value changes only because its fleet-wide default does."""
    return (
        change.kind in ("service-value", "target-value")
        and change.old_origin.kind != "exception"
        and change.new_origin.kind != "exception"
    )


def _describe_default_effect(changes):
    """Return the end of a line that names the services a new default affects."""
    services = {change.service for change in changes}
    targets = {(change.service, change.target) for change in changes if change.target}
    if not services:
        return "; changes no service"
    text = f"; changes services {', '.join(sorted(services))}"
    return f"{text} ({len(targets)} targets)" if targets else text


def _compare_service(old, new, name):
    old_targets, new_targets = _index_targets(old, name), _index_targets(new, name)
    changes = _compare_targets(name, old_targets, new_targets)
    for key in KEYS:
        if KEYS[key].scope == "service":
            if old.service_value(key, name) != new.service_value(key, name):
                before = list_origins(old, key, name)[0]
                after = list_origins(new, key, name)[0]
                changes.append(
                    _make_change("service-value", name, None, key, before, after)
                )
            continue
        for address in sorted(old_targets.keys() & new_targets.keys()):
            old_target, new_target = old_targets[address], new_targets[address]
            if old.target_value(key, old_target) != new.target_value(key, new_target):
                before = list_origins(old, key, name, old_target)[0]
                after = list_origins(new, key, name, new_target)[0]
                change = _make_change("target-value", name, address, key, before, after)
                changes.append(change)
    return changes


def _compare_targets(name, old_targets, new_targets):
    changes = []
    for address in sorted({*old_targets, *new_targets}):
        if address not in new_targets:
            centre = old_targets[address].data_centre
            changes.append(Change("target-removed", name, address, old=centre))
        elif address not in old_targets:
            centre = new_targets[address].data_centre
            changes.append(Change("target-added", name, address, new=centre))
        elif old_targets[address] != new_targets[address]:
            change = Change(
                "target-moved",
                name,
                address,
                old=old_targets[address].data_centre,
                new=new_targets[address].data_centre,
            )
            changes.append(change)
    return changes


def _index_targets(configuration, name):
    return {target.address: target for target in configuration.services[name].targets}


def _make_change(kind, service, target, key, before, after):
    return Change(kind, service, target, key, before.value, after.value, before, after)


def _describe_change(change, targets):
    value = ""
    if change.key is not None:
        old, new = change.old_origin.describe(), change.new_origin.describe()
        old_note = "" if old == new else f" [{old}]"
        value = (
            f"{change.key} changes from {change.old}{old_note} to {change.new} [{new}]"
        )
    selected = _describe_targets(targets)
    texts = {
        "default": f"defaults: {value}",
        "service-added": f"service {change.service}: is added",
        "service-removed": f"service {change.service}: is removed with its targets",
        "service-value": f"service {change.service}: {value}",
        "target-value": f"service {change.service}, {selected}: {value}",
        "target-added": f"service {change.service}, {selected}: added in {change.new}",
        "target-removed": (
            f"service {change.service}, {selected}: removed from {change.old}"
        ),
        "target-moved": (
            f"service {change.service}, {selected}: moved from {change.old} "
            f"to {change.new}"
        ),
    }
    return texts[change.kind]


def _describe_targets(targets):
    if targets[0] is None:
        return ""
    targets = sorted(targets)
    text = ", ".join(targets[:MAX_LISTED_TARGETS])
    if len(targets) == 1:
        return f"target {text}"
    if len(targets) > MAX_LISTED_TARGETS:
        text += f" and {len(targets) - MAX_LISTED_TARGETS} more"
    return f"{len(targets)} targets ({text})"
