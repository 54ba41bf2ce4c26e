"""What the operator and the targets have published, as this host knows it."""

import logging
import threading
from dataclasses import dataclass

from .clock import read_clock
from .errors import DocumentError, RedwingspringError
from .instances import Instance
from .mappings import drop_oldest
from .routes import RoutingTable

# Entries that lapse while the store is away are written again within about two
# seconds of its return; until then they stay in use.
MISSING_GRACE_S = 2.2
# Revisions of deleted keys that are remembered against late news.
MAX_TOMBSTONES = 2000


class StoreError(RedwingspringError):
    """The store gave no usable answer."""


class StoreBusy(StoreError):
    """The store turned a call away."""


class HistoryLost(StoreError):
    """The store no longer knows the changes that were asked for."""


@dataclass(frozen=True)
class StoreChange:
    """One entry of the store, as written.

    Attributes
    ----------
    key : str
        Key of the entry.
    value : bytes or None
        Its value; None when it was deleted.
    revision : int
        Revision of the store that made it.
    """

    key: str
    value: bytes | None
    revision: int


@dataclass(frozen=True)
class StoreSnapshot:
    """Everything that the store holds.

    Attributes
    ----------
    changes : tuple of StoreChange
        The entries.
    revision : int
        Revision of the store that is contained for certain.
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
    """A data centre is taken out of service or taken back.

    Attributes
    ----------
    data_centre : str
        Its name.
    evacuated : bool
        Whether its targets get no requests.
    """

    data_centre: str
    evacuated: bool


@dataclass(frozen=True)
class InstanceChange:
    """An instance wrote its entry.

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
    """The published state in force at this host.

    Parameters
    ----------
    directory : InstanceDirectory
        Takes the instances.
    decode : callable
        Returns the typed change of a StoreChange, None for one without meaning.
    metrics : Metrics
        Counters.
    decisions : DecisionLog
        Takes one line for each changed belief.
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
        self._missing = {}
        self._lost_at = clock()
        self._returned_at = -MISSING_GRACE_S

    @property
    def version(self):
        """Return the version of the table in force, 0 without one."""
        table = self.table
        return 0 if table is None else table.version

    @property
    def age_s(self):
        """Return the seconds since the store was lost, 0 while it is in touch."""
        lost_at = self._lost_at
        return 0.0 if lost_at is None else self._clock() - lost_at

    @property
    def is_connected(self):
        """Tell whether changes of the store arrive."""
        return self._lost_at is None

    def note_lost(self, cause):
        """Note that the store cannot be reached.

        Parameters
        ----------
        cause : Exception
            Why.
        """
        with self._lock:
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

    def note_connected(self, source):
        """Note that the store's changes arrive.

        Parameters
        ----------
        source : str
            Where they come from.
        """
        with self._lock:
            if self._lost_at is None:
                return
            away_s = self._clock() - self._lost_at
            self._lost_at = None
            self._returned_at = self._clock()
        self._metrics.increment("store.regained")
        self._decisions.record(
            "store regained",
            source=source,
            away_s=round(away_s, 2),
            revision=self.revision,
        )

    def apply_snapshot(self, snapshot):
        """Take everything that the store holds.

        Parameters
        ----------
        snapshot : StoreSnapshot
            A state of the store.
        """
        with self._lock:
            for change in snapshot.changes:
                self._apply(change)
            listed = {change.key for change in snapshot.changes}
            for key, revision in list(self._revisions.items()):
                if key not in listed and revision <= snapshot.revision:
                    self._apply(StoreChange(key, None, snapshot.revision))
            self.revision = max(self.revision, snapshot.revision)

    def apply_changes(self, changes, revision):
        """Take changes in their order.

        Parameters
        ----------
        changes : sequence of StoreChange
            The changes.
        revision : int
            Revision of the store that they lead to.
        """
        with self._lock:
            for change in changes:
                self._apply(change)
            self.revision = max(self.revision, revision)

    def drop_missing(self):
        """Forget instances whose entries did not come back in time."""
        with self._lock:
            now = self._clock()
            due = [key for key, end in self._missing.items() if now >= end]
            for instance_id in due:
                del self._missing[instance_id]
                self._remove_instance(instance_id)

    def _apply(self, change):
        """Take one change unless a later one is known; the lock is held."""
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
        except DocumentError as error:
            self._metrics.increment("store.invalid_entries")
            self._decisions.record(
                "store entry ignored",
                logging.WARNING,
                key=change.key,
                revision=change.revision,
                cause=str(error),
            )
            return
        if decoded is not None:
            _APPLIERS[type(decoded)](self, decoded, change.revision)

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
        self._missing.pop(instance.id, None)
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
        if self._lost_at is not None or now < self._returned_at + MISSING_GRACE_S:
            self._missing.setdefault(change.instance_id, now + MISSING_GRACE_S)
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
