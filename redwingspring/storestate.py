"""State that operators and targets publish in the store, as this host has read it."""

import logging
import threading
from dataclasses import dataclass, field

from .clock import read_clock
from .drainingentries import DrainingEntries
from .entrychanges import (
    EvacuationChange,
    InstanceChange,
    InstanceRemoval,
    TableChange,
)
from .errors import DocumentError, RedwingspringError
from .mappings import drop_oldest
from .missingentries import MissingEntries

# Entries that expire while the store is unreachable, or that a copy from which it came
# back does not contain, are written again within about two seconds of its return. They
# stay in use until then. Other removals take effect at once.
MISSING_GRACE_S = 2.2
# Deleted keys whose revisions are kept, so that a change that arrives late does not
# restore them.
MAX_TOMBSTONES = 2000
# Epochs that the feed between hosts can represent.
MAX_EPOCH = 2**63 - 1
# Characters of an error message in a log line.
MAX_CAUSE_LENGTH = 500

logger = logging.getLogger(__name__)


class StoreError(RedwingspringError):
    """The store or a host's feed gave no usable response.

    Parameters
    ----------
    message : str
        What failed.
    epoch : int, default=0
        Epoch that the response showed nevertheless.
    """

    def __init__(self, message, epoch=0):
        super().__init__(message)
        self.epoch = epoch


class StoreBusy(StoreError):
    """The store rejected a call because it is overloaded or unavailable."""


class HistoryLost(StoreError):
    """The requested changes are no longer in the history of the source."""


@dataclass(frozen=True, order=True)
class StorePosition:
    """Position in the history of the store; positions are ordered by epoch first.

    Attributes
    ----------
    epoch : int, default=0
        Number that the store increases each time it comes back from a copy, after
        which it assigns revisions again; 0 if its responses do not state it.
    revision : int, default=0
        Revision within the epoch.
    """

    epoch: int = 0
    revision: int = 0


@dataclass(frozen=True)
class StoreChange:
    """One version of an entry of the store.

    Attributes
    ----------
    key : str
        Key of the entry.
    value : bytes or None
        Value of the entry; None when it was deleted.
    revision : int
        Revision of the store at which it was written or deleted.
    """

    key: str
    # The value of the configuration contains API keys.
    value: bytes | None = field(repr=False)
    revision: int


@dataclass(frozen=True)
class StoreSnapshot:
    """All entries of the store.

    Attributes
    ----------
    changes : tuple of StoreChange
        The entries.
    position : StorePosition
        Highest position whose changes the snapshot is certain to contain.
    """

    changes: tuple
    position: StorePosition


