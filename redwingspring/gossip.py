"""Gossip between entry hosts: datagrams that report which hosts are alive.

The number of messages that each host sends does not grow with the number of hosts.
"""

import ipaddress
import logging
import random
import socket
from dataclasses import dataclass
from pathlib import Path

import capnp

from .drainnotices import DrainNotice, DrainNotices, TargetRun
from .members import Member, MemberReport, MemberState

logger = logging.getLogger(__name__)

PROTOCOL_VERSION = 1
GOSSIP_INTERVAL_S = 0.4
# Interval of the datagrams to the seeds while no other host is known.
SEED_INTERVAL_S = 0.15
# A round also sends a datagram to one seed with this probability, so that the two
# sides of a healed network partition find each other again.
SEED_PROBABILITY = 0.1
MAX_AGE_MS = 0xFFFF
MAX_DATAGRAM_BYTES = 8192
# Long names could exceed the size above; a truncated datagram would be lost.
RECEIVE_BUFFER_BYTES = 64 << 10
# Longest name in a datagram. A host repeats the names that it receives, and with
# longer ones its own datagrams would exceed the limit.
MAX_NAME_LENGTH = 63
MAX_INSTANCE_ID_LENGTH = 200
# Length of the prefix of datagrams that other parts handle.
PREFIX_BYTES = 2

# Looking up a state in the enumeration takes several times as long.
_STATES = {state.value: state for state in MemberState}

capnp.remove_import_hook()
_schema = capnp.load(str(Path(__file__).with_name("gossip.capnp")))


@dataclass(frozen=True)
class GossipMessage:
    """Contents of one datagram.

    Attributes
    ----------
    reports : tuple of MemberReport
        The reports; that of the sender comes first.
    wants_reply : bool, default=False
        Whether the receiver should reply at once.
    drain_notices : tuple of DrainNotice, default=()
        Targets that drain.
    """

    reports: tuple
    wants_reply: bool = False
    drain_notices: tuple = ()


