"""Composition root: builds the components of an entry process."""

from cherrypy import _cptree

from .admission import AdmissionDirectory
from .audit import AuditTrail
from .dispatch import Dispatcher
from .forwarder import Forwarder
from .grants import GrantTable
from .leases import LeaseClient, LeaseGrantor
from .membership import Membership
from .messages import (
    Hello,
    LeaseRelease,
    LeaseReply,
    LeaseRequest,
    SeenTargets,
    TargetStates,
)
from .metrics import Metrics, connect_statsd
from .outcomes import OutcomeRecorder
from .pages import MOUNT_POINT, build_application
from .peers import PeerNetwork
from .policy.policies import policies
from .policy.ramps import ramps
from .policy.slots import SlotCounter
from .probes import Prober
from .publication import Publication
from .requestlog import RequestLog
from .server import EntryServer
from .servicereader import ServiceReader
from .status import sample_gauges
from .targets import TargetDirectory, Temperature
from .temperatures import TemperatureExchange
from .upstream import PoolDirectory
from .values import ValueStore


def assemble(entry, settings):
    """Build all components of an entry process and set them on its facade.

    Parameters
    ----------
    entry : Entry
        The facade; provides the callbacks that the components need.
    settings : Settings
        The host's own settings.
    """
    # The host name in the prefix keeps the gauges of hosts from overwriting each
    # other.
    prefix = f"redwingspring.{settings.name.replace('.', '_')}"
    entry.metrics = Metrics(connect_statsd(settings.statsd, prefix))
    entry.metrics.add_sampler(lambda metrics: sample_gauges(entry, metrics))
    entry.audit = AuditTrail()
    entry.requests = RequestLog()
    entry.directory = TargetDirectory()
    source = settings.address.rsplit(":", 1)[0]
    entry.pools = PoolDirectory(source)
    entry.admissions = AdmissionDirectory()
    hello = Hello(settings.address, settings.peer_address, settings.data_centre)
    entry.values = ValueStore(entry.apply_value, entry.audit, entry.metrics)
    entry.peers = PeerNetwork(
        settings.name, settings.peer_key, hello, entry.metrics, settings.peer_listen
    )
    entry.membership = Membership(
        settings.name,
        hello,
        entry.peers,
        entry.values,
        entry.audit,
        entry.metrics,
        settings.seeds,
    )
    entry.publication = Publication(
        entry.values,
        ServiceReader(
            settings.configuration_service, settings.name, entry.metrics, source
        ),
        entry.peers,
        entry.membership,
        entry.metrics,
    )
    assemble_leases(entry, settings)
    outcomes = OutcomeRecorder(entry.metrics, entry.temperatures.announce)
    entry.dispatcher = Dispatcher(
        directory=entry.directory,
        pools=entry.pools,
        admissions=entry.admissions,
        leases=entry.leases,
        membership=entry.membership,
        metrics=entry.metrics,
        policies=policies,
        outcomes=outcomes,
        data_centre=settings.data_centre,
    )
    entry.prober = Prober(
        name=settings.name,
        directory=entry.directory,
        pools=entry.pools,
        membership=entry.membership,
        quorum=entry.leases.quorum,
        network=entry.peers,
        metrics=entry.metrics,
        outcomes=outcomes,
    )
    entry.peers.register(SeenTargets, entry.prober.handle_seen_targets)
    forwarder = Forwarder(
        entry.directory, entry.dispatcher, entry.requests, entry.metrics
    )
    tree = _cptree.Tree()
    tree.graft(forwarder, "")
    tree.mount(build_application(entry), MOUNT_POINT)
    entry.server = EntryServer(settings.address, tree, settings, entry.metrics)


def assemble_leases(entry, settings):
    """Build the client and the grantor of leases and connect their messages.

    Parameters
    ----------
    entry : Entry
        The facade.
    settings : Settings
        The host's own settings.
    """
    slots = SlotCounter(entry.directory, ramps)
    entry.grants = GrantTable(slots.count, find_probe_term=slots.find_probe_term)
    entry.temperatures = TemperatureExchange(
        entry.directory, entry.grants, entry.peers, entry.audit
    )
    entry.leases = LeaseClient(
        settings.name,
        entry.grants,
        entry.membership,
        entry.peers,
        entry.metrics,
        lambda state: entry.temperatures.announce(state, Temperature.WARM),
    )
    grantor = LeaseGrantor(entry.grants, entry.peers, entry.metrics)
    entry.peers.register(LeaseRequest, grantor.handle_request)
    entry.peers.register(LeaseRelease, grantor.handle_release)
    entry.peers.register(LeaseReply, entry.leases.record_reply)
    entry.peers.register(TargetStates, entry.temperatures.apply_message)
    entry.membership.on_hello = entry.temperatures.reset_snapshot
    entry.membership.on_heartbeat = entry.temperatures.send_snapshot
