"""Tokens that come back to a bucket, as far as it would have kept them."""

from collections import deque

# Moments that are remembered of each bucket. Tokens issued before the first of them
# cannot be returned.
MAX_MOMENTS = 128


class ReturnedTokens:
    """Room that a bucket had since each moment at which a token was issued.

    A bucket does not collect tokens while it is full. A returned token must not exceed
    what the bucket would hold if it had never been issued, so only the room counts that
    the bucket had all the time in between.

    Parameters
    ----------
    now_ms : int
        Clock in milliseconds.
    """

    def __init__(self, now_ms):
        self._known_since_ms = now_ms
        # Moments and the room in the bucket, of which both increase: an earlier moment
        # with more room than a later one never decides.
        self._moments = deque()

    def record(self, now_ms, room):
        """Record the state of the bucket after it was filled.

        Parameters
        ----------
        now_ms : int
            Clock in milliseconds.
        room : float
            Tokens that it can collect until it is full.
        """
        while self._moments and self._moments[-1][1] >= room:
            self._moments.pop()
        self._moments.append((now_ms, room))
        if len(self._moments) > MAX_MOMENTS:
            self._known_since_ms, _ = self._moments.popleft()

    def take_back(self, issued_ms, now_ms):
        """Return how much of a returned token the bucket gets.

        Parameters
        ----------
        issued_ms : int
            When the token was issued, in milliseconds.
        now_ms : int
            Clock in milliseconds.

        Returns
        -------
        float
            From 0 to 1.
        """
        if not self._known_since_ms <= issued_ms <= now_ms:
            return 0.0
        later = [moment for moment in self._moments if moment[0] > issued_ms]
        token = max(0.0, min(1.0, later[0][1])) if later else 1.0
        for _ in later:
            self._moments.pop()
        for moment_ms, room in later:
            self.record(moment_ms, room - token)
        return token
