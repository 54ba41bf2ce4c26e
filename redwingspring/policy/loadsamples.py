"""Load that instances report about themselves."""

from dataclasses import dataclass, replace


@dataclass(frozen=True)
class LoadSample:
    """Load of an instance at one moment, as reported by the instance.

    Attributes
    ----------
    running : int
        Requests in progress.
    waiting : int
        Requests in its queue.
    slots : int
        Requests that it can run concurrently.
    slowness : float
        Current processing time relative to the usual one.
    cold_s : float
        Seconds until its cold start ends.
    time : float
        When the sample arrived, on the clock of this host.
    healthy : bool
        Whether it accepts new requests.
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
            The request waits in the queue if no slot is free.
        """
        if self.running >= self.slots:
            return replace(self, waiting=self.waiting + 1)
        return replace(self, running=self.running + 1)

    def ensure_at_least(self, requests):
        """Return the load, raised to a number of requests known to be there.

        Parameters
        ----------
        requests : int
            Requests that this host has sent and that are not answered yet.

        Returns
        -------
        LoadSample
            Requests that the instance did not report occupy free slots first, then
            the queue.
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
            If the queue was not empty, its next request occupies the freed slot.
        """
        if self.waiting:
            return replace(self, waiting=self.waiting - 1)
        return replace(self, running=max(0, self.running - 1))
