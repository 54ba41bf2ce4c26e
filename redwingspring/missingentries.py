"""Entries that are missing from the store and stay in use for a while."""


class MissingEntries:
    """The removals that take effect later unless their entries are written again.

    The class is not thread-safe; the state in force guards it with its own lock.
    """

    def __init__(self):
        self._removal_times = {}

    def keep(self, removal, until):
        """Keep an entry in use until a time, or until the time set before.

        Parameters
        ----------
        removal : InstanceRemoval or EvacuationChange
            The removal that takes effect later.
        until : float
            Time at which it takes effect.
        """
        self._removal_times.setdefault(removal, until)

    def extend(self, until):
        """Set the time at which all removals take effect.

        Parameters
        ----------
        until : float
            The time.
        """
        self._removal_times = dict.fromkeys(self._removal_times, until)

    def restore(self, removal):
        """Forget a removal, because the entry was written again or removed.

        Parameters
        ----------
        removal : InstanceRemoval or EvacuationChange
            The removal.
        """
        self._removal_times.pop(removal, None)

    def take_due(self, now):
        """Return the removals that take effect, and forget them.

        Parameters
        ----------
        now : float
            Current time.

        Returns
        -------
        list of InstanceRemoval or EvacuationChange
            The removals.
        """
        due = [removal for removal, end in self._removal_times.items() if now >= end]
        for removal in due:
            del self._removal_times[removal]
        return due