class GossipNetwork:
    """Sends and receives gossip datagrams.

    Parameters
    ----------
    members : Members
        Membership table to send and to merge into.
    address : str
        ``ip:port`` to listen on.
    seeds : sequence of str
        ``ip:port`` of hosts that may be alive.
    metrics : Metrics
        Counters.
    decisions : DecisionLog
        Receives one line for each host that is found or lost.
    drain_notices : DrainNotices or None, default=None
        Notices to send and to merge into.
    """

    def __init__(self, members, address, seeds, metrics, decisions, drain_notices=None):
        self._members = members
        self._drain_notices = drain_notices or DrainNotices()
        self._address = address
        self.set_seeds(seeds)
        self._metrics = metrics
        self._decisions = decisions
        self.on_alive_count = None
        self._handlers = {}
        self._alive_names = frozenset()
        self._socket = socket.socket(socket.AF_INET, socket.SOCK_DGRAM)
        self._socket.setsockopt(socket.SOL_SOCKET, socket.SO_REUSEADDR, 1)

    def set_seeds(self, seeds):
        """Set the hosts to contact while no other host is known.

        Parameters
        ----------
        seeds : sequence of str
            ``ip:port`` of hosts that may be alive.
        """
        self.seeds = tuple(seed for seed in seeds if seed != self._address)

    def add_handler(self, prefix, handler):
        """Let another part handle the datagrams that begin with a prefix.

        Parameters
        ----------
        prefix : bytes
            Two bytes, with which no gossip datagram begins.
        handler : callable
            Called with the datagram and the address of its sender.
        """
        self._handlers[prefix] = handler

    def send_datagram(self, data, address):
        """Send a datagram of another part to a host.

        Parameters
        ----------
        data : bytes
            The datagram.
        address : str or tuple of (str, int)
            ``ip:port`` of the host, or the address that it sent from.
        """
        if isinstance(address, str):
            address = _parse_address(address)
        try:
            self._socket.sendto(data, address)
        except OSError as error:
            self._metrics.increment("gossip.send_errors")
            logger.debug("cannot send to %s: %s", address, error)

    def open(self):
        """Bind the address."""
        self._socket.bind(_parse_address(self._address))

    def run_receiver(self, stopping):
        """Receive datagrams until the process stops.

        Parameters
        ----------
        stopping : threading.Event
            Set when the process stops.
        """
        self._socket.settimeout(1.0)
        while not stopping.is_set():
            try:
                data, sender = self._socket.recvfrom(RECEIVE_BUFFER_BYTES)
            except TimeoutError:
                continue
            except OSError as error:
                logger.warning("cannot receive gossip: %s", error)
                stopping.wait(0.1)
                continue
            self._handle_datagram(data, sender)

    def _handle_datagram(self, data, sender):
        handler = self._handlers.get(data[:PREFIX_BYTES])
        if handler is not None:
            handler(data, sender)
            return
        message = decode_gossip(data, self._members.find)
        if message is None:
            self._metrics.increment("gossip.malformed")
            return
        self.merge(message)
        if message.wants_reply:
            self._send([sender], False)

    def merge(self, message):
        """Merge the contents of a datagram into the state of this host.

        Parameters
        ----------
        message : GossipMessage
            The message of another host.
        """
        self._drain_notices.record(message.drain_notices, "host")
        for member in self._members.merge(message.reports):
            self._decisions.record(
                "host found",
                host=member.name,
                data_centre=member.data_centre,
                address=member.address,
                state=str(member.state),
            )

    def run_sender(self, stopping):
        """Send datagrams until the process stops.

        Parameters
        ----------
        stopping : threading.Event
            Set when the process stops.
        """
        while not stopping.is_set():
            self._members.advance()
            self._log_lost_hosts()
            addresses = [member.peer_address for member in self._members.choose_peers()]
            if addresses:
                if self.seeds and random.random() < SEED_PROBABILITY:
                    addresses.append(random.choice(self.seeds))
                self._send(map(_parse_address, addresses), False)
                stopping.wait(GOSSIP_INTERVAL_S * random.uniform(0.8, 1.2))
            else:
                self._send(map(_parse_address, self.seeds), True)
                stopping.wait(SEED_INTERVAL_S)

    def announce(self, state):
        """Set the state of this host and send it to every known host at once.

        The datagrams carry nothing else: with all reports, hundreds of hosts that
        start or leave together would fill the links between data centres.

        Parameters
        ----------
        state : MemberState
            The new state.
        """
        self._members.set_state(state)
        message = GossipMessage((MemberReport(self._members.own, 0.0),))
        self._send_message(message, map(_parse_address, self._list_peer_addresses()))

    def _list_peer_addresses(self):
        own = self._members.own.name
        return [m.peer_address for m in self._members.list_alive() if m.name != own]

    def _log_lost_hosts(self):
        """Log the hosts that are no longer considered alive."""
        alive = frozenset(m.name for m in self._members.list_alive())
        for name in self._alive_names - alive:
            self._decisions.record("host lost", host=name, alive=len(alive))
        self._alive_names = alive
        if self.on_alive_count is not None:
            self.on_alive_count(len(alive))

    def _send(self, addresses, wants_reply):
        message = GossipMessage(
            tuple(self._members.choose_reports()),
            wants_reply,
            tuple(self._drain_notices.choose_shared()),
        )
        self._send_message(message, addresses)

    def _send_message(self, message, addresses):
        data = encode_gossip(message)
        for address in addresses:
            try:
                self._socket.sendto(data, address)
                self._metrics.increment("gossip.sent")
            except OSError as error:
                # No retry is needed: the next round sends to other hosts.
                self._metrics.increment("gossip.send_errors")
                logger.debug("cannot send gossip to %s: %s", address, error)


def _parse_address(address):
    host, port = address.rsplit(":", 1)
    return host, int(port)


