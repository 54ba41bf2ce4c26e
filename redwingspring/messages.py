"""Messages between entry hosts and their capnp encoding."""

from dataclasses import dataclass, fields
from pathlib import Path

import capnp

from .errors import RedwingspringError
from .stamp import Stamp

PROTOCOL_VERSION = 1

capnp.remove_import_hook()
_schema = capnp.load(str(Path(__file__).with_name("messages.capnp")))


class MessageError(RedwingspringError):
    """A payload is not a valid message of this protocol."""


@dataclass(frozen=True)
class Hello:
    """First message on each connection; describes the connecting host.

    Attributes
    ----------
    address : str
        ``ip:port`` on which the sender serves callers.
    peer_address : str
        ``ip:port`` on which the sender accepts peers.
    data_centre : str
        Data centre of the sender.
    """

    address: str
    peer_address: str
    data_centre: str


@dataclass(frozen=True)
class Heartbeat:
    """Periodic report of a host's state.

    Attributes
    ----------
    configuration_stamp : Stamp
        Stamp of the configuration in force.
    hosts_stamp : Stamp
        Stamp of the host list in force.
    state : str
        ``starting``, ``serving`` or ``leaving``.
    start_id : str
        Identifies a process of the sender; changes at each start.
    sent_tick : int, default=0
        Time of sending, by a clock of the sender.
    echo_tick : int, default=0
        Latest ``sent_tick`` that the sender has received from the receiver of this
        heartbeat; 0 when there is none.
    """

    configuration_stamp: Stamp
    hosts_stamp: Stamp
    state: str
    start_id: str
    sent_tick: int = 0
    echo_tick: int = 0


@dataclass(frozen=True)
class Pull:
    """Request for a published value.

    Attributes
    ----------
    key : str
        ``configuration`` or ``hosts``.
    revision : int
        Lowest revision that the sender needs.
    digest : str
        Lowest digest that the sender needs of that revision.
    """

    key: str
    revision: int
    digest: str


@dataclass(frozen=True)
class Value:
    """A published value.

    Attributes
    ----------
    key : str
        ``configuration`` or ``hosts``.
    revision : int
        Revision of the value.
    digest : str
        SHA-256 of the text.
    text : str
        The document itself.
    """

    key: str
    revision: int
    digest: str
    text: str


@dataclass(frozen=True)
class TargetStateEntry:
    """State of one target.

    Attributes
    ----------
    target : str
        ``ip:port`` of the target.
    start_id : str
        Identifies a process of the target; changes at each start.
    temperature : str
        ``cold``, ``warm`` or ``leaving``.
    decided_ms : int
        Unix time of the observation in milliseconds.
    """

    target: str
    start_id: str
    temperature: str
    decided_ms: int


@dataclass(frozen=True)
class TargetStates:
    """States of the targets whose state has changed.

    Attributes
    ----------
    entries : tuple of TargetStateEntry
        One entry for each target.
    """

    entries: tuple


@dataclass(frozen=True)
class LeaseRequest:
    """Request for a lease on a slot of a target.

    Attributes
    ----------
    number : int
        Identifies the request at its sender.
    kind : str
        ``cold`` or ``probe``.
    target : str
        ``ip:port`` of the target.
    slot : int
        Number of the slot, from 0.
    term_ms : int
        Length of the lease in milliseconds.
    """

    number: int
    kind: str
    target: str
    slot: int
    term_ms: int


@dataclass(frozen=True)
class LeaseReply:
    """Reply of a grantor to a lease request.

    Attributes
    ----------
    number : int
        Number of the lease request.
    granted : bool
        Whether the grantor grants the lease.
    slots_allowed : int
        Number of slots that the ramp currently allows.
    """

    number: int
    granted: bool
    slots_allowed: int


@dataclass(frozen=True)
class LeaseRelease:
    """End of a lease before its term.

    Attributes
    ----------
    number : int
        Number of the lease request.
    kind : str
        ``cold`` or ``probe``.
    target : str
        ``ip:port`` of the target.
    slot : int
        Number of the slot, from 0.
    whole : bool
        Whether the target sent a complete response.
    """

    number: int
    kind: str
    target: str
    slot: int
    whole: bool


