"""Facade of an entry process that follows a store."""

import logging
import random
import threading

from .errors import StartError
from .members import MemberState
from .routedassembly import assemble_routed
from .shutdown import Phase, Shutdown, ShutdownTimes
from .threads import run_supervised, start_thread

logger = logging.getLogger(__name__)

# New connections are accepted for this long after SIGTERM, since callers still
# use cached answers of the directory that name this host.
ACCEPT_AFTER_SIGTERM_S = 2.0
# This long after SIGTERM, idle connections of callers are closed and no request is
# accepted any more, since it might not be answered before the end of the grace period.
CLOSE_IDLE_AFTER_S = 3.0
# Part of the grace period that is reserved for the exit of the process.
EXIT_MARGIN_S = 0.5
POLL_INTERVAL_S = 0.05
# After a start, connections of callers and for the directory wait this long for the
# first configuration, which mostly arrives within milliseconds. Without one, requests
# are rejected.
CONFIGURATION_WAIT_S = 0.4
# On the first start of all hosts, time for gossip to find them, and time for the data
# of the store to reach one host from another.
MEMBERSHIP_WAIT_S = 4.0
HOP_WAIT_S = 0.5
# The hosts of a data centre read from their reader spread over this time, so that the
# snapshots do not fill its link.
SNAPSHOT_SPREAD_S = 1.5
# Maximum number of addresses in an answer of the directory.
MAX_ADDRESSES = 64
# With fewer hosts in the caller's data centre, an answer includes all data centres.
MIN_PREFERRED_HOSTS = 2