class StoreState:
    """Applies store changes to the published state in force at this host.

    Parameters
    ----------
    directory : InstanceDirectory
        Receives the instances.
    decode : callable
        Returns the typed change of a StoreChange, None for a key that is not used.
    metrics : Metrics
        Counters.
    decisions : DecisionLog
        Receives one line for each change of the state.
    clock : callable, default=read_clock
        Returns seconds.
    """

    def __init__(self, directory, decode, metrics, decisions, clock=read_clock):
        self.table = None
        self.position = StorePosition()
        self.on_table = None
        self._directory = directory
        self._decode = decode
        self._metrics = metrics
        self._decisions = decisions
        self._clock = clock
        self._lock = threading.RLock()
        self._revisions = {}
        self._tombstones = {}
        self._evacuated = set()
        self._missing = MissingEntries()
        self._draining = DrainingEntries()
        # Whether the first snapshot of a new epoch is being applied.
        self._begins_epoch = False
        # A host that starts has no data yet, but it has not seen the store away.
        self._lost_at = clock()
        self._was_away = False
        self._regained_at = -MISSING_GRACE_S

    @property
    def version(self):
        """Return the version of the routing table in force, 0 without one."""
        table = self.table
        return 0 if table is None else table.version

    @property
    def age_s(self):
        """Return the seconds since the store was lost, 0 while connected."""
        lost_at = self._lost_at
        return 0.0 if lost_at is None else self._clock() - lost_at

    @property
    def is_connected(self):
        """Tell whether this host receives the changes of the store."""
        return self._lost_at is None

    def mark_lost(self, cause):
        """Record that the store cannot be reached from any source.

        Parameters
        ----------
        cause : Exception
            Failure of the last source.
        """
        with self._lock:
            self._was_away = True
            if self._lost_at is not None:
                return
            self._lost_at = self._clock()
        self._metrics.increment("store.lost")
        self._decisions.record(
            "store lost",
            logging.WARNING,
            cause=str(cause),
            revision=self.position.revision,
            configuration_version=self.version,
        )

    def mark_connected(self, source):
        """Record that a source delivers the changes of the store.

        Parameters
        ----------
        source : str
            Name of the source.
        """
        with self._lock:
            if self._lost_at is None:
                return
            away_s = self._clock() - self._lost_at
            self._lost_at = None
            if self._was_away:
                self._was_away = False
                self._regained_at = self._clock()
        self._metrics.increment("store.regained")
        self._decisions.record(
            "store regained",
            source=source,
            away_s=round(away_s, 2),
            revision=self.position.revision,
        )

    def apply_snapshot(self, snapshot):
        """Apply all entries of a snapshot and remove those that it lacks.

        Parameters
        ----------
        snapshot : StoreSnapshot
            Snapshot of the store; one of an older epoch is ignored.
        """
        with self._lock:
            if snapshot.position.epoch > self.position.epoch:
                self._begin_epoch(snapshot)
            elif snapshot.position.epoch == self.position.epoch:
                self._apply_entries(snapshot)

    def _apply_entries(self, snapshot):
        """Apply a snapshot of the epoch in force; the lock is held."""
        position = snapshot.position
        for change in snapshot.changes:
            self._apply(change)
        present = {change.key for change in snapshot.changes}
        for key, revision in list(self._revisions.items()):
            if key not in present and revision <= position.revision:
                self._apply(StoreChange(key, None, position.revision))
        self.position = max(self.position, position)

    def _begin_epoch(self, snapshot):
        """Replace the state of an older epoch by a snapshot; the lock is held.

        Revisions are assigned again in a new epoch, so those of the keys are not
        compared with the earlier ones.
        """
        previous, known_keys = self.position, self._revisions.keys()
        self._revisions, self._tombstones = {}, {}
        self.position = StorePosition(snapshot.position.epoch)
        if previous == StorePosition():
            # A host that has just started has no state of an older epoch.
            self._apply_entries(snapshot)
            return
        self._begins_epoch = True
        try:
            with self._directory.replace_view():
                self._regained_at = self._clock()
                self._missing.extend(self._regained_at + MISSING_GRACE_S)
                self._apply_entries(snapshot)
                self._keep_missing(known_keys - self._revisions.keys())
        finally:
            self._begins_epoch = False
        self._metrics.increment("store.epochs")
        self._decisions.record(
            "store epoch changed",
            logging.WARNING,
            epoch=self.position.epoch,
            revision=self.position.revision,
            previous_epoch=previous.epoch,
            previous_revision=previous.revision,
        )

    def _keep_missing(self, keys):
        """Remove the entries of an older epoch that the new one lacks.

        Instances and evacuations stay in use for ``MISSING_GRACE_S``. The removals have
        no revision, because the new epoch does not state them.
        """
        for key in sorted(keys):
            removal = self._decode(StoreChange(key, None, 0))
            if removal is not None:
                _APPLIERS[type(removal)](self, removal, None)

    def apply_changes(self, changes, position):
        """Apply changes in order.

        Parameters
        ----------
        changes : sequence of StoreChange
            The changes; those of another epoch are ignored, because only a snapshot
            begins an epoch.
        position : StorePosition
            Position of the store after the changes.
        """
        with self._lock:
            if position.epoch != self.position.epoch:
                return
            for change in changes:
                self._apply(change)
            self.position = max(self.position, position)

    def drop_missing(self):
        """Remove entries that were not written again in time."""
        with self._lock:
            for removal in self._missing.take_due(self._clock()):
                _REMOVERS[type(removal)](self, removal)

    def _apply(self, change):
        """Apply one change unless a later one is known; the lock is held."""
        known = max(
            self._revisions.get(change.key, 0), self._tombstones.get(change.key, 0)
        )
        if change.revision <= known:
            return
        if change.value is None:
            self._revisions.pop(change.key, None)
            self._add_tombstone(change)
        else:
            self._tombstones.pop(change.key, None)
            self._revisions[change.key] = change.revision
        try:
            decoded = self._decode(change)
            if decoded is not None:
                _APPLIERS[type(decoded)](self, decoded, change.revision)
        except DocumentError as error:
            self._log_ignored(change, error)
        except Exception as error:
            # Entries come from many writers. One that triggers an unexpected error
            # must not keep the follower from applying the others.
            logger.exception("unexpected error in a store entry")
            self._log_ignored(change, error)

    def _log_ignored(self, change, error):
        """Count and log an entry that is ignored."""
        self._metrics.increment("store.invalid_entries")
        self._decisions.record(
            "store entry ignored",
            logging.WARNING,
            key=change.key,
            revision=change.revision,
            cause=str(error)[:MAX_CAUSE_LENGTH],
        )

    def _add_tombstone(self, change):
        self._tombstones[change.key] = change.revision
        drop_oldest(self._tombstones, MAX_TOMBSTONES)

    def _apply_table(self, change, revision):
        table = change.table
        if self.table is not None and table.version <= self.table.version:
            self._decisions.record(
                "older configuration ignored",
                configuration_version=table.version,
                version_in_force=self.table.version,
                revision=revision,
            )
            return
        self.table = table
        if self.on_table is not None:
            self.on_table(table)
        self._metrics.increment("configuration.applied")
        self._decisions.record(
            "configuration in force",
            configuration_version=table.version,
            revision=revision,
        )

    def _apply_evacuation(self, change, revision):
        removal = EvacuationChange(change.data_centre, False)
        self._missing.restore(removal)
        if change.evacuated == (change.data_centre in self._evacuated):
            return
        if change == removal and self._begins_epoch:
            self._missing.keep(removal, self._regained_at + MISSING_GRACE_S)
            self._decisions.record("evacuation missing", data_centre=change.data_centre)
            return
        self._set_evacuated(change, revision)

    def _set_evacuated(self, change, revision=None):
        if change.evacuated:
            self._evacuated.add(change.data_centre)
        else:
            self._evacuated.discard(change.data_centre)
        self._directory.set_evacuated(frozenset(self._evacuated))
        self._decisions.record(
            "data centre evacuated" if change.evacuated else "data centre taken back",
            data_centre=change.data_centre,
            revision=revision,
        )

    def _apply_instance(self, change, revision):
        instance = change.instance
        self._missing.restore(InstanceRemoval(instance.id))
        if self._begins_epoch:
            instance = self._draining.correct(instance, revision)
        if instance == change.instance:
            self._draining.record(instance, revision)
        if self._begins_epoch and self._directory.contains(instance):
            # Applying the same entry again would make a warm instance cold again.
            return
        if not self._directory.put(instance):
            return
        self._decisions.record(
            "instance leaving" if instance.leaving else "instance listed",
            instance=instance.id,
            service=instance.service,
            address=instance.address,
            data_centre=instance.data_centre,
            cold_s=instance.cold_s or None,
            revision=revision,
        )

    def _apply_removal(self, change, revision):
        now = self._clock()
        returned_at = now if self._was_away else self._regained_at
        if now < returned_at + MISSING_GRACE_S:
            self._missing.keep(change, returned_at + MISSING_GRACE_S)
            self._decisions.record(
                "instance missing", instance=change.instance_id, revision=revision
            )
            return
        self._remove_instance(change, revision)

    def _remove_instance(self, removal, revision=None):
        if self._directory.remove(removal.instance_id):
            self._decisions.record(
                "instance gone", instance=removal.instance_id, revision=revision
            )


_APPLIERS = {
    TableChange: StoreState._apply_table,
    EvacuationChange: StoreState._apply_evacuation,
    InstanceChange: StoreState._apply_instance,
    InstanceRemoval: StoreState._apply_removal,
}
# How missing entries are removed.
_REMOVERS = {
    EvacuationChange: StoreState._set_evacuated,
    InstanceRemoval: StoreState._remove_instance,
}