@dataclass(frozen=True)
class SeenTarget:
    """Latest observation of a target by the sender.

    Attributes
    ----------
    target : str
        ``ip:port`` of the target.
    age_ms : int
        Age of the observation in milliseconds at the time of sending.
    reported : bool
        Whether the target gave a load report.
    probed : bool
        Whether the sender sent it a probe.
    """

    target: str
    age_ms: int
    reported: bool
    probed: bool


@dataclass(frozen=True)
class SeenTargets:
    """Targets that reported or were probed, which peers need not probe again.

    Attributes
    ----------
    entries : tuple of SeenTarget
        One entry for each target.
    """

    entries: tuple


# Names of the members of the union Envelope.body in messages.capnp.
_UNION_MEMBERS = {
    Hello: "hello",
    Heartbeat: "heartbeat",
    Pull: "pull",
    Value: "value",
    TargetStates: "targetStates",
    LeaseRequest: "leaseRequest",
    LeaseReply: "leaseReply",
    LeaseRelease: "leaseRelease",
    SeenTargets: "seenTargets",
}
_BODY_CLASSES = {member: body_class for body_class, member in _UNION_MEMBERS.items()}
_ENTRY_CLASSES = {TargetStates: TargetStateEntry, SeenTargets: SeenTarget}


def _to_camel_case(name):
    head, *tail = name.split("_")
    return head + "".join(part.capitalize() for part in tail)


_FIELDS = {
    body_class: tuple((f.name, _to_camel_case(f.name)) for f in fields(body_class))
    for body_class in (*_UNION_MEMBERS, *_ENTRY_CLASSES.values())
}
_STAMP_FIELDS = ("configuration_stamp", "hosts_stamp")


@dataclass(frozen=True)
class Envelope:
    """A message with its sender and sequence number.

    Attributes
    ----------
    version : int
        Version of the protocol.
    sender : str
        Name of the sending host.
    sequence : int
        Number of the message on its connection, from 1.
    sent_at : float
        Unix time in seconds.
    body : object
        One of the body classes of this module.
    """

    version: int
    sender: str
    sequence: int
    sent_at: float
    body: object


def encode_envelope(envelope):
    """Encode an envelope.

    Parameters
    ----------
    envelope : Envelope
        The envelope.

    Returns
    -------
    bytes
        The capnp encoding.
    """
    message = _schema.Envelope.new_message()
    message.version = envelope.version
    message.sender = envelope.sender
    message.sequence = envelope.sequence
    message.sentAt = envelope.sent_at
    body = envelope.body
    _encode_fields(message.body.init(_UNION_MEMBERS[type(body)]), body)
    return message.to_bytes()


def decode_envelope(payload):
    """Decode an envelope.

    Parameters
    ----------
    payload : bytes
        The capnp encoding.

    Returns
    -------
    Envelope
        The envelope; its body is None when its protocol version is not this one.

    Raises
    ------
    MessageError
        If the payload is not a valid envelope.
    """
    try:
        with _schema.Envelope.from_bytes(payload) as message:
            body = None
            if message.version == PROTOCOL_VERSION:
                union = message.body
                member = str(union.which())
                body = _decode_fields(_BODY_CLASSES[member], getattr(union, member))
            return Envelope(
                message.version,
                message.sender,
                message.sequence,
                message.sentAt,
                body,
            )
    except (capnp.KjException, ValueError, KeyError, AttributeError) as error:
        raise MessageError(f"the payload is not a valid message: {error}") from error


# Fields are set and read individually, since pycapnp's conversions from and to
# dicts take four times as long, and heartbeats are the main cost of an idle host.
def _encode_fields(message, body):
    for name, capnp_name in _FIELDS[type(body)]:
        value = getattr(body, name)
        if isinstance(value, Stamp):
            stamp = message.init(capnp_name)
            stamp.revision = value.revision
            stamp.digest = bytes.fromhex(value.digest)
        elif isinstance(value, tuple):
            items = message.init(capnp_name, len(value))
            for index, entry in enumerate(value):
                _encode_fields(items[index], entry)
        else:
            setattr(message, capnp_name, value)


def _decode_fields(body_class, message):
    entry_class = _ENTRY_CLASSES.get(body_class)
    if entry_class is not None:
        return body_class(
            tuple(_decode_fields(entry_class, e) for e in message.entries)
        )
    values = []
    for name, capnp_name in _FIELDS[body_class]:
        value = getattr(message, capnp_name)
        if name in _STAMP_FIELDS:
            value = Stamp(value.revision, value.digest.hex())
        values.append(value)
    return body_class(*values)
