"""Addresses of entry hosts as a caller knows them."""

import json
import random
import threading
import time
from dataclasses import dataclass
from urllib.parse import quote, urlencode

from expression import Error, Ok

from .callerconnections import PAGE_TIMEOUT_S, read_host, read_page
from .verdict import Reason

# A wrong answer must not be kept for ever.
MAX_KEEP_S = 3600.0
# Least time between two questions for addresses while answers do not help.
ASK_PAUSE_S = 1.0
# Longest time that a request spends on a new answer while an old one is known.
MAX_REFRESH_S = 2.0
# How long a host that failed is tried after the others.
AVOID_S = 5.0


@dataclass(frozen=True)
class _Addresses:
    """Answer to the question which hosts to use."""

    hosts: tuple
    expires_at: float


class AddressCache:
    """Asks entry hosts for addresses and keeps the answer for its time.

    Parameters
    ----------
    service : str
        Name of the service.
    seeds : tuple of str
        ``ip:port`` of entry hosts that can be asked.
    data_centre : str or None
        Data centre of the caller.
    """

    def __init__(self, service, seeds, data_centre):
        self._service = service
        self._seeds = seeds
        self._data_centre = data_centre
        self._asking = threading.Lock()
        self._addresses = None
        self._avoided = {}
        self._ask_again_at = 0.0

    def find(self, deadline):
        """Return the hosts to use, in order.

        Parameters
        ----------
        deadline : float
            Unix time in seconds at which to stop asking.

        Returns
        -------
        expression.Result
            Ok with a tuple of ``ip:port``, or an Error with the reason and
            a detail. A stale answer is returned when no host can be asked.
        """
        known = self._addresses
        if known is not None and self._is_usable(known):
            return Ok(self._order(known.hosts))
        # With a stale answer at hand, one thread asks and the others go on.
        wait = max(0.0, deadline - time.time()) if known is None else 0.0
        if not self._asking.acquire(timeout=wait):
            if known is not None:
                return Ok(self._order(known.hosts))
            return Error((Reason.DEADLINE, "the deadline passed while asking"))
        try:
            if self._addresses is known:
                asked = self._ask_hosts(known, deadline)
                if asked.is_error():
                    return asked
            return Ok(self._order(self._addresses.hosts))
        finally:
            self._asking.release()

    def _is_usable(self, addresses):
        """Tell whether no host need be asked again now."""
        now = time.monotonic()
        if now < self._ask_again_at:
            return True
        if now >= addresses.expires_at:
            return False
        return any(self._avoided.get(host, 0.0) <= now for host in addresses.hosts)

    def _order(self, hosts):
        """Return hosts with those that failed lately behind the others."""
        now = time.monotonic()
        return tuple(sorted(hosts, key=lambda h: self._avoided.get(h, 0.0) > now))

    def avoid(self, host):
        """Try a host that failed after the others for a time.

        Parameters
        ----------
        host : str
            ``ip:port`` of the entry host.
        """
        now = time.monotonic()
        kept = {h: until for h, until in self._avoided.items() if until > now}
        self._avoided = {**kept, host: now + AVOID_S}

    def _ask_hosts(self, known, deadline):
        """Ask hosts in random order until one answers."""
        # A failed or useless answer must not cause a question per request.
        self._ask_again_at = time.monotonic() + ASK_PAUSE_S
        seeds = random.sample(self._seeds, len(self._seeds))
        order = self._order(dict.fromkeys((*seeds, *(known.hosts if known else ()))))
        if known is not None:
            deadline = min(deadline, time.time() + MAX_REFRESH_S)
        reason, detail = Reason.CONNECT, "no host was given to ask"
        for host in order:
            remaining = deadline - time.time()
            if remaining <= 0:
                reason, detail = Reason.DEADLINE, "the deadline passed while asking"
                break
            asked_at = time.monotonic()
            wait = min(PAGE_TIMEOUT_S, remaining)
            page = read_page(host, self._address_path(), timeout=wait)
            if page.is_error():
                detail = f"no host could be asked; {host}: {page.error}"
                continue
            addresses = _read_addresses(page.ok, asked_at)
            if addresses is not None:
                self._addresses = addresses
                self._ask_again_at = min(self._ask_again_at, addresses.expires_at)
                return Ok(None)
            if page.ok.status == 404:
                reason = Reason.UNKNOWN_SERVICE
            detail = f"{host} answered with status {page.ok.status}"
        # The answer may be old, but its hosts are the only ones known.
        return Ok(None) if known is not None else Error((reason, detail))

    def _address_path(self):
        path = f"/-/address/{quote(self._service, safe='')}"
        if self._data_centre is not None:
            path += "?" + urlencode({"data_centre": self._data_centre})
        return path


def _read_addresses(page, asked_at):
    """Return the addresses of a page, or None when it has none."""
    if page.status != 200:
        return None
    try:
        document = json.loads(page.text)
        hosts = tuple(read_host(item["address"]) for item in document["hosts"])
        keep = float(document["keep_seconds"])
    except (ValueError, TypeError, KeyError, AttributeError):
        return None
    if not hosts or None in hosts or not keep >= 0:
        return None
    # The time counts from the question, so it ends no later than the host
    # that answered expects.
    return _Addresses(hosts, asked_at + min(keep, MAX_KEEP_S))
