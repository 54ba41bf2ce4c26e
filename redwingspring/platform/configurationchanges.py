"""Differences between two configurations of the platform."""

import json
from dataclasses import dataclass

from msgspec import structs


@dataclass(frozen=True)
class DocumentChange:
    """One difference between two configurations.

    Attributes
    ----------
    subject : str
        ``configuration``, ``limits``, ``service``, ``route`` or ``team``.
    name : str
        Name of the subject; of a route, its virtual host and its name.
    action : str
        ``added``, ``removed`` or ``changed``.
    key : str or None, default=None
        Field that changes; ``keys_added`` and ``keys_removed`` are counts.
    old, new : object, default=None
        Value of the field before and after.
    """

    subject: str
    name: str
    action: str
    key: str | None = None
    old: object = None
    new: object = None

    def to_json(self):
        """Return the change as an object for JSON.

        Returns
        -------
        dict
            ``key``, ``old`` and ``new`` only for a changed field.
        """
        fields = {"subject": self.subject, "name": self.name, "action": self.action}
        if self.key is not None:
            fields |= {"key": self.key, "old": self.old, "new": self.new}
        return fields

    def to_text(self):
        """Return the change as one line of text.

        Returns
        -------
        str
            The line, without its end.
        """
        subject = f"{self.subject} {self.name}".rstrip()
        if self.key is None:
            return f"{subject} is {self.action}"
        if self.key in ("keys_added", "keys_removed"):
            return f"{subject}: API keys {self.key.removeprefix('keys_')}: {self.new}"
        old, new = (json.dumps(value) for value in (self.old, self.new))
        return f"{subject}: {self.key} changes from {old} to {new}"


def compare_documents(old, new):
    """Return what changes if one configuration replaces another.

    Parameters
    ----------
    old, new : Configuration
        The configurations.

    Returns
    -------
    list of DocumentChange
        Contains the numbers of API keys that are added and removed, and no key.
    """
    before, after = _index_entries(old), _index_entries(new)
    keys_before, keys_after = _index_keys(old), _index_keys(new)
    changes = []
    for entry in dict.fromkeys([*before, *after]):
        if entry not in after:
            changes.append(DocumentChange(*entry, "removed"))
        elif entry not in before:
            changes.append(DocumentChange(*entry, "added"))
        else:
            changes += _compare_fields(entry, before[entry], after[entry])
        if entry[0] == "team":
            held, holds = keys_before.get(entry, set()), keys_after.get(entry, set())
            changes += _count_keys(entry, held, holds)
    return changes


def _compare_fields(entry, before, after):
    return [
        DocumentChange(*entry, "changed", key, before[key], after[key])
        for key in before
        if before[key] != after[key]
    ]


def _count_keys(entry, before, after):
    counts = {"keys_added": len(after - before), "keys_removed": len(before - after)}
    return [
        DocumentChange(*entry, "changed", key, 0, count)
        for key, count in counts.items()
        if count
    ]


def _index_keys(document):
    return {("team", t.name): set(t.api_keys) for t in document.tenants}


def _index_entries(document):
    """Return the compared fields of each entry, by subject and name."""
    entries = {
        ("configuration", ""): {"config_version": document.config_version},
        ("limits", ""): structs.asdict(document.limits),
    }
    for service in document.services:
        entries["service", service.name] = structs.asdict(service)
    for host in document.virtual_hosts:
        for route in host.paths:
            name = f"{host.host} {route.name}"
            # Names of routes need not be unique.
            if ("route", name) in entries:
                name += f" {route.prefix}"
            entries["route", name] = _read_route(route)
    for tenant in document.tenants:
        fields = structs.asdict(tenant)
        del fields["api_keys"]
        entries["team", tenant.name] = fields
    return entries


def _read_route(route):
    """Return the fields of a route, with the services that its requests go to."""
    fields = structs.asdict(route)
    del fields["service"], fields["traffic_split"]
    fields["allowed_regions"] = list(route.allowed_regions)
    return {**fields, "services": route.weights}
