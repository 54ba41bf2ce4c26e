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
    sources : SourceChoice
        Where changes are heard of.
    knowledge : Knowledge
        Takes what the store tells.
    mirror : StoreMirror
        Keeps it for other hosts.
    """

    def __init__(self, sources, knowledge, mirror):
        self._sources = sources
        self._knowledge = knowledge
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
                self._sources.note_answered(source)
                self._knowledge.note_in_touch(source.name)
                if gathers:
                    stopping.wait(GATHER_S)

    def _ask(self, source):
        """Take one answer of a source; tell whether to pause before the next."""
        if not self._has_snapshot:
            snapshot, confirmation = source.read_all()
            self._sources.check_confirmation(source, confirmation)
            self._mirror.take_snapshot(snapshot, confirmation)
            self._knowledge.apply_snapshot(snapshot)
            self._has_snapshot = True
            return False
        after = self._knowledge.revision
        changes, revision, confirmation = source.watch(after)
        self._sources.check_confirmation(source, confirmation)
        self._mirror.take_changes(changes, revision, confirmation)
        self._knowledge.apply_changes(changes, revision)
        return bool(changes) and source.is_store

    def _take_failure(self, source, error):
        """Turn to another source; without one the store is lost."""
        self._sources.note_failed(source)
        if self._sources.choose() is None:
            self._knowledge.note_lost(error)

    def run_sweep(self, stopping):
        """Drop entries that stay missing, until the process stops.

        Parameters
        ----------
        stopping : threading.Event
            Set when the process stops.
        """
        while not stopping.wait(SWEEP_S):
            self._knowledge.drop_missing()
