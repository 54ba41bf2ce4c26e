"""Facade of an entry process that uses the configuration service."""

import threading

from cherrypy.process import servers, wspbus

from .addresses import AddressAnswer, find_hosts
from .assembly import assemble
from .configuration import parse_configuration
from .drain import drain_server
from .hosts import parse_hosts
from .status import Timestamp, ValueInForce
from .threads import run_supervised, start_thread
from .values import CONFIGURATION_KEY, KEYS


class Entry:
    """Entry process that uses the configuration service.

    Parameters
    ----------
    settings : Settings
        The host's own settings.
    """

    def __init__(self, settings):
        self.settings = settings
        self.started = Timestamp.now()
        self.in_force = {}
        self.stopping = threading.Event()
        self._stopped = threading.Event()
        self._drain_lock = threading.Lock()
        assemble(self, settings)
        self.bus = wspbus.Bus()
        host, port = settings.address.rsplit(":", 1)
        adapter = servers.ServerAdapter(self.bus, self.server, (host, int(port)))
        adapter.subscribe()

    def start(self):
        """Start all threads and the server; return when the listener is open."""
        self.audit.record("process-started", self.settings.name)
        self.peers.start()
        start_thread("metrics", self.metrics.run_flusher, self.stopping)
        self._run_supervised("heartbeats", self.membership.run_heartbeats)
        self._run_supervised("prober", self.prober.run)
        self._run_supervised("apply", self.publication.run_apply)
        for key in KEYS:
            self._run_supervised(f"watch-{key}", self.publication.run_watch, key)
        self.bus.start()

    def drain(self):
        """Begin a graceful shutdown without waiting for its end."""
        start_thread("drain", self._drain)

    def stop(self):
        """Stop immediately and abort the requests in progress."""
        if self.stopping.is_set():
            return
        self.audit.record("process-stopped", self.settings.name)
        self.stopping.set()
        self.peers.stop()
        self.bus.exit()
        self._stopped.set()

    def wait(self):
        """Wait until the process has stopped."""
        self._stopped.wait()

    def find_addresses(self, service, data_centre=None):
        """Return the hosts that a caller of a service should use.

        Parameters
        ----------
        service : str
            Name of the service.
        data_centre : str or None, default=None
            Data centre of the caller; that of this host when None.

        Returns
        -------
        AddressAnswer or None
            None when there is no such service or no configuration yet.
        """
        table = self.directory.table
        if table is None or service not in table.services:
            return None
        hosts = find_hosts(self.membership, self.settings, data_centre)
        keep_s = table.configuration.service_value("address.keep", service)
        return AddressAnswer(service, hosts, keep_s)

    def apply_value(self, value, source):
        """Apply a newer published value.

        Parameters
        ----------
        value : PublishedValue
            The value.
        source : str
            Where the value came from, for the status page.

        Raises
        ------
        DocumentError
            If the document is invalid; nothing has been applied then.
        """
        if value.key == CONFIGURATION_KEY:
            self._apply_configuration(value)
        else:
            self.membership.apply(parse_hosts(value.text))
        self.in_force[value.key] = ValueInForce(value.stamp, source, Timestamp.now())

    def _apply_configuration(self, value):
        configuration = parse_configuration(value.text)
        self.directory.apply(configuration, value.stamp)
        self.admissions.apply(self.directory.table)
        addresses = {
            target.address
            for service in configuration.services.values()
            for target in service.targets
        }
        self.pools.retain(addresses)
        self.grants.retain(addresses)

    def _drain(self):
        with self._drain_lock:
            if self.stopping.is_set():
                return
            self.audit.record("process-leaving", self.settings.name)
            self.membership.leave()
            drain_server(self.server, self._find_max_keep_s())
            self.stop()

    def _find_max_keep_s(self):
        """Return how long callers of any service may cache an address, in seconds."""
        table = self.directory.table
        if table is None:
            return 0.0
        read_value = table.configuration.service_value
        times = [read_value("address.keep", service) for service in table.services]
        return max(times, default=0.0)

    def _run_supervised(self, name, target, *args):
        run_supervised(name, target, self.stopping, self.metrics, *args)
