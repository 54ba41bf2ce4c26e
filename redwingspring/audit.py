"""Audit trail of changes, kept in bounded memory and written to the log."""

import logging
import threading
import time
from collections import deque
from dataclasses import asdict, dataclass

from .logs import escape_controls

logger = logging.getLogger(__name__)

# Hosts have no disks; older entries exist only in the log lines sent off the host.
MAX_ENTRIES = 2000
# Bound the memory of the trail: a rejected document can list many problems.
MAX_SUBJECT_LENGTH = 200
MAX_DETAIL_LENGTH = 1000


@dataclass(frozen=True)
class AuditEntry:
    """One recorded change.

    Attributes
    ----------
    number : int
        Sequence number in the trail of this process, from 1.
    time : float
        Unix time in seconds.
    kind : str
        What changed, for example ``configuration-taken``.
    subject : str
        What the change affects: a key, target, data centre or host.
    detail : str
        Reason and source of the change.
    """

    number: int
    time: float
    kind: str
    subject: str
    detail: str

    def as_dict(self):
        """Return the entry as a plain mapping.

        Returns
        -------
        dict
            Values by field name.
        """
        return asdict(self)


class AuditTrail:
    """Keeps the latest changes of one process.

    Parameters
    ----------
    capacity : int, default=MAX_ENTRIES
        Number of entries kept.
    """

    def __init__(self, capacity=MAX_ENTRIES):
        self._lock = threading.Lock()
        self._entries = deque(maxlen=capacity)
        self._count = 0

    def record(self, kind, subject, detail=""):
        """Add a change to the trail and log it.

        Parameters
        ----------
        kind : str
            What changed.
        subject : str
            What the change affects.
        detail : str, default=""
            Reason and source of the change.
        """
        # Without escaping, values from documents and peers could forge log lines.
        kind = escape_controls(str(kind), MAX_SUBJECT_LENGTH)
        subject = escape_controls(str(subject), MAX_SUBJECT_LENGTH)
        detail = escape_controls(str(detail), MAX_DETAIL_LENGTH)
        with self._lock:
            self._count += 1
            entry = AuditEntry(self._count, time.time(), kind, subject, detail)
            self._entries.append(entry)
        logger.info(
            "%s %s %s",
            kind,
            subject,
            detail,
            extra={"audit": entry.as_dict()},
        )

    @property
    def last_number(self):
        """Number of the newest entry, 0 before the first."""
        return self._count

    def list_entries(self, after=0):
        """Return the entries after a sequence number.

        Parameters
        ----------
        after : int, default=0
            Number of the last entry that the reader already has.

        Returns
        -------
        tuple of AuditEntry
            Oldest first.
        """
        with self._lock:
            return tuple(e for e in self._entries if e.number > after)


def format_entry(fields):
    """Return an entry as one line of text.

    Parameters
    ----------
    fields : dict
        An entry as returned by ``AuditEntry.as_dict``, possibly in another
        process.

    Returns
    -------
    str
        Number, time in UTC, kind, subject and detail.
    """
    timestamp = time.strftime("%Y-%m-%dT%H:%M:%SZ", time.gmtime(fields["time"]))
    values = (
        fields["number"],
        timestamp,
        fields["kind"],
        fields["subject"],
        fields["detail"],
    )
    return escape_controls(" ".join(str(value) for value in values).rstrip())
