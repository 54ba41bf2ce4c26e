"""Entries of the store that state that their targets drain."""

from dataclasses import replace

from .mappings import drop_oldest

# Runs that are remembered; the oldest are dropped, long after their targets have ended.
MAX_DRAINING_RUNS = 4096


class DrainingEntries:
    """The runs of targets whose entries state a drain, with the entries' revisions.

    A store that comes back from a copy may list such a run as ready again, also when
    its entry had already been removed. The class is not thread-safe; the state in force
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
        """Return an entry of a copy, as draining if a later entry stated the drain.

        Parameters
        ----------
        instance : Instance
            The entry.
        revision : int
            Revision at which it was written. An entry of the copy has a lower one than
            the entry that states the drain, which the copy would contain otherwise. An
            entry of the new epoch may have a lower one as well. It cannot be told
            from one of the copy, so its target drains until it writes again.

        Returns
        -------
        Instance
            The entry.
        """
        if revision < self._revisions.get(instance.run, 0):
            return replace(instance, leaving=True)
        return instance
