"""Messages of the feed of store changes between hosts, and their encoding."""

import math
import zlib
from dataclasses import dataclass
from pathlib import Path

import capnp

from .storestate import MAX_EPOCH, StoreChange, StoreError, StorePosition

PROTOCOL_VERSION = 3
# A reader sends a change to all hosts of its data centre at once, possibly over a slow
# link. The fastest level already compresses a list of targets to a sixth of its size.
COMPRESSION_LEVEL = 1
# Longest message that is decompressed.
MAX_MESSAGE_BYTES = 64 << 20
# Largest values of fields of the message.
_MAX_AGE_MS = 0xFFFFFFFF
_MAX_HOPS = 0xFF
# Offset of a confirmation whose time is unknown, and the largest one of the field.
_UNKNOWN_OFFSET_MS = -(2**31)
_MAX_OFFSET_MS = 2**31 - 1

capnp.remove_import_hook()
_schema = capnp.load(str(Path(__file__).with_name("feed.capnp")))


@dataclass(frozen=True)
class Confirmation:
    """How recently the store confirmed data, and through how many hosts it came.

    Attributes
    ----------
    age_s : float, default=0.0
        Seconds since the response of the store.
    hops : int, default=0
        Hosts that forwarded the data.
    confirmed_at : float, default=-inf
        Lower bound of the time at which the store held the data, on the clock of this
        host; -inf if it is unknown. Unlike ``age_s`` it counts the time in which the
        store's response was under way or unread.
    """

    age_s: float = 0.0
    hops: int = 0
    confirmed_at: float = float("-inf")


# Confirmation by the store at this moment.
FROM_STORE = Confirmation()


@dataclass(frozen=True)
class FeedUpdate:
    """Response of the feed: a full snapshot or incremental changes.

    Attributes
    ----------
    changes : tuple of StoreChange
        Changes in the order of their revisions.
    position : StorePosition
        Position of the store after the changes.
    whole : bool
        Whether the changes are a full snapshot of the store.
    confirmation : Confirmation
        When the store last confirmed the data.
    confirmed_offset_s : float, default=-inf
        Lower bound of the time at which the store held the data, in seconds after the
        request for the update arrived; negative before that, -inf if it is unknown.
    """

    changes: tuple
    position: StorePosition
    whole: bool
    confirmation: Confirmation
    confirmed_offset_s: float = float("-inf")


def encode_update(update):
    """Return an update as a compressed message.

    Parameters
    ----------
    update : FeedUpdate
        The update.

    Returns
    -------
    bytes
        Compressed packed capnp message.
    """
    message = _schema.Feed.new_message(
        version=PROTOCOL_VERSION,
        revision=update.position.revision,
        epoch=update.position.epoch,
        whole=update.whole,
        confirmedAgeMs=min(_MAX_AGE_MS, int(update.confirmation.age_s * 1000)),
        hops=min(_MAX_HOPS, update.confirmation.hops),
        confirmedOffsetMs=_encode_offset(update.confirmed_offset_s),
    )
    entries = message.init("changes", len(update.changes))
    for entry, change in zip(entries, update.changes, strict=True):
        entry.key = change.key
        entry.deleted = change.value is None
        entry.value = change.value or b""
        entry.revision = change.revision
    return zlib.compress(message.to_bytes_packed(), COMPRESSION_LEVEL)


def _encode_offset(offset_s):
    """Return an offset in whole milliseconds, rounded down."""
    offset_ms = max(_UNKNOWN_OFFSET_MS, min(_MAX_OFFSET_MS, offset_s * 1000))
    return math.floor(offset_ms)


def _decode_offset(offset_ms):
    """Return an offset in seconds, -inf if it is unknown."""
    return float("-inf") if offset_ms == _UNKNOWN_OFFSET_MS else offset_ms / 1000


def _decompress(data):
    """Return decompressed data; raise ValueError if it is too long or incomplete."""
    decompressor = zlib.decompressobj()
    content = decompressor.decompress(data, MAX_MESSAGE_BYTES)
    if not decompressor.eof:
        raise ValueError("the message is too long or incomplete")
    return content


def decode_update(data):
    """Return the update in a compressed message.

    Parameters
    ----------
    data : bytes
        Compressed packed capnp message.

    Returns
    -------
    FeedUpdate
        The update.

    Raises
    ------
    StoreError
        If the bytes are not an update of this protocol version.
    """
    try:
        message = _schema.Feed.from_bytes_packed(_decompress(data))
        if message.version != PROTOCOL_VERSION:
            raise StoreError("a host uses another version of the feed protocol")
        if message.epoch > MAX_EPOCH:
            raise ValueError("the epoch is out of range")
        changes = tuple(
            StoreChange(
                entry.key, None if entry.deleted else entry.value, entry.revision
            )
            for entry in message.changes
        )
        confirmation = Confirmation(message.confirmedAgeMs / 1000, message.hops)
        position = StorePosition(message.epoch, message.revision)
        offset_s = _decode_offset(message.confirmedOffsetMs)
        return FeedUpdate(changes, position, message.whole, confirmation, offset_s)
    except (capnp.KjException, zlib.error, ValueError) as error:
        raise StoreError(f"cannot decode a host's response: {error}") from error
