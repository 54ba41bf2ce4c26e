"""Use of a retry budget that does not cover all retries; no input or output.

Load pattern: targets refuse a large share of their requests for seconds although they
have free slots. The retry budget of all hosts covers only a part of the retries, and
hedges use it up as well. A caller that is refused for the first time returns by itself,
and its next request counts as a new one; a caller that has returned already may have no
retry left. So a part of the budget is kept for requests of callers that have returned,
and hedges leave what retries are expected to need.
"""

from dataclasses import dataclass

# Prior wait of a caller from which its request counts as returned. Estimates of the
# prior wait have a resolution of 1 ms.
MIN_RETURNED_WAIT_S = 0.003
# Fraction of the retry budget for retries of requests whose callers can return.
FIRST_REFUSAL_FRACTION = 0.5
# Fraction of the retry budget that hedges may use; the rest is kept for retries.
HEDGE_FRACTION = 0.85


@dataclass(frozen=True)
class BudgetUse:
    """Part of the retry budget that one extra send may use.

    Attributes
    ----------
    fraction : float, default=1.0
        Fraction of the budget up to which it may be used.
    yields_to_retries : bool, default=False
        Whether the retries that are expected in the window are kept free.
    """

    fraction: float = 1.0
    yields_to_retries: bool = False


HEDGE_USE = BudgetUse(HEDGE_FRACTION, yields_to_retries=True)
RETRY_USE = BudgetUse()
FIRST_REFUSAL_USE = BudgetUse(FIRST_REFUSAL_FRACTION)


def choose_retry_use(proves_not_run, prior_wait_s):
    """Return the part of the budget that a retry may use.

    Parameters
    ----------
    proves_not_run : bool
        Whether it is proved that the failed attempt did not run. Otherwise a caller
        may not repeat the request, or does not know when to.
    prior_wait_s : float
        Seconds that the caller had waited before this request arrived.

    Returns
    -------
    BudgetUse
        The part.
    """
    if proves_not_run and prior_wait_s < MIN_RETURNED_WAIT_S:
        return FIRST_REFUSAL_USE
    return RETRY_USE
