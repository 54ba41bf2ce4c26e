"""Published values in force at this host."""

import logging
import threading

from .errors import DocumentError
from .stamp import NO_STAMP

logger = logging.getLogger(__name__)

CONFIGURATION_KEY = "configuration"
HOSTS_KEY = "hosts"
KEYS = (CONFIGURATION_KEY, HOSTS_KEY)
# Stamps of refused values are kept, so that the values are not fetched again. The same
# number of reported events is kept.
MAX_REFUSED = 256


class ValueStore:
    """The newest accepted value of each key, from any source.

    Parameters
    ----------
    apply : callable
        Puts a PublishedValue from a source in force; raises DocumentError to
        refuse it.
    audit : AuditTrail
        Records accepted, refused, older and conflicting values.
    metrics : Metrics
        Counters.
    """

    def __init__(self, apply, audit, metrics):
        self._apply = apply
        self._audit = audit
        self._metrics = metrics
        self._lock = threading.Lock()
        self._values = {}
        self._refused = ()
        self._report_lock = threading.Lock()
        self._reported = ()

    def get(self, key):
        """Return the value in force.

        Parameters
        ----------
        key : str
            One of ``KEYS``.

        Returns
        -------
        PublishedValue or None
            None while no value is known.
        """
        return self._values.get(key)

    def stamp(self, key):
        """Return the stamp of the value in force.

        Parameters
        ----------
        key : str
            One of ``KEYS``.

        Returns
        -------
        Stamp
            ``NO_STAMP`` while no value is known.
        """
        value = self._values.get(key)
        return NO_STAMP if value is None else value.stamp

    def is_settled(self, key, stamp):
        """Tell whether offering a value would change nothing.

        Parameters
        ----------
        key : str
            One of ``KEYS``.
        stamp : Stamp
            Stamp of the value.

        Returns
        -------
        bool
            True when it is not newer than the value in force, or was refused before.
        """
        return stamp <= self.stamp(key) or (key, stamp) in self._refused

    def highest_revision(self, key):
        """Return the highest revision seen, accepted or refused.

        Parameters
        ----------
        key : str
            One of ``KEYS``.

        Returns
        -------
        int
            0 while none was seen.
        """
        refused = (s.revision for k, s in self._refused if k == key)
        return max(self.stamp(key).revision, *refused, 0)

    def offer(self, value, source):
        """Put a value in force if it is newer than the one in force.

        Parameters
        ----------
        value : PublishedValue
            The value.
        source : str
            Description of its origin for the audit trail.

        Returns
        -------
        bool
            True when it is now in force.
        """
        with self._lock:
            known = self.stamp(value.key)
            self._report_conflict(value.key, known, value.stamp, source)
            if self.is_settled(value.key, value.stamp):
                self._metrics.increment("publication.ignored")
                return False
            detail = f"{source}, before: {_describe(known)}"
            try:
                self._check_and_apply(value, source)
            except DocumentError as error:
                entry = (value.key, value.stamp)
                self._refused = (*self._refused, entry)[-MAX_REFUSED:]
                self._metrics.increment("publication.refused")
                self._audit.record(
                    f"{value.key}-refused", _describe(value.stamp), f"{source}: {error}"
                )
                return False
            self._values = {**self._values, value.key: value}
            self._metrics.increment("publication.taken")
            self._audit.record(f"{value.key}-taken", _describe(value.stamp), detail)
            return True

    def report_older(self, key, revision, source):
        """Record that a source serves an older revision than the one in force.

        Parameters
        ----------
        key : str
            One of ``KEYS``.
        revision : int
            The older revision.
        source : str
            The source.
        """
        self._metrics.increment("publication.older")
        known = self.stamp(key)
        if self._is_first_report((key, "older", revision, known.revision)):
            self._audit.record(
                f"{key}-older",
                f"revision {revision}",
                f"{source}, in force: {_describe(known)}",
            )

    def check_for_conflict(self, key, stamp, source):
        """Record a conflict if a stamp has the same revision but another digest.

        Parameters
        ----------
        key : str
            One of ``KEYS``.
        stamp : Stamp
            Stamp of a value of a peer or of the service.
        source : str
            The peer, or a description of the value's origin.
        """
        self._report_conflict(key, self.stamp(key), stamp, source)

    def _check_and_apply(self, value, source):
        if value.text is None:
            raise DocumentError([f"{value.key}: not UTF-8 text of at most 1 MiB"])
        try:
            self._apply(value, source)
        except DocumentError:
            raise
        except Exception as error:
            # A document that triggers a bug must neither end the watching thread nor
            # be fetched repeatedly.
            logger.exception("cannot apply %s", value.key)
            raise DocumentError([f"{value.key}: {error!r}"]) from error

    def _report_conflict(self, key, known, stamp, source):
        if stamp.revision != known.revision or stamp.digest == known.digest:
            return
        digests = tuple(sorted((stamp.digest, known.digest)))
        if self._is_first_report((key, "conflict", stamp.revision, digests)):
            self._metrics.increment("publication.conflicts")
            self._audit.record(
                f"{key}-conflict",
                f"revision {stamp.revision}",
                f"digests {digests[0][:12]} and {digests[1][:12]}, {source}; "
                "the higher digest is in force",
            )

    def _is_first_report(self, event):
        """Return True on the first report of an event; repeats are not recorded."""
        with self._report_lock:
            if event in self._reported:
                return False
            self._reported = (*self._reported, event)[-MAX_REFUSED:]
            return True


def _describe(stamp):
    if stamp == NO_STAMP:
        return "none"
    return f"revision {stamp.revision} digest {stamp.digest[:12]}"
