"""Follows the store: a snapshot first, then a watch, and again after a gap."""

import random

from .knowledge import HistoryLost, StoreError

# A watch that answers nothing for this long is asked anew, because a connection
# on which an answer was lost stays silent.
WATCH_WAIT_S = 2.5
# Changes that come in quick succession are read together.
GATHER_S = 0.2
MIN_PAUSE_S = 0.15
MAX_PAUSE_S = 0.8
SWEEP_S = 0.2


class StoreFollower:
    """Keeps the knowledge of this host up to date.

    Parameters
    ----------
    store : StoreClient
        The store.
    knowledge : Knowledge
        Takes what the store tells.
    """

    def __init__(self, store, knowledge):
        self._store = store
        self._knowledge = knowledge

    def run(self, stopping):
        """Follow the store until the process stops.

        Parameters
        ----------
        stopping : threading.Event
            Set when the process stops.
        """
        pause_s = MIN_PAUSE_S
        while not stopping.is_set():
            try:
                self._knowledge.apply_snapshot(self._store.read_all())
                self._knowledge.note_in_touch()
                pause_s = MIN_PAUSE_S
                self._watch(stopping)
            except HistoryLost as error:
                # Changes may be missing until the next snapshot is in force.
                self._knowledge.note_lost(error)
            except StoreError as error:
                self._knowledge.note_lost(error)
                # The spread keeps the hosts from asking all at once.
                stopping.wait(pause_s * random.uniform(0.7, 1.3))
                pause_s = min(MAX_PAUSE_S, pause_s * 1.6)

    def _watch(self, stopping):
        revision = self._knowledge.revision
        while not stopping.is_set():
            changes, revision = self._store.watch(revision, WATCH_WAIT_S)
            if changes:
                self._knowledge.apply_changes(changes, revision)
                stopping.wait(GATHER_S)

    def run_sweep(self, stopping):
        """Drop entries that stay missing, until the process stops.

        Parameters
        ----------
        stopping : threading.Event
            Set when the process stops.
        """
        while not stopping.wait(SWEEP_S):
            self._knowledge.drop_missing()
