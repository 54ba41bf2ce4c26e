"""Controls of the configuration service and observation of what is in force."""

import json

import yaml

from .fleet import FleetError


class ServiceControl:
    """Drives the stand-in configuration service of a fleet.

    Parameters
    ----------
    fleet : Fleet
        The fleet.
    """

    def __init__(self, fleet):
        self._fleet = fleet

    def set_fault(self, mode, reader=None, **options):
        """Change the behaviour of the service.

        Parameters
        ----------
        mode : str
            One of the modes of the stand-in.
        reader : int or None, default=None
            Number of the host it applies to; all when None.
        **options : object
            Further fields of the fault.
        """
        fault = {"mode": mode, **options}
        if reader is not None:
            fault["reader"] = f"entry-{reader}"
        self._call("POST", "/control/fault", json.dumps(fault))

    def split(self, key, documents, second):
        """Publish two values under one revision.

        Parameters
        ----------
        key : str
            ``configuration`` or ``hosts``.
        documents : sequence of dict
            The two values.
        second : iterable of int
            Numbers of the hosts that see the second value.
        """
        texts = [yaml.safe_dump(document) for document in documents]
        names = ",".join(f"entry-{number}" for number in second)
        self._call("POST", f"/control/split/{key}?second={names}", json.dumps(texts))

    def publish(self, key, document, revision):
        """Publish a value under a given revision.

        Parameters
        ----------
        key : str
            ``configuration`` or ``hosts``.
        document : dict
            The value.
        revision : int
            Its revision.
        """
        path = f"/v1/values/{key}?revision={revision}"
        self._call("PUT", path, yaml.safe_dump(document))

    def count_calls(self):
        """Return the calls of all readers so far.

        Returns
        -------
        dict
            As the stand-in counts them.
        """
        return json.loads(self._call("GET", "/control/calls").data)

    def _call(self, method, path, body=None):
        url = f"http://{self._fleet.service_address}{path}"
        response = self._fleet.http.request(method, url, body=body)
        if response.status not in (200, 204):
            raise FleetError(f"{path} gave status {response.status}")
        return response


def read_audit(fleet, number, kind=None):
    """Return the audit entries of a host.

    Parameters
    ----------
    fleet : Fleet
        The fleet.
    number : int
        Number of the host.
    kind : str or None, default=None
        Only entries of this kind.

    Returns
    -------
    list of dict
        Oldest first.
    """
    lines = fleet.get(number, "/-/audit").data.decode().splitlines()
    entries = [json.loads(line) for line in lines]
    return [entry for entry in entries if kind in (None, entry["kind"])]


def read_revisions(fleet, number, key="configuration"):
    """Return the revisions that came into force at a host, in order.

    Parameters
    ----------
    fleet : Fleet
        The fleet.
    number : int
        Number of the host.
    key : str, default="configuration"
        Key of the value.

    Returns
    -------
    list of int
        Oldest first.
    """
    entries = read_audit(fleet, number, f"{key}-taken")
    return [int(entry["subject"].split()[1]) for entry in entries]


def wait_in_force(fleet, revision, numbers, key="configuration", timeout=10.0):
    """Wait until a revision is in force at hosts.

    Parameters
    ----------
    fleet : Fleet
        The fleet.
    revision : int
        The revision.
    numbers : iterable of int
        Numbers of the hosts.
    key : str, default="configuration"
        Key of the value.
    timeout : float, default=10.0
        Seconds for each host.

    Returns
    -------
    list of dict
        The audit entry of each host.
    """
    found = []
    for number in numbers:

        def find(number=number):
            entries = read_audit(fleet, number, f"{key}-taken")
            subject = f"revision {revision} "
            matches = [e for e in entries if e["subject"].startswith(subject)]
            found.extend(matches[-1:])
            return matches

        fleet.wait_until(
            find, f"{key} {revision} is not in force at entry-{number}", timeout
        )
    return found
