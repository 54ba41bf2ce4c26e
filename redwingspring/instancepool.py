"""Connections to one instance, and those of them that wait for use."""

from .clock import read_clock
from .targetconnection import TargetConnection
from .upstream import TargetPool

# A new connection that takes longer than this goes to a dead instance.
CONNECT_TIMEOUT_S = 0.25
DEFAULT_KEEP_ALIVE_S = 5.0
# Part of the announced idle time after which a connection is not used again.
KEEP_ALIVE_SHARE = 0.7
MAX_IDLE = 6


class InstanceConnection(TargetConnection):
    """Connection to an instance whose deadlines include suspended time."""

    clock = staticmethod(read_clock)
    keep_alive_s = DEFAULT_KEEP_ALIVE_S


class InstancePool(TargetPool):
    """Reusable connections to one instance.

    Parameters
    ----------
    address : str
        ``ip:port`` of the instance.
    source : str or None, default=None
        IP number that connections come from.
    """

    def __init__(self, address, source=None):
        super().__init__(address, source)
        self._max_idle = MAX_IDLE

    def take_idle(self):
        """Return an idle connection that should still be open.

        Returns
        -------
        InstanceConnection or None
            None when there is none.
        """
        while True:
            with self._lock:
                connection = self._idle.pop() if self._idle else None
            if connection is None:
                return None
            age = connection.clock() - connection.idle_since
            fresh = age < connection.keep_alive_s * KEEP_ALIVE_SHARE
            if fresh and connection.is_connected:
                return connection
            connection.close()

    def open(self):
        """Return a connection that is not yet open.

        Returns
        -------
        InstanceConnection
            A connection used by nobody else.
        """
        return InstanceConnection(self.address, CONNECT_TIMEOUT_S, self._source)

    def give_back(self, connection):
        """Keep a connection whose last response was read whole.

        Parameters
        ----------
        connection : InstanceConnection
            The connection.
        """
        super().give_back(connection)
        connection.idle_since = connection.clock()
