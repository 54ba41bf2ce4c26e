"""Costs of single mechanisms of an entry process, measured in one process."""

import gc
import hashlib
import json
import random
import secrets
import socket
import time
from pathlib import Path
from types import SimpleNamespace

from redwingspring import messages
from redwingspring.addresses import AddressAnswer, find_hosts
from redwingspring.admission import AdmissionDirectory
from redwingspring.audit import AuditTrail
from redwingspring.configuration import parse_configuration
from redwingspring.dispatch import Dispatcher
from redwingspring.frames import NONCE_BYTES, FrameReader, FrameWriter
from redwingspring.grants import GrantTable
from redwingspring.hosts import parse_hosts
from redwingspring.membership import Membership
from redwingspring.metrics import MAX_TIMING_SAMPLES, Metrics
from redwingspring.policy.policies import policies
from redwingspring.policy.ramps import ramps
from redwingspring.policy.rendezvous import rank_hosts
from redwingspring.policy.slots import COLD, SlotCounter
from redwingspring.quorum import PendingRequest
from redwingspring.requestlog import RequestLog
from redwingspring.stamp import Stamp
from redwingspring.status import Timestamp, ValueInForce, render_status
from redwingspring.targets import TargetDirectory
from redwingspring.upstream import PoolDirectory
from redwingspring.values import KEYS, ValueStore
from redwingspring.verdict import Verdict

DATA_CENTRES = tuple(f"dc-{letter}" for letter in "abcdefghi")
KEY = b"capacity-measurement-key"


def make_address(number, port=8000):
    """Return a target or host address that differs for each number."""
    return f"10.{number >> 16}.{number >> 8 & 255}.{number & 255}:{port}"


def make_document(targets, services, exceptions=0):
    """Return a configuration document of a size.

    Parameters
    ----------
    targets, services, exceptions : int
        Its sizes; exceptions take turns in targets.

    Returns
    -------
    str
        YAML text.
    """
    lines = ["services:"]
    for service in range(services):
        lines += [f"  service-{service}:", "    targets:"]
        lines += [
            f"    - address: {make_address(number)}\n"
            f"      data_centre: {DATA_CENTRES[number % len(DATA_CENTRES)]}"
            for number in range(service, targets, services)
        ]
    lines.append("exceptions:")
    lines += [
        f"- target: {make_address(number)}\n  set: {{target.slots: {number % 7 + 1}}}\n"
        f"  reason: machine {number} has another number of processors"
        for number in range(exceptions)
    ]
    return "\n".join(lines) + "\n"


def make_host_list(hosts):
    """Return a host list document of a size."""
    lines = [
        f"- {{name: entry-{number}, address: '{make_address(number, 7000)}', "
        f"peer_address: '{make_address(number, 7001)}', "
        f"data_centre: {DATA_CENTRES[number % len(DATA_CENTRES)]}, state: live}}"
        for number in range(hosts)
    ]
    return "\n".join(["hosts:", *lines]) + "\n"


def read_memory(field="VmRSS"):
    """Return resident memory of this process in MiB; ``VmHWM`` is its peak."""
    for line in Path("/proc/self/status").read_text().splitlines():
        if line.startswith(f"{field}:"):
            return int(line.split()[1]) / 1024
    raise ValueError(field)


def measure_time(call, count=1):
    """Return the processor seconds of one call out of several."""
    started = time.process_time()
    for _ in range(count):
        call()
    return (time.process_time() - started) / count


class Parts:
    """Those parts of an entry process that a configuration fills."""

    def __init__(self):
        self.directory = TargetDirectory()
        self.admissions = AdmissionDirectory()
        self.pools = PoolDirectory()
        counter = SlotCounter(self.directory, ramps)
        self.grants = GrantTable(counter.count, clock=lambda: time.monotonic() + 10)

    def apply(self, configuration):
        """Apply a configuration as ``Entry`` does."""
        self.directory.apply(configuration)
        self.admissions.apply(self.directory.table)
        addresses = {
            target.address
            for service in configuration.services.values()
            for target in service.targets
        }
        self.pools.retain(addresses)
        self.grants.retain(addresses)


def measure_configuration(targets, services, exceptions):
    """Return the cost of one document; to be called in a fresh process."""
    text = make_document(targets, services, exceptions)
    parts = Parts()
    gc.collect()
    before = read_memory()
    found = []
    parse = measure_time(lambda: found.append(parse_configuration(text)))
    apply = measure_time(lambda: parts.apply(found[0]))
    gc.collect()
    resident = read_memory() - before
    # The second document meets the state of the first one, as a change does.
    change = measure_time(lambda: parts.apply(parse_configuration(text)))
    return {
        "bytes": len(text),
        "parse_ms": parse * 1e3,
        "apply_ms": apply * 1e3,
        "change_ms": change * 1e3,
        "resident_mib": resident,
        "peak_mib": read_memory("VmHWM") - before,
    }


