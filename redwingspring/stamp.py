"""Published values and the version stamps that order them."""

import hashlib
from dataclasses import dataclass
from functools import total_ordering


@total_ordering
@dataclass(frozen=True)
class Stamp:
    """Version of a published value; a later version compares greater.

    Attributes
    ----------
    revision : int
        Revision that the configuration service assigned.
    digest : str
        SHA-256 of the text; breaks the tie between two values of one revision.
    """

    revision: int
    digest: str

    def __lt__(self, other):
        return (self.revision, self.digest) < (other.revision, other.digest)


# Stamp for "no value known"; lower than the stamp of any value.
NO_STAMP = Stamp(0, "")


def make_stamp(revision, text):
    """Return the stamp of a value.

    Parameters
    ----------
    revision : int
        Revision of the value.
    text : str
        Text of the value.

    Returns
    -------
    Stamp
        The stamp.
    """
    return Stamp(revision, hashlib.sha256(text.encode()).hexdigest())


@dataclass(frozen=True)
class PublishedValue:
    """A published value with its version stamp.

    Attributes
    ----------
    key : str
        ``configuration`` or ``hosts``.
    stamp : Stamp
        Version stamp.
    text : str or None
        YAML text; None when the bytes are not UTF-8 or exceed the size limit.
    """

    key: str
    stamp: Stamp
    text: str | None
