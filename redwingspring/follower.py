"""Follows the store: reads a snapshot, then changes; starts over after a gap.

It also starts over when a source shows a newer epoch of the store, because the changes
of one epoch do not apply to the state of another.
"""

from .confirmations import LastConfirmation
from .storestate import HistoryLost, StoreError

# Pause after changes from the store, so that one call reads further changes that
# follow in quick succession.
BATCH_DELAY_S = 0.15
# Pause while every source is in its backoff after a failure.
RETRY_DELAY_S = 0.05
SWEEP_INTERVAL_S = 0.2


class StoreFollower:
    """Keeps the published state of this host up to date.

    Parameters
    ----------
    sources : SourceSelector
        Selects the source to read from.
    store_state : StoreState
        Puts snapshots and changes in force.
    mirror : StoreMirror
        Keeps snapshots and changes for the feed to other hosts.
    last_confirmation : LastConfirmation or None, default=None
        Receives when the store confirmed the state in force.
    """

    def __init__(self, sources, store_state, mirror, last_confirmation=None):
        self._sources = sources
        self._store_state = store_state
        self._mirror = mirror
        self._last_confirmation = last_confirmation or LastConfirmation()
        self._has_snapshot = False

    def run(self, stopping):
        """Follow the store until the process stops.

        Parameters
        ----------
        stopping : threading.Event
            Set when the process stops.
        """
        while not stopping.is_set():
            source = self._sources.choose()
            if source is None:
                stopping.wait(RETRY_DELAY_S)
                continue
            try:
                should_pause = self._read_source(source)
            except HistoryLost as error:
                self._sources.record_epoch(error.epoch)
                self._has_snapshot = False
            except StoreError as error:
                self._handle_failure(source, error)
            else:
                self._sources.record_success(source)
                self._store_state.mark_connected(source.name)
                if should_pause:
                    stopping.wait(BATCH_DELAY_S)

    def _read_source(self, source):
        """Apply one response of a source; tell whether to pause before the next."""
        after = self._store_state.position
        if not self._has_snapshot or after.epoch < self._sources.newest_epoch:
            self._read_snapshot(source)
            return False
        changes, position, confirmation = source.watch(after)
        self._check(source, position, confirmation)
        if position.epoch > after.epoch:
            raise HistoryLost("the store has begun a new epoch", position.epoch)
        self._mirror.apply_changes(changes, position, confirmation)
        self._store_state.apply_changes(changes, position)
        self._last_confirmation.record(confirmation)
        return bool(changes) and source.is_store

    def _read_snapshot(self, source):
        snapshot, confirmation = source.read_all(self._sources.newest_epoch)
        self._check(source, snapshot.position, confirmation)
        self._mirror.apply_snapshot(snapshot, confirmation)
        self._store_state.apply_snapshot(snapshot)
        self._last_confirmation.record(confirmation)
        self._has_snapshot = True

    def _check(self, source, position, confirmation):
        """Raise StoreError if the data of a source must not be used."""
        self._sources.check_epoch(source, position.epoch)
        self._sources.check_hops(source, confirmation)

    def _handle_failure(self, source, error):
        """Back off from a source; the store is lost when no other one is left."""
        self._sources.record_epoch(error.epoch)
        self._sources.record_failure(source)
        if self._sources.choose() is None:
            self._store_state.mark_lost(error)

    def run_sweep(self, stopping):
        """Remove instances that stay missing, until the process stops.

        Parameters
        ----------
        stopping : threading.Event
            Set when the process stops.
        """
        while not stopping.wait(SWEEP_INTERVAL_S):
            self._store_state.drop_missing()
