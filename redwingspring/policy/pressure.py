"""Pressure on a service: the share of its targets without room; no input or output.

Load pattern: for seconds, more work arrives than the targets of a service can run. A
host of a large fleet gets only a few requests per second, so its own queue says little.
All hosts sample the same targets, by probes and by the load in responses, and the share
of the samples without room is about the same at each of them within a few hundred
milliseconds. It needs no messages between hosts.
"""

import threading
from collections import deque

from ..clock import read_clock
from .placement import is_nearly_full, predict_slowdown
from .waitpolicy import adds_throughput

# Samples within this time count. A slow period of a target lasts about as long, so
# older samples describe another situation.
SAMPLE_WINDOW_S = 0.3
# With fewer samples the share is not known.
MIN_SAMPLES = 6
MAX_SAMPLES = 64
# Highest predicted slowdown of a target that counts as having room.
MAX_ROOM_SLOWDOWN = 1.6


def has_room(sample, nearly_full_slowdown):
    """Tell whether a target can run one more request at about its usual speed.

    Parameters
    ----------
    sample : LoadSample
        Fresh load of the target.
    nearly_full_slowdown : float
        Slowdown of the service's targets when they are nearly full.

    Returns
    -------
    bool
        False for a target that is full, slow or unhealthy.
    """
    if not sample.healthy or sample.waiting or sample.running >= sample.slots:
        return False
    if is_nearly_full(sample) and not adds_throughput(sample, nearly_full_slowdown):
        return False
    return predict_slowdown(sample, 1.0) <= MAX_ROOM_SLOWDOWN


class ServicePressure:
    """Recent samples of the targets of one service.

    Parameters
    ----------
    clock : callable, default=read_clock
        Returns seconds.
    """

    def __init__(self, clock=read_clock):
        self._clock = clock
        self._lock = threading.Lock()
        self._samples = deque(maxlen=MAX_SAMPLES)

    def record(self, has_room):
        """Record whether a sampled target had room.

        Parameters
        ----------
        has_room : bool
            Whether it could run one more request at about its usual speed.
        """
        with self._lock:
            self._samples.append((self._clock(), has_room))

    @property
    def full_share(self):
        """Return the share of the sampled targets without room, 0 if unknown."""
        with self._lock:
            since = self._clock() - SAMPLE_WINDOW_S
            while self._samples and self._samples[0][0] < since:
                self._samples.popleft()
            if len(self._samples) < MIN_SAMPLES:
                return 0.0
            full = sum(not has_room for _, has_room in self._samples)
            return full / len(self._samples)


class Pressures:
    """The pressures on all services, created on first use.

    Parameters
    ----------
    clock : callable, default=read_clock
        Returns seconds.
    """

    def __init__(self, clock=read_clock):
        self._clock = clock
        self._lock = threading.Lock()
        self._pressures = {}

    def find(self, service):
        """Return the pressure on a service.

        Parameters
        ----------
        service : str
            Name of the service.

        Returns
        -------
        ServicePressure
            Always the same object for the same service.
        """
        pressure = self._pressures.get(service)
        if pressure is None:
            with self._lock:
                pressure = self._pressures.setdefault(
                    service, ServicePressure(self._clock)
                )
        return pressure
