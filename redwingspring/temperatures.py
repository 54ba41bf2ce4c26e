"""News between hosts of targets that turn cold, get warm or leave."""

import time

from .messages import TargetStateEntry, TargetStates
from .targets import Temperature

# Clocks of hosts may differ by this much; within it, the news that a target
# is cold goes before the news that it is warm.
CLOCK_MARGIN_MS = 250
MAX_ENTRIES = 4000


class TemperatureExchange:
    """Spreads what this host learns of targets and takes what others learn.

    Parameters
    ----------
    directory : TargetDirectory
        Targets and their states.
    grants : GrantTable
        Ramps that begin again when a target turns cold.
    network : PeerNetwork
        Way to the other hosts.
    audit : AuditTrail
        Records changes.
    """

    def __init__(self, directory, grants, network, audit):
        self._directory = directory
        self._grants = grants
        self._network = network
        self._audit = audit
        self._greeted = set()

    def announce(self, state, temperature):
        """Tell all hosts what this host saw of a target.

        Parameters
        ----------
        state : TargetState
            The target.
        temperature : Temperature
            What it turned to.
        """
        address = state.target.address
        decided_ms = _read_clock_ms()
        if temperature is Temperature.COLD:
            state.cold_ms = decided_ms
            self._grants.reset_ramp(address)
        elif temperature is Temperature.WARM:
            state.warm_ms = decided_ms
        entry = TargetStateEntry(address, state.start_id, str(temperature), decided_ms)
        self._network.broadcast(TargetStates((entry,)))
        self._audit.record(f"target-{temperature}", address, "seen by this host")

    def reset_snapshot(self, host_name):
        """Note that a host opened a connection, and may have missed news.

        Parameters
        ----------
        host_name : str
            The host.
        """
        self._greeted.discard(host_name)

    def send_snapshot(self, host_name):
        """Tell a host all that this host knows, once for each connection.

        Parameters
        ----------
        host_name : str
            A host that is heard.
        """
        table = self._directory.table
        if table is None or host_name in self._greeted:
            return
        described = (
            _describe(state) for states in table.services.values() for state in states
        )
        entries = [entry for entry in described if entry is not None]
        for first in range(0, len(entries), MAX_ENTRIES):
            part = TargetStates(tuple(entries[first : first + MAX_ENTRIES]))
            if not self._network.send(host_name, part):
                return
        self._greeted.add(host_name)

    def apply_message(self, sender, news):
        """Take what another host saw.

        Parameters
        ----------
        sender : str
            Name of the host.
        news : TargetStates
            What it saw.
        """
        for entry in news.entries:
            for state in self._directory.find(entry.target):
                before = _name_temperature(state)
                self._take_entry(state, entry)
                after = _name_temperature(state)
                if after is not before:
                    self._audit.record(
                        f"target-{after}", entry.target, f"told by {sender}"
                    )

    def _take_entry(self, state, entry):
        if entry.temperature == Temperature.COLD:
            if entry.decided_ms + CLOCK_MARGIN_MS > state.warm_ms:
                state.cold_ms = max(state.cold_ms, entry.decided_ms)
                state.mark_cold(entry.start_id)
                self._grants.reset_ramp(entry.target)
        elif entry.temperature == Temperature.WARM:
            other_start = state.start_id and state.start_id != entry.start_id
            outdated = entry.decided_ms <= state.cold_ms + CLOCK_MARGIN_MS
            if state.is_cold and not other_start and not outdated:
                state.warm_ms = entry.decided_ms
                state.mark_warm(entry.start_id)
        elif entry.decided_ms >= _read_report_ms(state):
            state.mark_leaving()


def _read_clock_ms():
    return int(time.time() * 1000)


def _read_report_ms(state):
    """Return the Unix time of the last load report in milliseconds."""
    if state.report is None:
        return 0
    return _read_clock_ms() - int((time.monotonic() - state.report.time) * 1000)


def _name_temperature(state):
    if state.leaving:
        return Temperature.LEAVING
    return Temperature.COLD if state.is_cold else Temperature.WARM


def _describe(state):
    """Return what this host knows of a target, with the age of the knowledge."""
    temperature = _name_temperature(state)
    if temperature is Temperature.COLD:
        decided_ms = state.cold_ms
    elif temperature is Temperature.WARM:
        decided_ms = max(state.warm_ms, _read_report_ms(state))
    else:
        decided_ms = _read_report_ms(state)
    if not decided_ms:
        # This host has seen nothing of the target.
        return None
    return TargetStateEntry(
        state.target.address, state.start_id, str(temperature), decided_ms
    )
