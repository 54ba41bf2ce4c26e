"""Pool of idle connections to one instance."""

from .clock import read_clock
from .targetconnection import TargetConnection
from .upstream import TargetPool

# An instance that does not accept a connection within this time is treated as down.
CONNECT_TIMEOUT_S = 0.25
DEFAULT_KEEP_ALIVE_S = 5.0
# A connection is not reused after this fraction of the announced keep-alive time.
KEEP_ALIVE_FRACTION = 0.9
MAX_IDLE_CONNECTIONS = 6


class InstanceConnection(TargetConnection):
    """Connection to an instance; its deadlines include time in suspend."""

    clock = staticmethod(read_clock)
    keep_alive_s = DEFAULT_KEEP_ALIVE_S


class InstancePool(TargetPool):
    """Reusable connections to one instance.

    Parameters
    ----------
    address : str
        ``ip:port`` of the instance.
    source : str or None, default=None
        Source IP address of the connections.
    """

    def __init__(self, address, source=None):
        super().__init__(address, source)
        self._max_idle = MAX_IDLE_CONNECTIONS

    def take_idle(self, max_idle_s=float("inf")):
        """Return an idle connection that is expected to be open still.

        Parameters
        ----------
        max_idle_s : float, default=inf
            Longest time in seconds for which it may have been idle.

        Returns
        -------
        InstanceConnection or None
            None if no idle connection is usable.
        """
        while True:
            with self._lock:
                connection = self._idle.pop() if self._idle else None
            if connection is None:
                return None
            age = connection.clock() - connection.idle_since
            limit_s = min(max_idle_s, connection.keep_alive_s * KEEP_ALIVE_FRACTION)
            is_usable = age < limit_s
            if is_usable and connection.is_connected:
                return connection
            connection.close()

    def open(self):
        """Return a new connection that is not yet connected.

        Returns
        -------
        InstanceConnection
            A connection that is not in the pool.
        """
        return InstanceConnection(self.address, CONNECT_TIMEOUT_S, self._source)

    def close(self):
        """Close all idle connections, and later each one that is given back."""
        self._max_idle = 0
        super().close()

    def give_back(self, connection):
        """Return a connection whose last response was read completely to the pool.

        Parameters
        ----------
        connection : InstanceConnection
            The connection.
        """
        super().give_back(connection)
        connection.idle_since = connection.clock()
