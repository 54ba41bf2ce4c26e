"""Gossip between entry hosts: datagrams that tell which hosts are alive.

Messages for each host do not grow with the number of hosts.
"""

import ipaddress
import logging
import random
import socket
from pathlib import Path

import capnp

from .members import Member, MemberReport, MemberState

logger = logging.getLogger(__name__)

PROTOCOL_VERSION = 1
GOSSIP_INTERVAL_S = 0.4
# Until another host is heard, the seeds are asked this often.
SEED_INTERVAL_S = 0.15
# Hosts of the seeds that are asked now and then, so that halves of the system
# that lost each other meet again.
SEED_PROBABILITY = 0.1
MAX_AGE_MS = 0xFFFF
MAX_DATAGRAM_BYTES = 8192

capnp.remove_import_hook()
_schema = capnp.load(str(Path(__file__).with_name("gossip.capnp")))


class GossipNetwork:
    """Sends and receives the datagrams.

    Parameters
    ----------
    members : Members
        What is told and learned.
    address : str
        ``ip:port`` to listen on.
    seeds : sequence of str
        ``ip:port`` of hosts that may be alive.
    metrics : Metrics
        Counters.
    decisions : DecisionLog
        Takes one line for each host that is found.
    """

    def __init__(self, members, address, seeds, metrics, decisions):
        self._members = members
        self._address = address
        self.set_seeds(seeds)
        self._metrics = metrics
        self._decisions = decisions
        self.on_alive_count = None
        self._alive = frozenset()
        self._socket = socket.socket(socket.AF_INET, socket.SOCK_DGRAM)
        self._socket.setsockopt(socket.SOL_SOCKET, socket.SO_REUSEADDR, 1)

    def set_seeds(self, seeds):
        """Set which hosts are asked when no other is known.

        Parameters
        ----------
        seeds : sequence of str
            ``ip:port`` of hosts that may be alive.
        """
        self.seeds = tuple(seed for seed in seeds if seed != self._address)

    def open(self):
        """Bind the address."""
        self._socket.bind(_split(self._address))

    def run_receiver(self, stopping):
        """Take datagrams until the process stops.

        Parameters
        ----------
        stopping : threading.Event
            Set when the process stops.
        """
        self._socket.settimeout(1.0)
        while not stopping.is_set():
            try:
                data, sender = self._socket.recvfrom(MAX_DATAGRAM_BYTES)
            except TimeoutError:
                continue
            except OSError as error:
                logger.warning("gossip cannot be received: %s", error)
                stopping.wait(0.1)
                continue
            self._take(data, sender)

    def _take(self, data, sender):
        decoded = decode_gossip(data)
        if decoded is None:
            self._metrics.increment("gossip.malformed")
            return
        sightings, asks_answer = decoded
        for member in self._members.merge(sightings):
            self._decisions.record(
                "host found",
                host=member.name,
                data_centre=member.data_centre,
                address=member.address,
                state=str(member.state),
            )
        if asks_answer:
            self._send([sender], False)

    def run_sender(self, stopping):
        """Send datagrams until the process stops.

        Parameters
        ----------
        stopping : threading.Event
            Set when the process stops.
        """
        while not stopping.is_set():
            self._members.advance()
            self._note_lost()
            targets = [member.peer_address for member in self._members.choose_peers()]
            if targets:
                if self.seeds and random.random() < SEED_PROBABILITY:
                    targets.append(random.choice(self.seeds))
                self._send(map(_split, targets), False)
                stopping.wait(GOSSIP_INTERVAL_S * random.uniform(0.8, 1.2))
            else:
                self._send(map(_split, self.seeds), True)
                stopping.wait(SEED_INTERVAL_S)

    def announce(self, state):
        """Tell every known host at once whether this host takes requests.

        Parameters
        ----------
        state : MemberState
            The state.
        """
        self._members.set_state(state)
        self._send(map(_split, self._list_peers()), False)

    def _list_peers(self):
        own = self._members.own.name
        return [m.peer_address for m in self._members.list_alive() if m.name != own]

    def _note_lost(self):
        """Log the hosts that are no longer heard."""
        alive = frozenset(m.name for m in self._members.list_alive())
        for name in self._alive - alive:
            self._decisions.record("host lost", host=name, alive=len(alive))
        self._alive = alive
        if self.on_alive_count is not None:
            self.on_alive_count(len(alive))

    def _send(self, addresses, asks_answer):
        data = encode_gossip(self._members.choose_reports(), asks_answer)
        for address in addresses:
            try:
                self._socket.sendto(data, address)
                self._metrics.increment("gossip.sent")
            except OSError as error:
                # The next datagram goes to other hosts.
                self._metrics.increment("gossip.send_errors")
                logger.debug("gossip cannot be sent to %s: %s", address, error)


def _split(address):
    host, port = address.rsplit(":", 1)
    return host, int(port)


def encode_gossip(sightings, asks_answer):
    """Return the datagram for a report.

    Parameters
    ----------
    sightings : sequence of MemberReport
        The report; the sender comes first.
    asks_answer : bool
        Whether the receiver should answer at once.

    Returns
    -------
    bytes
        Packed capnp message.
    """
    message = _schema.Gossip.new_message(
        version=PROTOCOL_VERSION, asksAnswer=asks_answer
    )
    entries = message.init("members", len(sightings))
    for entry, sighting in zip(entries, sightings, strict=True):
        member = sighting.member
        entry.ageMs = min(MAX_AGE_MS, max(0, int(sighting.age_s * 1000)))
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
    return message.to_bytes_packed()


def _decode_sighting(entry):
    ip = ipaddress.IPv4Address(entry.ip)
    member = Member(
        entry.name,
        f"{ip}:{entry.port}",
        f"{ip}:{entry.peerPort}",
        entry.dataCentre,
        entry.startedAt,
        entry.beat,
        MemberState(str(entry.state)),
        entry.capacity,
    )
    return MemberReport(member, entry.ageMs / 1000)


def decode_gossip(data):
    """Return the report in a datagram.

    Parameters
    ----------
    data : bytes
        What arrived.

    Returns
    -------
    tuple of (list of MemberReport, bool) or None
        The report and whether an answer is wanted; None if it cannot be read.
    """
    try:
        message = _schema.Gossip.from_bytes_packed(data)
        if message.version != PROTOCOL_VERSION:
            return None
        return list(map(_decode_sighting, message.members)), message.asksAnswer
    except (capnp.KjException, ValueError):
        return None
