"""Membership by gossip: hosts tell some others which hosts they hear.

Each host counts up a beat of its own and sends, a few times a second, the newest
beats that it knows to a few random hosts. A host whose beat no longer grows is
taken as dead. Messages for each host do not grow with the number of hosts.
Source: van Renesse, Minsky and Hayden, 1998.
"""

import ipaddress
import logging
import random
import socket
import threading
import time
from dataclasses import dataclass, replace
from enum import StrEnum
from pathlib import Path

import capnp

from .clock import read_clock

logger = logging.getLogger(__name__)

PROTOCOL_VERSION = 1
GOSSIP_INTERVAL_S = 0.4
# Datagrams of each round within the data centre. To other data centres one goes
# out with the given probability, since bytes between them cost more.
NEAR_FANOUT = 3
FAR_CHANCE = 0.35
# Until another host is heard, the seeds are asked this often.
SEED_INTERVAL_S = 0.15
# Hosts of the seeds that are asked now and then, so that halves of the system
# that lost each other meet again.
SEED_CHANCE = 0.1
# A host whose beat has not grown for this long counts as dead. Directory answers
# may name a dead host for about six seconds.
SILENT_S = 3.6
FORGET_S = 30.0
MAX_AGE_MS = 0xFFFF
# Members in one datagram: half of them those heard most recently, which carry
# news on, the others at random, so that none is left out for long.
MAX_ENTRIES = 64
MAX_MEMBERS = 4096
MAX_DATAGRAM = 8192

capnp.remove_import_hook()
_schema = capnp.load(str(Path(__file__).with_name("gossip.capnp")))


class MemberState(StrEnum):
    """Whether a host takes requests."""

    STARTING = "starting"
    SERVING = "serving"
    LEAVING = "leaving"


@dataclass(frozen=True)
class Member:
    """One start of a host, as far as it is known.

    Attributes
    ----------
    name : str
        Name of the host.
    address : str
        ``ip:port`` for callers.
    peer_address : str
        ``ip:port`` for other hosts.
    data_centre : str
        Where it is.
    started_at : int
        Unix milliseconds of its start.
    beat : int
        Counted up by the host.
    state : MemberState
        Whether it takes requests.
    """

    name: str
    address: str
    peer_address: str
    data_centre: str
    started_at: int
    beat: int
    state: MemberState

    @property
    def age_key(self):
        """Sort key by which a newer report of the same host is greater."""
        return (self.started_at, self.beat, self.state is MemberState.LEAVING)


@dataclass(frozen=True)
class Sighting:
    """What one host tells another of a member.

    Attributes
    ----------
    member : Member
        The member.
    age_s : float
        Seconds since the beat was fresh, as far as the teller knows. Without it
        the news of a dead host would look fresh at every host that it reaches.
    """

    member: Member
    age_s: float