class RoutedEntry:
    """Entry process that follows a store.

    Parameters
    ----------
    settings : RoutedSettings
        The host's own settings.
    listeners : dict of str to socket.socket or None, default=None
        Sockets that already listen on some of the addresses.
    """

    def __init__(self, settings, listeners=None):
        self.settings = settings
        self.listeners = listeners or {}
        self._configured = threading.Event()
        self.stopping = threading.Event()
        self._stopped = threading.Event()
        self.shutdown = Shutdown()
        assemble_routed(self, settings)

    def start(self):
        """Start all threads and servers; return when the listeners are open.

        Raises
        ------
        StartError
            If an address cannot be listened on.
        """
        self._open_listeners()
        self.decisions.record(
            "process started",
            host=self.settings.name,
            data_centre=self.settings.data_centre,
            address=self.settings.address,
        )
        self._run_supervised("gossip-receiver", self.gossip.run_receiver)
        self._run_supervised("gossip-sender", self.gossip.run_sender)
        self._run_supervised("follower", self._follow_store)
        self._run_supervised("sweep", self.follower.run_sweep)
        self._run_supervised("metrics", self.metrics.run_flusher)
        self.rate_limiter.start(self._run_supervised)
        # CherryPy's process bus is not used: importing it takes 0.15 s, which delays
        # the first response after a restart, and the server works without it.
        for server in self.servers:
            start_thread("server", self._serve, server)

    def _follow_store(self, stopping):
        """Follow the store; on a first start only after the hosts know each other.

        Load pattern: hundreds of hosts start within a second, and each of them would
        read the store itself, because it knows no other host yet.
        """
        # A thread that is restarted after an error must not wait again.
        if self.settings.first_start and self.store_state.table is None:
            stopping.wait(MEMBERSHIP_WAIT_S)
            hops = self.sources.count_hops()
            spread_s = random.uniform(0, SNAPSHOT_SPREAD_S) if hops > 1 else 0.0
            stopping.wait(HOP_WAIT_S * hops + spread_s)
        self.follower.run(stopping)

    def _serve(self, server):
        """Accept connections; those of callers only once they can be served."""
        address = "{}:{}".format(*server.bind_addr)
        if address in (self.settings.address, self.settings.directory_address):
            self._configured.wait(CONFIGURATION_WAIT_S)
        if not self.stopping.is_set():
            server.serve()

    def _open_listeners(self):
        """Open all listeners before any of them is served."""
        address = self.settings.peer_address
        try:
            self.gossip.open()
            for server in self.servers:
                address = "{}:{}".format(*server.bind_addr)
                server.prepare()
        except OSError as error:
            raise StartError(f"cannot listen on {address}: {error}") from error

    @property
    def is_ready(self):
        """Tell whether this host has a routing table and is not draining."""
        return self.store_state.table is not None and not self.shutdown.has_begun

    def apply_table(self, table):
        """Apply a routing table.

        Parameters
        ----------
        table : RoutingTable
            The new table.
        """
        self.server.apply_limits(table.limits)
        if (
            self.members.own.state is MemberState.STARTING
            and not self.shutdown.has_begun
        ):
            self.gossip.announce(MemberState.SERVING)
        # The directory names this host from now on, so connections can be accepted.
        self._configured.set()

    def find_addresses(self, data_centre):
        """Return the addresses of the hosts that a caller should use.

        Parameters
        ----------
        data_centre : str or None
            Data centre of the caller.

        Returns
        -------
        tuple of (list of str, float)
            Addresses, and how long the caller may cache them in seconds.
        """
        serving = self.members.list_serving()
        evacuated = self.directory.view.evacuated
        preferred = [m for m in serving if m.data_centre == data_centre]
        if data_centre in evacuated:
            # A host in an evacuated data centre would forward every request to
            # another one.
            preferred = [m for m in serving if m.data_centre not in evacuated]
        chosen = preferred if len(preferred) >= MIN_PREFERRED_HOSTS else serving
        addresses = [member.address for member in chosen]
        if len(addresses) > MAX_ADDRESSES:
            addresses = random.sample(addresses, MAX_ADDRESSES)
        return addresses, self.settings.address_keep

    def reload(self, settings):
        """Apply the settings that may change while the process runs.

        Parameters
        ----------
        settings : RoutedSettings
            The new settings.
        """
        self.gossip.set_seeds(settings.seed_peer_addresses)
        changed = settings != self.settings
        self.decisions.record("settings read again", changed=changed)

    def drain(self):
        """Begin a graceful shutdown without waiting for its end."""
        end_s = self.settings.grace - EXIT_MARGIN_S
        times = ShutdownTimes.fit(ACCEPT_AFTER_SIGTERM_S, CLOSE_IDLE_AFTER_S, end_s)
        if self.shutdown.begin(times):
            start_thread("drain", self._drain)
            # The process exits in time whatever happens to the other thread.
            start_thread("shutdown-end", self._stop_at_end)

    def stop(self):
        """Stop immediately and abort the requests in progress."""
        if self.stopping.is_set():
            return
        self.decisions.record(
            "process stopped",
            host=self.settings.name,
            unanswered=self.server.count_unanswered(),
        )
        self.stopping.set()
        self._stopped.set()

    def close(self):
        """Stop immediately and close all listeners."""
        self.stop()
        for server in self.servers:
            server.stop()

    def wait(self):
        """Wait until the process has stopped."""
        self._stopped.wait()

    def _drain(self):
        try:
            self._finish_requests()
        finally:
            self.stop()

    def _finish_requests(self):
        """Close the listener and the connections, each when it is time."""
        self.decisions.record(
            "process leaving",
            host=self.settings.name,
            connections=self.server.requests.count,
        )
        self.server.keep_alive_enabled = False
        self.gossip.announce(MemberState.LEAVING)
        self.stopping.wait(self.shutdown.compute_phase_left_s(Phase.ACCEPTING))
        self.server.close_listener()
        while not self.stopping.is_set() and self.server.drain_connections():
            self.stopping.wait(POLL_INTERVAL_S)

    def _stop_at_end(self):
        """Stop at the end of the shutdown if requests are still in progress."""
        self.stopping.wait(self.shutdown.compute_phase_left_s(Phase.FINISHING))
        self.stop()

    def _run_supervised(self, name, target):
        run_supervised(name, target, self.stopping, self.metrics)
