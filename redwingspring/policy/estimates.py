"""A host's estimates of the latency, load and failure rate of a target."""

import math

# Weight of a new sample in the moving averages.
SAMPLE_WEIGHT = 0.2
# Time constant of the exponential decay of old estimates, so that a target that
# was slow is tried again.
DECAY_TIME_S = 2.0
# Weight of one failure or success in the failure rate.
FAILURE_WEIGHT = 0.3
# Penalty on the expected finish time in proportion to the failure rate; at a rate
# of 1 the time is multiplied by 1 + this factor.
FAILURE_PENALTY = 20.0
# Factor on the time until an attempt was cancelled because another attempt, which
# began later, was answered first. The hedge hides how slow the target really is, so
# the cancelled attempt counts as this many times longer.
CANCELLED_LATENCY_FACTOR = 3.0
# Latencies up to this multiple of the typical latency are treated as equal: they
# vary between requests, and following them moves load for no reason.
SLOW_LATENCY_FACTOR = 2.0


class TargetEstimate:
    """Latency, load and failure rate of one target.

    Writers hold the lock of the target's state. Readers take no lock and accept
    values that are slightly out of date.
    """

    __slots__ = (
        "_failure_rate",
        "_failure_rate_time",
        "_latency",
        "_latency_time",
        "_other_load",
        "_other_load_mean",
        "_other_load_time",
        "samples",
    )

    def __init__(self):
        self.samples = 0
        self._latency = None
        self._latency_time = 0.0
        self._other_load = 0.0
        self._other_load_mean = 0.0
        self._other_load_time = None
        self._failure_rate = 0.0
        self._failure_rate_time = 0.0

    @property
    def latency(self):
        """Average time until a response began, in seconds, or None."""
        return self._latency

    def record_latency(self, seconds, now, queue_factor=1.0):
        """Add a latency sample.

        Parameters
        ----------
        seconds : float
            Time until the response began.
        now : float
            Monotonic time in seconds.
        queue_factor : float, default=1.0
            Factor by which queueing at the target lengthened the latency.
        """
        self.samples += 1
        sample = seconds / queue_factor
        if self._latency is None:
            self._latency = sample
        else:
            # The longer ago the last sample, the less weight the old average has.
            age = now - self._latency_time
            weight = max(SAMPLE_WEIGHT, 1.0 - math.exp(-age / DECAY_TIME_S))
            self._latency += weight * (sample - self._latency)
        self._latency_time = now

    def record_cancelled_latency(self, seconds, now):
        """Add the latency of an attempt that another one overtook; never lower it.

        Parameters
        ----------
        seconds : float
            Time until the cancellation.
        now : float
            Monotonic time in seconds.
        """
        seconds *= CANCELLED_LATENCY_FACTOR
        if self._latency is None or seconds > self._latency:
            self.record_latency(seconds, now)

    def record_other_load(self, count, now):
        """Record how many requests of other hosts are at the target.

        Parameters
        ----------
        count : float
            Requests in the load report minus those of this host.
        now : float
            Monotonic time in seconds.
        """
        if self._other_load_time is None:
            self._other_load_mean = count
        else:
            self._other_load_mean += SAMPLE_WEIGHT * (count - self._other_load_mean)
        self._other_load = count
        self._other_load_time = now

    def record_outcome(self, failed, now):
        """Record whether an attempt failed.

        Parameters
        ----------
        failed : bool
            Whether the attempt failed.
        now : float
            Monotonic time in seconds.
        """
        old = self.estimate_failure_rate(now)
        self._failure_rate = old + FAILURE_WEIGHT * (float(failed) - old)
        self._failure_rate_time = now

    def estimate_latency(self, now, typical_latency):
        """Return the expected latency of a request that is not queued.

        Parameters
        ----------
        now : float
            Monotonic time in seconds.
        typical_latency : float
            Typical latency of the service in seconds, to which an old
            estimate decays.

        Returns
        -------
        float
            Seconds.
        """
        latency = self._latency
        if latency is None:
            return typical_latency
        age = now - self._latency_time
        return typical_latency + (latency - typical_latency) * math.exp(
            -age / DECAY_TIME_S
        )

    def estimate_other_load(self, now, half_life):
        """Return the expected number of requests of other hosts.

        Parameters
        ----------
        now : float
            Monotonic time in seconds.
        half_life : float
            Age in seconds at which a report has half of its weight.

        Returns
        -------
        float
            Requests of other hosts at the target.
        """
        reported_at = self._other_load_time
        if reported_at is None:
            return 0.0
        now = max(now, reported_at)
        mean = self._other_load_mean
        return mean + (self._other_load - mean) * half_life / (
            half_life + now - reported_at
        )

    def estimate_failure_rate(self, now):
        """Return the expected share of attempts that fail.

        Parameters
        ----------
        now : float
            Monotonic time in seconds.

        Returns
        -------
        float
            0 to 1.
        """
        if not self._failure_rate:
            return 0.0
        return self._failure_rate * math.exp(
            -(now - self._failure_rate_time) / DECAY_TIME_S
        )

    def estimate_finish_time(self, own_requests, slots, typical_latency, now):
        """Return the expected time until a new request is answered.

        The load at the target is the known number of this host's requests
        plus the estimated number of other hosts' requests. The weight of the
        latest report falls with its age, because each request it counted ends
        after about one latency; the estimate decays to the long-run mean.

        Parameters
        ----------
        own_requests : int
            Requests of this host at the target.
        slots : int
            Requests that the target processes concurrently.
        typical_latency : float
            Typical latency of the service in seconds.
        now : float
            Monotonic time in seconds.

        Returns
        -------
        float
            Seconds, increased in proportion to the failure rate.
        """
        latency = typical_latency
        if (
            self._latency is not None
            and self._latency > SLOW_LATENCY_FACTOR * typical_latency
        ):
            # The latency of a slow target does not decay while this host has a
            # request there, so it is tried with one request at a time. Otherwise
            # its slow responses would arrive too late to stop further requests.
            known = (
                self._latency
                if own_requests
                else self.estimate_latency(now, typical_latency)
            )
            if known > SLOW_LATENCY_FACTOR * typical_latency:
                latency = known / SLOW_LATENCY_FACTOR
        load = own_requests
        reported_at = self._other_load_time
        if reported_at is not None:
            if reported_at > now:
                reported_at = now
            # Same as ``estimate_other_load``, inlined because a call for each
            # target would dominate the cost of a decision.
            mean = self._other_load_mean
            load += mean + (self._other_load - mean) * latency / (
                latency + now - reported_at
            )
        # Expected number of requests that must finish before this one can start,
        # with the load Poisson distributed around its estimate.
        excess = load + 1.0 - slots
        ahead = 0.5 * (excess + math.sqrt(excess * excess + load))
        finish = latency * (1.0 + ahead / slots)
        if self._failure_rate:
            finish *= 1.0 + FAILURE_PENALTY * self.estimate_failure_rate(now)
        return finish