class Members:
    """What this host knows of all hosts; no input or output.

    Parameters
    ----------
    own : Member
        This host.
    clock : callable, default=read_clock
        Returns seconds.
    """

    def __init__(self, own, clock=read_clock):
        self._own = own
        self._clock = clock
        self._lock = threading.Lock()
        self._members = {}

    @property
    def own(self):
        """Return the host itself, as it is told to others."""
        return self._own

    def set_state(self, state):
        """Set whether this host takes requests.

        Parameters
        ----------
        state : MemberState
            The state.
        """
        with self._lock:
            self._own = replace(self._own, state=state, beat=self._own.beat + 1)

    def advance(self):
        """Count up the beat of this host and forget hosts long dead."""
        with self._lock:
            self._own = replace(self._own, beat=self._own.beat + 1)
            oldest = self._clock() - FORGET_S
            self._members = {
                name: known
                for name, known in self._members.items()
                if known[1] > oldest
            }

    def take(self, sightings):
        """Take what another host reported.

        Parameters
        ----------
        sightings : sequence of Sighting
            The report.

        Returns
        -------
        list of Member
            Hosts that were not known as alive before.
        """
        found = []
        with self._lock:
            now = self._clock()
            for sighting in sightings:
                if self._take_one(sighting.member, now, now - sighting.age_s):
                    found.append(sighting.member)
        return found

    def _take_one(self, member, now, heard):
        """Take one report; return whether the host is new; the lock is held."""
        if member.name == self._own.name or now - heard > SILENT_S:
            return False
        known = self._members.get(member.name)
        if known is None and len(self._members) >= MAX_MEMBERS:
            return False
        silent = known is None or now - known[1] > SILENT_S
        if known is not None:
            # The time of day may have stepped back before the host started
            # again, so a later start is not always a greater one.
            restarted = silent and member.started_at != known[0].started_at
            if not restarted and member.age_key <= known[0].age_key:
                return False
        self._members[member.name] = (member, heard)
        return silent

    def list_alive(self):
        """Return the hosts that are heard, this one included.

        Returns
        -------
        list of Member
            Leaving and starting hosts included.
        """
        with self._lock:
            oldest = self._clock() - SILENT_S
            return [
                self._own,
                *(m for m, heard in self._members.values() if heard >= oldest),
            ]

    def list_steady(self):
        """Return the hosts that are heard and do not leave.

        Returns
        -------
        list of Member
            This one included unless it leaves.
        """
        return [m for m in self.list_alive() if m.state is not MemberState.LEAVING]

    def list_serving(self):
        """Return the hosts that take requests.

        Returns
        -------
        list of Member
            This one included if it does.
        """
        return [m for m in self.list_alive() if m.state is MemberState.SERVING]

    def list_serving_names(self):
        """Return the names of the hosts that take requests.

        Returns
        -------
        list of str
            This one included if it does.
        """
        return [member.name for member in self.list_serving()]

    def choose_peers(self, rng=random):
        """Return the hosts that the next datagrams go to.

        Parameters
        ----------
        rng : random.Random, default=random
            Source of the choice.

        Returns
        -------
        list of Member
            Mostly hosts of this data centre.
        """
        others = [m for m in self.list_alive() if m.name != self._own.name]
        near = [m for m in others if m.data_centre == self._own.data_centre]
        far = [m for m in others if m.data_centre != self._own.data_centre]
        chosen = rng.sample(near, min(NEAR_FANOUT, len(near)))
        if far and (not near or rng.random() < FAR_CHANCE):
            chosen.append(rng.choice(far))
        return chosen

    def choose_report(self):
        """Return what the next datagram tells.

        Returns
        -------
        list of Sighting
            This host first.
        """
        with self._lock:
            now = self._clock()
            oldest = now - SILENT_S
            recent = [k for k in self._members.values() if k[1] >= oldest]
            recent.sort(key=lambda known: known[1], reverse=True)
            most = MAX_ENTRIES - 1
            chosen, others = recent[: most // 2], recent[most // 2 :]
            left = most - len(chosen)
            chosen += random.sample(others, min(left, len(others)))
            told = [Sighting(member, now - heard) for member, heard in chosen]
            return [Sighting(self._own, 0.0), *told]


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
        self.on_count = None
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
                data, sender = self._socket.recvfrom(MAX_DATAGRAM)
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
        for member in self._members.take(sightings):
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
                if self.seeds and random.random() < SEED_CHANCE:
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
        if self.on_count is not None:
            self.on_count(len(alive))

    def _send(self, addresses, asks_answer):
        data = encode_gossip(self._members.choose_report(), asks_answer)
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


def build_member(name, address, peer_address, data_centre):
    """Return this start of a host.

    Parameters
    ----------
    name : str
        Name of the host.
    address : str
        ``ip:port`` for callers.
    peer_address : str
        ``ip:port`` for other hosts.
    data_centre : str
        Where it is.

    Returns
    -------
    Member
        In the state ``STARTING``.
    """
    started_at = int(time.time() * 1000)
    state = MemberState.STARTING
    return Member(name, address, peer_address, data_centre, started_at, 1, state)


def encode_gossip(sightings, asks_answer):
    """Return the datagram for a report.

    Parameters
    ----------
    sightings : sequence of Sighting
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
    )
    return Sighting(member, entry.ageMs / 1000)


def decode_gossip(data):
    """Return the report in a datagram.

    Parameters
    ----------
    data : bytes
        What arrived.

    Returns
    -------
    tuple of (list of Sighting, bool) or None
        The report and whether an answer is wanted; None if it cannot be read.
    """
    try:
        message = _schema.Gossip.from_bytes_packed(data)
        if message.version != PROTOCOL_VERSION:
            return None
        return list(map(_decode_sighting, message.members)), message.asksAnswer
    except (capnp.KjException, ValueError):
        return None