def encode_gossip(gossip):
    """Return the datagram that carries a message.

    Parameters
    ----------
    gossip : GossipMessage
        The message.

    Returns
    -------
    bytes
        Packed capnp message.
    """
    message = _schema.Gossip.new_message(
        version=PROTOCOL_VERSION, asksAnswer=gossip.wants_reply
    )
    entries = message.init("members", len(gossip.reports))
    for entry, report in zip(entries, gossip.reports, strict=True):
        member = report.member
        entry.ageMs = _encode_age(report.age_s)
        entry.name = member.name
        ip, port = member.address.rsplit(":", 1)
        entry.ip = int(ipaddress.IPv4Address(ip))
        entry.port = int(port)
        entry.peerPort = int(member.peer_address.rsplit(":", 1)[1])
        entry.dataCentre = member.data_centre
        entry.startedAt = member.started_at
        entry.beat = member.beat
        entry.state = member.state.value
        entry.capacity = member.capacity
    entries = message.init("draining", len(gossip.drain_notices))
    for entry, notice in zip(entries, gossip.drain_notices, strict=True):
        run = notice.run
        entry.instance = run.instance_id
        entry.startedAt = run.started_unix_ms
        ip, port = run.address.rsplit(":", 1)
        entry.ip = int(ipaddress.IPv4Address(ip))
        entry.port = int(port)
        entry.ageMs = _encode_age(notice.age_s)
    return message.to_bytes_packed()


def _encode_age(age_s):
    return min(MAX_AGE_MS, max(0, int(age_s * 1000)))


def _decode_notice(entry):
    address = f"{ipaddress.IPv4Address(entry.ip)}:{entry.port}"
    if len(entry.instance) > MAX_INSTANCE_ID_LENGTH:
        raise ValueError("an instance id is too long")
    run = TargetRun(entry.instance, entry.startedAt, address)
    return DrainNotice(run, entry.ageMs / 1000)


def _decode_report(entry, find_member):
    name = entry.name
    known = find_member(name)
    if known is None or known.started_at != entry.startedAt:
        return MemberReport(_decode_member(name, entry), entry.ageMs / 1000)
    # The other fields stay the same during a run. Most reports in a datagram are of
    # known runs, and reading all fields would take most of an idle host's time.
    state = _STATES[str(entry.state)]
    beat = entry.beat
    if beat <= known.beat and state is known.state:
        return None
    member = Member(
        name,
        known.address,
        known.peer_address,
        known.data_centre,
        known.started_at,
        beat,
        state,
        known.capacity,
    )
    return MemberReport(member, entry.ageMs / 1000)


def _decode_member(name, entry):
    ip = ipaddress.IPv4Address(entry.ip)
    if max(len(name), len(entry.dataCentre)) > MAX_NAME_LENGTH:
        raise ValueError("a name is too long")
    return Member(
        name,
        f"{ip}:{entry.port}",
        f"{ip}:{entry.peerPort}",
        entry.dataCentre,
        entry.startedAt,
        entry.beat,
        MemberState(str(entry.state)),
        entry.capacity,
    )


def _find_no_member(name):
    """Return None, as for a table without members."""


def decode_gossip(data, find_member=_find_no_member):
    """Return the message in a datagram.

    Parameters
    ----------
    data : bytes
        The datagram.
    find_member : callable, default=_find_no_member
        Returns the known Member of a name, or None. Reports that add nothing to it
        are left out.

    Returns
    -------
    GossipMessage or None
        None for a malformed datagram.
    """
    try:
        message = _schema.Gossip.from_bytes_packed(data)
        if message.version != PROTOCOL_VERSION:
            return None
        return GossipMessage(
            tuple(
                report
                for entry in message.members
                if (report := _decode_report(entry, find_member)) is not None
            ),
            message.asksAnswer,
            tuple(map(_decode_notice, message.draining)),
        )
    except (capnp.KjException, ValueError, KeyError):
        return None
