"""Load of instances as they tell it themselves."""

from dataclasses import dataclass, replace


@dataclass(frozen=True)
class LoadSample:
    """Load of an instance at one moment, as it told itself.

    Attributes
    ----------
    running : int
        Requests in progress.
    waiting : int
        Requests in its queue.
    slots : int
        Requests that it runs at once.
    slowness : float
        Time that work takes now, relative to the usual time.
    cold_s : float
        Seconds that it stays cold.
    time : float
        When the sample arrived, on the clock of this host.
    healthy : bool
        Whether it takes new requests.
    """

    running: int
    waiting: int
    slots: int
    slowness: float = 1.0
    cold_s: float = 0.0
    time: float = 0.0
    healthy: bool = True

    def add_request(self):
        """Return the load after one more request was sent to the instance.

        Returns
        -------
        LoadSample
            A request that finds no free slot waits in the queue.
        """
        if self.running >= self.slots:
            return replace(self, waiting=self.waiting + 1)
        return replace(self, running=self.running + 1)

    def ensure_at_least(self, requests):
        """Return the load with no fewer requests than are known to be there.

        Parameters
        ----------
        requests : int
            Requests that this host has sent and that are not answered yet.

        Returns
        -------
        LoadSample
            Requests that the instance did not tell of take free slots first.
        """
        missing = requests - self.running - self.waiting
        if missing <= 0:
            return self
        running = max(self.running, min(self.slots, self.running + missing))
        waiting = self.waiting + missing - (running - self.running)
        return replace(self, running=running, waiting=waiting)

    def finish_request(self):
        """Return the load after one of the requests in progress has ended.

        Returns
        -------
        LoadSample
            The next request of the queue has taken the free slot.
        """
        if self.waiting:
            return replace(self, waiting=self.waiting - 1)
        return replace(self, running=max(0, self.running - 1))
