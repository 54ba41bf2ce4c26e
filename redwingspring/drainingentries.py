"""Entries of the store that state that their targets drain."""

from dataclasses import replace

from .mappings import drop_oldest

# Runs that are remembered; the oldest are dropped, long after their targets have ended.
MAX_DRAINING_RUNS = 4096


class DrainingEntries:
    """The runs of targets that drain by their entries, with the entries' revisions.

    A store that comes back from a copy may list such a run as ready again, also when
    its entry was already removed. The class is not thread-safe; the state in force
    guards it with its own lock.
    """

    def __init__(self):
        self._revisions = {}

    def record(self, instance, revision):
        """Record what the entry of an instance states.

        Parameters
        ----------
        instance : Instance
            The entry.
        revision : int
            Revision at which it was written.
        """
        if not instance.leaving:
            self._revisions.pop(instance.run, None)
            return
        self._revisions[instance.run] = revision
        drop_oldest(self._revisions, MAX_DRAINING_RUNS)

    def correct(self, instance, revision):
        """Return an entry of a copy, draining if its run drains by a later entry.

        Parameters
        ----------
        instance : Instance
            The entry.
        revision : int
            Revision at which it was written. An entry of the copy has a lower one than
            the entry that states the drain, because the copy would contain the latter
            otherwise. An entry of the new epoch that has a lower one too cannot be told
            apart; it drains until the target writes again.

        Returns
        -------
        Instance
            The entry.
        """
        if revision < self._revisions.get(instance.run, 0):
            return replace(instance, leaving=True)
        return instance