def measure_memory(kind, size):
    """Return the memory of a bounded record; to be called in a fresh process."""
    before = read_memory()
    if kind == "requests":
        log = RequestLog()
        for _ in range(size):
            request_id = secrets.token_hex(32)
            log.start(request_id)
            log.finish(request_id, Verdict.RAN)
    elif kind == "audit":
        log = AuditTrail()
        for number in range(size):
            subject = f"{number:0200d}"
            log.record("configuration-refused", subject, "x" * 1000 + subject)
    else:
        log = Metrics()
        for number in range(size):
            log.record_time("requests.time", number / MAX_TIMING_SAMPLES)
    return {"resident_mib": read_memory() - before, "kept": log is not None}


class NetworkStub:
    """Takes the place of the peer network."""

    def __init__(self):
        self.handlers = {}

    def register(self, body_class, handler):
        """Keep a handler."""
        self.handlers[body_class] = handler

    def set_peers(self, addresses, seeds):
        """Connect to nothing."""

    def send(self, name, body):
        """Drop a message."""
        return True


def make_membership(hosts):
    """Return a membership that has heard a number of hosts."""
    network, metrics, audit = NetworkStub(), Metrics(), AuditTrail()
    hello = messages.Hello(make_address(0, 7000), make_address(0, 7001), "dc-a")
    values = ValueStore(lambda value, source: None, audit, metrics)
    membership = Membership("entry-0", hello, network, values, audit, metrics)
    membership.apply(parse_hosts(make_host_list(hosts)))
    for number in range(1, hosts):
        network.handlers[messages.Hello](f"entry-{number}", hello)
    return membership, network.handlers[messages.Heartbeat]


def make_heartbeat(membership, tick=0):
    """Return a heartbeat that echoes one of this membership."""
    stamp = Stamp(1, hashlib.sha256(b"value").hexdigest())
    echo = membership._tick_base + int(time.monotonic() * 1e6)
    return messages.Heartbeat(stamp, stamp, "serving", secrets.token_hex(8), tick, echo)


def measure_heartbeats(hosts):
    """Return the microseconds of each part of heartbeats with many hosts."""
    membership, take = make_membership(hosts)
    for number in range(1, hosts):
        take(f"entry-{number}", make_heartbeat(membership))
    names = [f"entry-{number}" for number in range(1, hosts)]
    heartbeat = make_heartbeat(membership)

    def take_one():
        take(random.choice(names), heartbeat)

    def rank():
        rank_hosts(names, make_address(random.getrandbits(16)))

    return {
        "take_us": 1e6 * measure_time(take_one, 60),
        "send_us": 1e6 * measure_time(membership.send_heartbeats, 5),
        "live_us": 1e6 * measure_time(membership.live_names, 10),
        "rank_us": 1e6 * measure_time(rank, 10),
    }


def measure_host_list(hosts):
    """Return the milliseconds to parse a host list and its size."""
    text = make_host_list(hosts)
    millis = 1e3 * measure_time(lambda: parse_hosts(text))
    return {"host_list_ms": millis, "host_list_kib": len(text) / 1024}


def make_directory(targets, services):
    """Return parts with all targets warm."""
    parts = Parts()
    parts.apply(parse_configuration(make_document(targets, services)))
    for states in parts.directory.table.services.values():
        for state in states:
            state.mark_warm("start")
    return parts


def measure_choice(targets):
    """Return the microseconds of one choice among the targets of a service."""
    parts = make_directory(targets, 1)
    dispatcher = Dispatcher(
        directory=parts.directory, pools=parts.pools, admissions=parts.admissions,
        leases=None, membership=None, metrics=Metrics(), policies=policies,
        outcomes=None, data_centre="dc-a",
    )  # fmt: skip
    call = SimpleNamespace(service="service-0")
    return {"choice_us": 1e6 * measure_time(lambda: dispatcher._choose(call, ()), 2000)}


