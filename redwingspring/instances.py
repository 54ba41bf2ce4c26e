"""Directory of target instances with the state that this host keeps of each."""

import threading
from contextlib import contextmanager
from dataclasses import dataclass, field

from .clock import read_clock
from .drainnotices import DrainNotices
from .instancepool import InstancePool
from .instancestate import InstanceState


@dataclass(frozen=True)
class InstanceView:
    """Snapshot of the instances in use.

    Attributes
    ----------
    services : dict of str to tuple of InstanceState
        Instances that take requests, by service.
    evacuated : frozenset of str
        Data centres whose targets get no requests.
    """

    services: dict = field(default_factory=dict)
    evacuated: frozenset = frozenset()


class InstanceDirectory:
    """All listed instances with their state, and the evacuated data centres.

    Parameters
    ----------
    source : str or None, default=None
        Source IP address of the connections.
    clock : callable, default=read_clock
        Returns seconds.
    drain_notices : DrainNotices or None, default=None
        Runs that drain whatever their entries state.
    """

    def __init__(self, source=None, clock=read_clock, drain_notices=None):
        self._source = source
        self._clock = clock
        self._drain_notices = drain_notices or DrainNotices(clock=clock)
        self._drain_notices.on_new = self._apply_drain_notices
        self._lock = threading.RLock()
        self._states = {}
        self._evacuated = frozenset()
        self._view = InstanceView()
        self._is_view_held = False

    @property
    def view(self):
        """The current snapshot of the instances in use."""
        return self._view

    @contextmanager
    def replace_view(self):
        """Let all updates within this context take effect on the view in one step."""
        with self._lock:
            self._is_view_held = True
            try:
                yield
            finally:
                self._is_view_held = False
                self._rebuild_view()

    def put(self, instance):
        """Add or update an instance.

        Parameters
        ----------
        instance : Instance
            Its entry.

        Returns
        -------
        bool
            False if the known entry is newer.
        """
        with self._lock:
            now = self._clock()
            known = self._states.get(instance.id)
            if (
                known is not None
                and instance.started_unix_ms < known.instance.started_unix_ms
            ):
                return False
            if known is not None and _is_same_start(known.instance, instance):
                known.update(instance, now)
            else:
                pool = InstancePool(instance.address, self._source)
                self._states[instance.id] = InstanceState(
                    instance, pool, now, self._drain_notices
                )
                if known is not None:
                    known.pool.close()
            self._rebuild_view()
            return True

    def remove(self, instance_id):
        """Remove an instance and close its connections.

        Parameters
        ----------
        instance_id : str
            Id of the instance.

        Returns
        -------
        bool
            False if it was not known.
        """
        with self._lock:
            known = self._states.pop(instance_id, None)
            if known is None:
                return False
            known.pool.close()
            self._rebuild_view()
            return True

    def set_evacuated(self, data_centres):
        """Set the data centres whose targets get no requests.

        Parameters
        ----------
        data_centres : frozenset of str
            Their names.
        """
        with self._lock:
            self._evacuated = frozenset(data_centres)
            self._rebuild_view()

    def list_ids(self):
        """Return the ids of all known instances.

        Returns
        -------
        set of str
            Ids, those of leaving instances included.
        """
        with self._lock:
            return set(self._states)

    def contains(self, instance):
        """Tell whether an entry is known with the same content.

        Parameters
        ----------
        instance : Instance
            The entry.

        Returns
        -------
        bool
            False if the instance is unknown or its known entry differs.
        """
        with self._lock:
            known = self._states.get(instance.id)
            return known is not None and known.instance == instance

    def accepts(self, state):
        """Tell whether a request may be sent to an instance now.

        Parameters
        ----------
        state : InstanceState
            The instance.

        Returns
        -------
        bool
            False if it is leaving or removed, or its data centre is evacuated.
        """
        instance = state.instance
        return (
            self._states.get(instance.id) is state
            and not self._is_leaving(instance)
            and instance.data_centre not in self._view.evacuated
        )

    def _is_leaving(self, instance):
        """Tell whether an instance drains by its entry or by its own responses."""
        return instance.leaving or self._drain_notices.contains(instance.run)

    def _apply_drain_notices(self):
        """Stop using the instances of new notices; close their idle connections."""
        with self._lock:
            for state in self._states.values():
                if self._drain_notices.contains(state.instance.run):
                    state.pool.close()
                    for exchange in state.take_pending_probes():
                        exchange.abort()
            self._rebuild_view()

    def _rebuild_view(self):
        """Rebuild the snapshot of the instances in use; the lock is held."""
        if self._is_view_held:
            return
        evacuated = self._evacuated
        services = {}
        for state in self._states.values():
            instance = state.instance
            if not self._is_leaving(instance) and instance.data_centre not in evacuated:
                services.setdefault(instance.service, []).append(state)
        self._view = InstanceView(
            {name: tuple(states) for name, states in services.items()}, evacuated
        )


def _is_same_start(known, instance):
    return (
        known.started_unix_ms == instance.started_unix_ms
        and known.address == instance.address
        and known.service == instance.service
    )
