"""Exchange between hosts of the cold, warm and leaving states of targets."""

import time

from .messages import TargetStateEntry, TargetStates
from .targets import Temperature

# Maximum expected difference between the clocks of two hosts. If cold and warm were
# observed within this time of each other, cold takes precedence.
CLOCK_MARGIN_MS = 250
MAX_MESSAGE_ENTRIES = 4000


class TemperatureExchange:
    """Sends temperature changes of targets to other hosts and applies theirs.

    Parameters
    ----------
    directory : TargetDirectory
        Targets and their states.
    grants : GrantTable
        Cold-start ramps, which are reset when a target becomes cold.
    network : PeerNetwork
        Connections to the other hosts.
    audit : AuditTrail
        Records the changes of temperature.
    """

    def __init__(self, directory, grants, network, audit):
        self._directory = directory
        self._grants = grants
        self._network = network
        self._audit = audit
        self._synced_hosts = set()

    def announce(self, state, temperature):
        """Record a change of temperature that this host saw and send it to all hosts.

        Parameters
        ----------
        state : TargetState
            The target.
        temperature : Temperature
            Its new temperature.
        """
        address = state.target.address
        decided_ms = _read_clock_ms()
        if temperature is Temperature.COLD:
            state.cold_seen_ms = decided_ms
            self._grants.reset_ramp(address)
        elif temperature is Temperature.WARM:
            state.warm_seen_ms = decided_ms
        entry = TargetStateEntry(address, state.start_id, str(temperature), decided_ms)
        self._network.broadcast(TargetStates((entry,)))
        self._audit.record(f"target-{temperature}", address, "seen by this host")

    def reset_snapshot(self, host_name):
        """Mark a host that opened a connection for a new snapshot.

        It may have missed messages while it was not connected.

        Parameters
        ----------
        host_name : str
            Name of the host.
        """
        self._synced_hosts.discard(host_name)

    def send_snapshot(self, host_name):
        """Send a host all known temperatures, once for each connection.

        Parameters
        ----------
        host_name : str
            Name of a host that sends heartbeats.
        """
        table = self._directory.table
        if table is None or host_name in self._synced_hosts:
            return
        candidates = (
            _build_entry(state)
            for states in table.services.values()
            for state in states
        )
        entries = [entry for entry in candidates if entry is not None]
        for first in range(0, len(entries), MAX_MESSAGE_ENTRIES):
            batch = TargetStates(tuple(entries[first : first + MAX_MESSAGE_ENTRIES]))
            if not self._network.send(host_name, batch):
                return
        self._synced_hosts.add(host_name)

    def apply_message(self, sender, message):
        """Apply the temperatures that another host sent.

        Parameters
        ----------
        sender : str
            Name of the host.
        message : TargetStates
            Temperatures that it observed.
        """
        for entry in message.entries:
            for state in self._directory.find(entry.target):
                before = _find_temperature(state)
                self._apply_entry(state, entry)
                after = _find_temperature(state)
                if after is not before:
                    self._audit.record(
                        f"target-{after}", entry.target, f"told by {sender}"
                    )

    def _apply_entry(self, state, entry):
        if entry.temperature == Temperature.COLD:
            if entry.decided_ms + CLOCK_MARGIN_MS > state.warm_seen_ms:
                state.cold_seen_ms = max(state.cold_seen_ms, entry.decided_ms)
                state.mark_cold(entry.start_id)
                self._grants.reset_ramp(entry.target)
        elif entry.temperature == Temperature.WARM:
            other_start = state.start_id and state.start_id != entry.start_id
            outdated = entry.decided_ms <= state.cold_seen_ms + CLOCK_MARGIN_MS
            if state.is_cold and not other_start and not outdated:
                state.warm_seen_ms = entry.decided_ms
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


def _find_temperature(state):
    if state.leaving:
        return Temperature.LEAVING
    return Temperature.COLD if state.is_cold else Temperature.WARM


def _build_entry(state):
    """Return the known temperature of a target with its time of observation."""
    temperature = _find_temperature(state)
    if temperature is Temperature.COLD:
        decided_ms = state.cold_seen_ms
    elif temperature is Temperature.WARM:
        decided_ms = max(state.warm_seen_ms, _read_report_ms(state))
    else:
        decided_ms = _read_report_ms(state)
    if not decided_ms:
        # This host has no observation of the target yet.
        return None
    return TargetStateEntry(
        state.target.address, state.start_id, str(temperature), decided_ms
    )
