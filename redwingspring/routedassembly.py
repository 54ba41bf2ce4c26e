"""Composition root of an entry process that follows a store."""

from .authentication import Authenticator
from .confirmations import LastConfirmation
from .decisions import DecisionLog
from .drainnotices import DrainNotices
from .exposition import MetricsCollector, MetricsPage, RequestLatencies
from .feed import FeedClient, FeedPage, StoreMirror
from .follower import StoreFollower
from .gossip import GossipNetwork
from .instances import InstanceDirectory
from .members import Members, build_member, compute_capacity
from .metrics import Metrics, connect_statsd
from .platform import headers
from .platform.documents import decode_change
from .platform.pages import PlatformPages
from .platform.store import StoreClient
from .policy.shares import ColdShare, HostCount, ProbeShare, RetryShare
from .policy.subsets import TargetSubsets
from .policy.usageallotments import UsageBound
from .ratelimiter import RateLimiter
from .routedispatch import RouteDispatcher
from .routedserver import RoutedServer
from .routeforwarder import RouteForwarder
from .server import EntryServer, ServerLimits
from .sources import WATCH_WAIT_S, SourceSelector, StoreSource
from .storestate import StoreState


def assemble_routed(entry, settings):
    """Build all components of the process and set them on its facade.

    Parameters
    ----------
    entry : RoutedEntry
        The facade; provides the callbacks that the components need.
    settings : RoutedSettings
        The host's own settings.
    """
    prefix = f"redwingspring.{settings.name.replace('.', '_')}"
    entry.metrics = Metrics(connect_statsd(settings.statsd, prefix))
    entry.decisions = DecisionLog(entry.metrics)
    entry.drain_notices = DrainNotices(entry.decisions)
    entry.directory = InstanceDirectory(
        settings.source_ip, drain_notices=entry.drain_notices
    )
    entry.store_state = StoreState(
        entry.directory, decode_change, entry.metrics, entry.decisions
    )
    entry.store_state.on_table = entry.apply_table
    assemble_membership(entry, settings)
    entry.mirror = StoreMirror()
    store = StoreSource(
        StoreClient(settings.store, entry.metrics),
        WATCH_WAIT_S,
        renews_early=settings.strict_revoke_s is not None,
    )
    entry.sources = SourceSelector(
        entry.members,
        store,
        lambda address: FeedClient(address, entry.metrics),
        is_first_start=settings.first_start,
    )
    last_confirmation = LastConfirmation()
    entry.follower = StoreFollower(
        entry.sources, entry.store_state, entry.mirror, last_confirmation
    )
    entry.authenticator = Authenticator(
        entry.store_state, last_confirmation, settings.strict_revoke_s, entry.metrics
    )
    hosts = HostCount()
    entry.gossip.on_alive_count = hosts.record_count
    entry.dispatcher = RouteDispatcher(
        directory=entry.directory,
        dialect=headers,
        retries=RetryShare(
            settings.retry_ratio, settings.retry_slack, settings.retry_window, hosts
        ),
        probes=ProbeShare(settings.probe_rate, hosts),
        cold=ColdShare(settings.name, entry.members.list_serving_names),
        hosts=hosts,
        subsets=TargetSubsets(
            settings.name, settings.data_centre, entry.members.list_serving
        ),
        metrics=entry.metrics,
        decisions=entry.decisions,
        data_centre=settings.data_centre,
        regions=settings.regions,
        shutdown=entry.shutdown,
    )
    entry.rate_limiter = build_rate_limiter(entry, settings)
    assemble_servers(entry, settings)


def build_rate_limiter(entry, settings):
    """Build the part that enforces the rate limits of teams.

    Parameters
    ----------
    entry : RoutedEntry
        The facade.
    settings : RoutedSettings
        The host's own settings.

    Returns
    -------
    RateLimiter
        It exchanges messages only while the configuration contains teams.
    """

    def _find_version():
        table = entry.store_state.table
        return None if table is None or table.teams is None else table.version

    return RateLimiter(
        entry.gossip,
        entry.members,
        UsageBound(settings.quota_window, settings.quota_overage, settings.quota_slack),
        _find_version,
        entry.metrics,
        entry.decisions,
        len(settings.data_centres),
        len(set(entry.gossip.seeds)),
    )


def assemble_membership(entry, settings):
    """Build the member list and the gossip that keeps it up to date.

    Parameters
    ----------
    entry : RoutedEntry
        The facade.
    settings : RoutedSettings
        The host's own settings.
    """
    own = build_member(
        settings.name,
        settings.address,
        settings.peer_address,
        settings.data_centre,
        compute_capacity(settings.cores * settings.core_share, settings.link_mbit),
    )
    entry.members = Members(own)
    entry.gossip = GossipNetwork(
        entry.members,
        settings.peer_address,
        settings.seed_peer_addresses,
        entry.metrics,
        entry.decisions,
        entry.drain_notices,
    )


def assemble_servers(entry, settings):
    """Build the HTTP servers of the process.

    Parameters
    ----------
    entry : RoutedEntry
        The facade.
    settings : RoutedSettings
        The host's own settings.
    """
    latencies = RequestLatencies()
    forwarder = RouteForwarder(
        entry.store_state,
        entry.dispatcher,
        entry.authenticator,
        entry.rate_limiter,
        headers,
        entry.metrics,
        entry.decisions,
        latencies,
        entry.shutdown,
    )
    bounds = ServerLimits(settings.max_connections)
    listeners = entry.listeners
    entry.server = RoutedServer(
        settings.address,
        forwarder,
        bounds,
        entry.metrics,
        entry.shutdown,
        listeners.get(settings.address),
    )
    pages = PlatformPages(lambda: entry.is_ready, entry.find_addresses)
    applications = {
        settings.ready_address: pages,
        settings.directory_address: pages,
        settings.peer_address: FeedPage(entry.mirror),
    }
    if settings.metrics_address is not None:
        collector = MetricsCollector(entry.metrics, latencies)
        applications[settings.metrics_address] = MetricsPage(collector)
    entry.servers = [
        entry.server,
        *(
            EntryServer(
                address, application, bounds, entry.metrics, listeners.get(address)
            )
            for address, application in applications.items()
        ),
    ]


def check_configuration(*args):
    """Check a configuration of the platform before it is published.

    Parameters
    ----------
    *args : str
        As in ``platform.configurationcheck``.

    Returns
    -------
    ConfigurationReport
        The result.
    """
    # Only a command needs this module, and not the entry process that is starting.
    from .platform.configurationcheck import check_configuration as check

    return check(*args)


def is_platform_configuration(text):
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
    from .platform.configurationcheck import is_configuration

    return is_configuration(text)