def measure_grant(targets):
    """Return the microseconds of one grant at a grantor that knows targets."""
    parts = make_directory(targets, max(1, targets // 5))
    numbers = iter(range(10**6))

    def grant():
        number = next(numbers)
        target = make_address(random.randrange(targets))
        parts.grants.request("entry-1", number, COLD, target, 0, 2.0)
        parts.grants.release("entry-1", number, COLD, target, 0, True)

    return {"grant_us": 1e6 * measure_time(grant, 60)}


class Channel:
    """An authenticated connection within this process."""

    def __init__(self, sender):
        self.sent = 0
        self._sockets = socket.socketpair()
        nonce = secrets.token_bytes(NONCE_BYTES)
        self.writer = FrameWriter(self._sockets[0], KEY, nonce, sender)
        self.reader = FrameReader(self._sockets[1], KEY, nonce)

    def carry(self, body):
        """Send a body and return it as received."""
        self.sent += self.writer.write(body)
        return self.reader.read().body

    def close(self):
        """Close both ends."""
        for sock in self._sockets:
            sock.close()


def measure_lease(grantors):
    """Return the microseconds of a lease over all hosts that take part."""
    parts = make_directory(100, 20)
    counter = SlotCounter(parts.directory, ramps)
    tables = [
        GrantTable(counter.count, clock=lambda: time.monotonic() + 10)
        for _ in range(grantors)
    ]
    for table in tables:
        table._refuses_cold_until = 0.0
    ways = [(Channel("asker"), Channel("grantor")) for _ in tables]
    numbers = iter(range(10**6))

    def lease():
        number = next(numbers)
        target = make_address(random.randrange(100))
        pending = PendingRequest(grantors)
        for table, (there, back) in zip(tables, ways, strict=True):
            asked = there.carry(messages.LeaseRequest(number, COLD, target, 0, 2000))
            answer = table.request(
                "asker", number, asked.kind, asked.target, asked.slot, 2.0
            )
            reply = back.carry(
                messages.LeaseReply(number, answer.granted, answer.slots_allowed)
            )
            pending.record(reply.granted, reply.slots_allowed)
        for table, (there, _) in zip(tables, ways, strict=True):
            ended = there.carry(messages.LeaseRelease(number, COLD, target, 0, True))
            table.release("asker", number, ended.kind, target, ended.slot, ended.whole)
        if not pending.agreed:
            raise ValueError("the grantors refused a free slot")

    micros = 1e6 * measure_time(lease, 60)
    sent = sum(channel.sent for way in ways for channel in way)
    for there, back in ways:
        there.close()
        back.close()
    return {"lease_us": micros, "lease_bytes": sent / 60}


def measure_value(kib):
    """Return the milliseconds of each step of a change of about a size."""
    targets = kib * 1024 // 53
    text = make_document(targets, max(1, targets // 5))
    stamp = Stamp(2, hashlib.sha256(text.encode()).hexdigest())
    body = messages.Value("configuration", 2, stamp.digest, text)
    envelope = messages.Envelope(1, "entry-0", 1, time.time(), body)
    payloads, found = [], []
    parts = Parts()
    encode = measure_time(
        lambda: payloads.append(messages.encode_envelope(envelope)), 3
    )
    decode = measure_time(lambda: messages.decode_envelope(payloads[0]), 3)
    send = _measure_send(body)
    parse = measure_time(lambda: found.append(parse_configuration(text)))
    parts.apply(found[0])
    apply = measure_time(lambda: parts.apply(found[0]))
    return {
        "kib": len(text) / 1024,
        "encode_ms": encode * 1e3,
        "send_ms": send * 1e3,
        "decode_ms": decode * 1e3,
        "parse_ms": parse * 1e3,
        "apply_ms": apply * 1e3,
    }


def _measure_send(body):
    """Return the seconds to encode, sign and write a body to a socket."""
    ends = socket.socketpair()
    with ends[0] as near, ends[1] as far:
        size = 4 << 20
        near.setsockopt(socket.SOL_SOCKET, socket.SO_SNDBUF, size)
        far.setsockopt(socket.SOL_SOCKET, socket.SO_RCVBUF, size)
        far.settimeout(0.05)
        near.settimeout(0.05)
        writer = FrameWriter(_Draining(near, far), KEY, b"n" * NONCE_BYTES, "entry-0")
        return measure_time(lambda: writer.write(body), 3)


class _Draining:
    """Socket whose other end is read as it is written, in the same thread."""

    def __init__(self, near, far):
        self._near = near
        self._far = far

    def sendall(self, data):
        view = memoryview(data)
        for first in range(0, len(view), 64 << 10):
            part = view[first : first + (64 << 10)]
            self._near.sendall(part)
            left = len(part)
            while left:
                left -= len(self._far.recv(left))


def make_entry(targets, services, hosts):
    """Return the parts of an entry process that its pages read."""
    parts = make_directory(targets, services)
    membership, take = make_membership(hosts)
    for number in range(1, hosts):
        take(f"entry-{number}", make_heartbeat(membership))
    settings = SimpleNamespace(
        name="entry-0", data_centre="dc-a", address=make_address(0, 7000)
    )
    value = ValueInForce(Stamp(1, "d" * 64), "pushed by entry-1", Timestamp.now())
    return SimpleNamespace(
        settings=settings, started=Timestamp.now(), membership=membership,
        in_force={key: value for key in KEYS}, directory=parts.directory,
        admissions=parts.admissions, requests=RequestLog(), metrics=Metrics(),
    )  # fmt: skip


def measure_status(targets, hosts):
    """Return the milliseconds and bytes of a status page."""
    entry = make_entry(targets, max(1, targets // 5), hosts)
    pages = []
    millis = 1e3 * measure_time(lambda: pages.append(render_status(entry)), 3)
    return {"status_ms": millis, "status_kib": len(pages[0]) / 1024}


def measure_address(hosts, targets=100):
    """Return the microseconds and bytes of the address answer."""
    entry = make_entry(targets, max(1, targets // 5), hosts)
    pages = []

    def answer():
        found = find_hosts(entry.membership, entry.settings)
        pages.append(json.dumps(AddressAnswer("service-0", found, 30.0).as_dict()))

    micros = 1e6 * measure_time(answer, 20)
    return {"address_us": micros, "address_kib": len(pages[0]) / 1024}
