"""Follows the store: a snapshot first, then changes, and again after a gap."""

from .storestate import HistoryLost, StoreError

# Changes that come in quick succession are read from the store together.
GATHER_S = 0.15
# Pause while all sources have just failed.
PAUSE_S = 0.05
SWEEP_S = 0.2


class StoreFollower:
    """Keeps the knowledge of this host up to date.

    Parameters
    ----------
    sources : SourceSelector
        Where changes are heard of.
    store_state : StoreState
        Takes what the store tells.
    mirror : StoreMirror
        Keeps it for other hosts.
    """

    def __init__(self, sources, store_state, mirror):
        self._sources = sources
        self._store_state = store_state
        self._mirror = mirror
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
                stopping.wait(PAUSE_S)
                continue
            try:
                gathers = self._ask(source)
            except HistoryLost:
                self._has_snapshot = False
            except StoreError as error:
                self._take_failure(source, error)
            else:
                self._sources.note_success(source)
                self._store_state.note_connected(source.name)
                if gathers:
                    stopping.wait(GATHER_S)

    def _ask(self, source):
        """Take one answer of a source; tell whether to pause before the next."""
        if not self._has_snapshot:
            snapshot, confirmation = source.read_all()
            self._sources.check_hops(source, confirmation)
            self._mirror.apply_snapshot(snapshot, confirmation)
            self._store_state.apply_snapshot(snapshot)
            self._has_snapshot = True
            return False
        after = self._store_state.revision
        changes, revision, confirmation = source.watch(after)
        self._sources.check_hops(source, confirmation)
        self._mirror.apply_changes(changes, revision, confirmation)
        self._store_state.apply_changes(changes, revision)
        return bool(changes) and source.is_store

    def _take_failure(self, source, error):
        """Turn to another source; without one the store is lost."""
        self._sources.note_failure(source)
        if self._sources.choose() is None:
            self._store_state.note_lost(error)

    def run_sweep(self, stopping):
        """Drop entries that stay missing, until the process stops.

        Parameters
        ----------
        stopping : threading.Event
            Set when the process stops.
        """
        while not stopping.wait(SWEEP_S):
            self._store_state.drop_missing()
