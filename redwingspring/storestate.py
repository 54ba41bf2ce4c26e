"""State that operators and targets publish in the store, as this host has read it."""

import logging
import threading
from dataclasses import dataclass, field

from .clock import read_clock
from .errors import DocumentError, RedwingspringError
from .instancestate import Instance
from .mappings import drop_oldest
from .routes import RoutingTable

# Entries that expire while the store is unreachable are written again by their targets
# within about two seconds of its return. Missing instances stay in use until then.
# Other removals take effect at once.
MISSING_GRACE_S = 2.2
# Deleted keys whose revisions are kept, so that a change that arrives late does not
# restore them.
MAX_TOMBSTONES = 2000
# Characters of an error message in a log line.
MAX_CAUSE_LENGTH = 500

logger = logging.getLogger(__name__)


class StoreError(RedwingspringError):
    """The store or a host's feed gave no usable response."""


class StoreBusy(StoreError):
    """The store rejected a call because it is overloaded or unavailable."""


class HistoryLost(StoreError):
    """The requested changes are no longer in the history of the source."""


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
    revision : int
        Highest revision whose changes the snapshot is certain to contain.
    """

    changes: tuple
    revision: int


@dataclass(frozen=True)
class TableChange:
    """A routing table was published.

    Attributes
    ----------
    table : RoutingTable
        The table.
    """

    table: RoutingTable


@dataclass(frozen=True)
class EvacuationChange:
    """A data centre was evacuated or put back into service.

    Attributes
    ----------
    data_centre : str
        Name of the data centre.
    evacuated : bool
        Whether its targets get no requests.
    """

    data_centre: str
    evacuated: bool


@dataclass(frozen=True)
class InstanceChange:
    """The entry of an instance was written.

    Attributes
    ----------
    instance : Instance
        The entry.
    """

    instance: Instance


@dataclass(frozen=True)
class InstanceRemoval:
    """The entry of an instance was removed.

    Attributes
    ----------
    instance_id : str
        Id of the instance.
    """

    instance_id: str


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
        self.revision = 0
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
        self._missing_until = {}
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
            revision=self.revision,
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
            revision=self.revision,
        )

    def apply_snapshot(self, snapshot):
        """Apply all entries of a snapshot and remove those that it lacks.

        Parameters
        ----------
        snapshot : StoreSnapshot
            Snapshot of the store.
        """
        with self._lock:
            for change in snapshot.changes:
                self._apply(change)
            present = {change.key for change in snapshot.changes}
            for key, revision in list(self._revisions.items()):
                if key not in present and revision <= snapshot.revision:
                    self._apply(StoreChange(key, None, snapshot.revision))
            self.revision = max(self.revision, snapshot.revision)

    def apply_changes(self, changes, revision):
        """Apply changes in order.

        Parameters
        ----------
        changes : sequence of StoreChange
            The changes.
        revision : int
            Revision of the store after the changes.
        """
        with self._lock:
            for change in changes:
                self._apply(change)
            self.revision = max(self.revision, revision)

    def drop_missing(self):
        """Remove instances whose entries were not written again in time."""
        with self._lock:
            now = self._clock()
            expired = [key for key, end in self._missing_until.items() if now >= end]
            for instance_id in expired:
                del self._missing_until[instance_id]
                self._remove_instance(instance_id)

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
        if change.evacuated == (change.data_centre in self._evacuated):
            return
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
        self._missing_until.pop(instance.id, None)
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
            until = returned_at + MISSING_GRACE_S
            self._missing_until.setdefault(change.instance_id, until)
            self._decisions.record(
                "instance missing", instance=change.instance_id, revision=revision
            )
            return
        self._remove_instance(change.instance_id, revision)

    def _remove_instance(self, instance_id, revision=None):
        if self._directory.remove(instance_id):
            self._decisions.record(
                "instance gone", instance=instance_id, revision=revision
            )


_APPLIERS = {
    TableChange: StoreState._apply_table,
    EvacuationChange: StoreState._apply_evacuation,
    InstanceChange: StoreState._apply_instance,
    InstanceRemoval: StoreState._apply_removal,
}
