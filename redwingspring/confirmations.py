"""Time at which the store last confirmed the state in force at this host."""

# Without a confirmation for this long, a newer configuration may exist. A key or route
# that is unknown to the one in force then gets 503 instead of a final rejection.
MAX_CONFIRMED_AGE_S = 3.0
# Retry time of requests that are rejected for lack of a recent confirmation.
RENEWAL_RETRY_AFTER_S = 0.3


class LastConfirmation:
    """Lower bound of the time at which the store last held the state in force.

    The follower records a confirmation after the state that it belongs to has been put
    in force, and decisions read the time before they read that state. So the state
    that they read is never older than the time.
    """

    def __init__(self):
        self.confirmed_at = float("-inf")

    def record(self, confirmation):
        """Record a confirmation unless a later one is known.

        Parameters
        ----------
        confirmation : Confirmation
            When the store confirmed the state that is now in force.
        """
        self.confirmed_at = max(self.confirmed_at, confirmation.confirmed_at)
