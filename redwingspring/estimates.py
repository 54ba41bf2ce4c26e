"""What one host infers about the speed and the load of a target."""

import math

# Weight of a new sample in the moving averages.
SAMPLE_WEIGHT = 0.2
# Old knowledge of a target's speed fades with this time constant in seconds,
# so that a target that was slow is tried again.
FADE_S = 2.0
# Weight of one failure or success in the failing share.
FAILURE_WEIGHT = 0.3
# A target that always fails counts as this many times slower.
FAILURE_COST = 20.0
# A cancelled attempt was overtaken by one that began later. It counts as this
# many times longer than it lasted, because the hedge hides how slow its target is.
CANCELLED_FACTOR = 3.0
# Latencies up to this factor of the typical one count as equal: they vary with
# the requests, and following them moves load for no reason.
SLOW_FACTOR = 2.0


class Estimate:
    """Speed, load and failing share of one target.

    Writers hold the lock of the target's state; readers accept values that
    are a moment old.
    """

    __slots__ = (
        "_failing",
        "_failing_time",
        "_latency",
        "_latency_time",
        "_others",
        "_others_mean",
        "_others_time",
        "samples",
    )

    def __init__(self):
        self.samples = 0
        self._latency = None
        self._latency_time = 0.0
        self._others = 0.0
        self._others_mean = 0.0
        self._others_time = None
        self._failing = 0.0
        self._failing_time = 0.0

    @property
    def latency(self):
        """Average time until a response began, in seconds, or None."""
        return self._latency

    def record_latency(self, seconds, now, queue_factor=1.0):
        """Note how long a target took.

        Parameters
        ----------
        seconds : float
            Time until the response began.
        now : float
            Monotonic time in seconds.
        queue_factor : float, default=1.0
            How many times longer the target's own queue made it.
        """
        self.samples += 1
        sample = seconds / queue_factor
        if self._latency is None:
            self._latency = sample
        else:
            # After a pause the old average says little.
            gap = now - self._latency_time
            weight = max(SAMPLE_WEIGHT, 1.0 - math.exp(-gap / FADE_S))
            self._latency += weight * (sample - self._latency)
        self._latency_time = now

    def record_cancelled_latency(self, seconds, now):
        """Note that an attempt was cancelled because another overtook it.

        Parameters
        ----------
        seconds : float
            Time until the cancellation.
        now : float
            Monotonic time in seconds.
        """
        seconds *= CANCELLED_FACTOR
        if self._latency is None or seconds > self._latency:
            self.record_latency(seconds, now)

    def record_other_load(self, count, now):
        """Note how many requests of other hosts are at the target.

        Parameters
        ----------
        count : float
            Reported requests less those of this host.
        now : float
            Monotonic time in seconds.
        """
        if self._others_time is None:
            self._others_mean = count
        else:
            self._others_mean += SAMPLE_WEIGHT * (count - self._others_mean)
        self._others = count
        self._others_time = now

    def record_outcome(self, failed, now):
        """Note whether an attempt failed.

        Parameters
        ----------
        failed : bool
            Whether it did.
        now : float
            Monotonic time in seconds.
        """
        old = self.estimate_failure_rate(now)
        self._failing = old + FAILURE_WEIGHT * (float(failed) - old)
        self._failing_time = now

    def read_latency(self, now, typical):
        """Return the expected time of a request that need not wait.

        Parameters
        ----------
        now : float
            Monotonic time in seconds.
        typical : float
            Typical latency of the service in seconds; an old estimate fades
            to it.

        Returns
        -------
        float
            Seconds.
        """
        latency = self._latency
        if latency is None:
            return typical
        gap = now - self._latency_time
        return typical + (latency - typical) * math.exp(-gap / FADE_S)

    def estimate_other_load(self, now, life):
        """Return the expected number of requests of other hosts.

        Parameters
        ----------
        now : float
            Monotonic time in seconds.
        life : float
            Time in which a report loses half of its value, in seconds.

        Returns
        -------
        float
            Requests at the target that other hosts sent.
        """
        since = self._others_time
        if since is None:
            return 0.0
        now = max(now, since)
        mean = self._others_mean
        return mean + (self._others - mean) * life / (life + now - since)

    def estimate_failure_rate(self, now):
        """Return the share of attempts that fail.

        Parameters
        ----------
        now : float
            Monotonic time in seconds.

        Returns
        -------
        float
            0 to 1.
        """
        if not self._failing:
            return 0.0
        return self._failing * math.exp(-(now - self._failing_time) / FADE_S)

    def estimate_finish_time(self, own, slots, typical, now):
        """Return the expected time until a new request is answered.

        The load at the target is this host's own requests, which are known,
        plus those of other hosts. The latest report of these is worth less
        the older it is, because the requests it counted end at the rate of
        one in each latency; the estimate fades to the long-run mean.

        Parameters
        ----------
        own : int
            Requests of this host at the target.
        slots : int
            Requests it runs at once.
        typical : float
            Typical latency of the service in seconds.
        now : float
            Monotonic time in seconds.

        Returns
        -------
        float
            Seconds, weighted with the failing share.
        """
        latency = typical
        if self._latency is not None and self._latency > SLOW_FACTOR * typical:
            # A target that was slow is tried with one request at a time: its
            # slow answers arrive too late to stop the next ones.
            known = self._latency if own else self.read_latency(now, typical)
            if known > SLOW_FACTOR * typical:
                latency = known / SLOW_FACTOR
        load = own
        since = self._others_time
        if since is not None:
            if since > now:
                since = now
            # As ``estimate_other_load``; a call for each target would dominate the
            # cost of a decision.
            mean = self._others_mean
            load += mean + (self._others - mean) * latency / (latency + now - since)
        # Expected number that must end first, of a load that varies like a
        # Poisson number around its estimate.
        excess = load + 1.0 - slots
        ahead = 0.5 * (excess + math.sqrt(excess * excess + load))
        finish = latency * (1.0 + ahead / slots)
        if self._failing:
            finish *= 1.0 + FAILURE_COST * self.estimate_failure_rate(now)
        return finish
