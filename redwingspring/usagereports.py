"""Codec of the messages about rate limits that hosts exchange in datagrams.

Each datagram is about one request of one team at most, so its size does not depend on
the number of hosts or teams.
"""

import math
from pathlib import Path

import capnp

from .policy.usageallotments import RateLimit
from .policy.usagemessages import (
    CARRY_SLOTS,
    Carry,
    OwnerStamp,
    UsageAsk,
    UsageReply,
)

PROTOCOL_VERSION = 1
# Precedes each message. A gossip datagram begins with another byte: the first four
# bytes of a capnp message of one segment are zero, so the low four bits of the tag with
# which its packed form begins are zero too.
PREFIX = b"\xffU"
MAX_DATAGRAM_BYTES = 256
MAX_NAME_LENGTH = 63
# Largest time that the fields of a reply hold.
MAX_DELAY_MS = 0xFFFFFFFF
# Largest rate in requests per second, and largest burst in requests.
MAX_RATE = 1e9

capnp.remove_import_hook()
_schema = capnp.load(str(Path(__file__).with_name("usagereports.capnp")))


def encode_usage(message):
    """Return the datagram that carries a message.

    Parameters
    ----------
    message : UsageAsk or UsageReply
        The message.

    Returns
    -------
    bytes
        The prefix and a packed capnp message.
    """
    report = _schema.UsageReport.new_message(
        version=PROTOCOL_VERSION,
        host=message.host,
        group=message.group,
        sequence=message.sequence,
    )
    if isinstance(message, UsageAsk):
        _encode_ask(report.init("ask"), message)
    else:
        _encode_reply(report.init("reply"), message)
    return PREFIX + report.to_bytes_packed()


def _encode_ask(entry, ask):
    entry.hosts = ask.hosts
    entry.credit = ask.credit
    entry.release = ask.release
    entry.stampRun = ask.stamp.run
    entry.stampMs = ask.stamp.clock_ms
    entry.team = ask.team
    entry.returned = ask.returned
    entry.issuedRun = ask.issued.run
    entry.issuedMs = ask.issued.clock_ms
    _encode_carry(entry, ask.carry)
    if ask.limit is not None:
        entry.ratePerS = ask.limit.rate_per_s
        entry.burst = ask.limit.burst
        entry.configVersion = ask.limit.version


def _encode_reply(entry, reply):
    entry.run = reply.stamp.run
    entry.clockMs = reply.stamp.clock_ms
    entry.granted = reply.granted
    entry.emptyMs = min(MAX_DELAY_MS, int(reply.empty_s * 1000))
    entry.retryAfterMs = min(MAX_DELAY_MS, math.ceil(reply.retry_after_s * 1000))
    entry.starting = reply.is_starting
    _encode_carry(entry, reply.carry)


def _encode_carry(entry, carry):
    if carry is not None:
        entry.carryAgeS = carry.age_s
        entry.carryLevels = carry.levels


def _decode_carry(entry):
    levels = bytes(entry.carryLevels)
    if not levels:
        return None
    if len(levels) != CARRY_SLOTS:
        raise ValueError("the number of slots is wrong")
    return Carry(entry.carryAgeS, levels)


def decode_usage(data):
    """Return the message in a datagram.

    Parameters
    ----------
    data : bytes
        The datagram.

    Returns
    -------
    UsageAsk, UsageReply or None
        None for a malformed datagram.
    """
    if not data.startswith(PREFIX) or len(data) > MAX_DATAGRAM_BYTES:
        return None
    try:
        report = _schema.UsageReport.from_bytes_packed(data[len(PREFIX) :])
        if report.version != PROTOCOL_VERSION:
            return None
        if not 0 < len(report.host) <= MAX_NAME_LENGTH:
            return None
        if report.which() == "ask":
            return _decode_ask(report)
        return _decode_reply(report)
    except (capnp.KjException, ValueError):
        return None


def _decode_ask(report):
    entry = report.ask
    limit = RateLimit(entry.ratePerS, entry.burst, entry.configVersion)
    if not (0.0 <= limit.rate_per_s <= MAX_RATE and 0.0 <= limit.burst <= MAX_RATE):
        return None
    if entry.team and not limit.rate_per_s:
        return None
    return UsageAsk(
        report.group,
        report.host,
        report.sequence,
        entry.hosts,
        entry.credit,
        entry.release,
        OwnerStamp(entry.stampRun, entry.stampMs),
        entry.team,
        limit if entry.team else None,
        entry.returned,
        _decode_carry(entry),
        OwnerStamp(entry.issuedRun, entry.issuedMs),
    )


def _decode_reply(report):
    entry = report.reply
    return UsageReply(
        report.group,
        report.host,
        report.sequence,
        OwnerStamp(entry.run, entry.clockMs),
        entry.granted,
        entry.emptyMs / 1000,
        entry.retryAfterMs / 1000,
        entry.starting,
        _decode_carry(entry),
    )
