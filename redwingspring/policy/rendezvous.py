"""Rendezvous hashing: ranks hosts for a key without coordination between them."""

import math

import xxhash


def rank_hosts(names, key):
    """Return host names ranked by their hash for a key.

    Two lists of hosts that differ in d names differ in at most d of the names that
    rank first. Source: Thaler and Ravishankar, 1998.

    Parameters
    ----------
    names : iterable of str
        Host names.
    key : str
        Key to rank the hosts for.

    Returns
    -------
    list of str
        Highest hash first.
    """
    return sorted(set(names), key=lambda name: _hash(name, key), reverse=True)


def find_owner(names, key):
    """Return the host name that ranks first for a key.

    It takes one pass, where a ranking of hundreds of hosts would sort them.

    Parameters
    ----------
    names : iterable of str
        Host names.
    key : str
        Key to rank the hosts for.

    Returns
    -------
    str or None
        The first of ``rank_hosts``; None without hosts.
    """
    return max(names, key=lambda name: _hash(name, key), default=None)


def _hash(name, key):
    return (xxhash.xxh3_64_intdigest(f"{name}\0{key}".encode()), name)


def select_readers(names, minimum=3):
    """Return the hosts that watch the configuration service.

    Parameters
    ----------
    names : iterable of str
        Live hosts.
    minimum : int, default=3
        Minimum number of readers; all hosts when there are fewer.

    Returns
    -------
    list of str
        The first ceil(sqrt(N)) of N hosts by rendezvous hash.
    """
    ranked = rank_hosts(names, "configuration-readers")
    return ranked[: max(minimum, math.ceil(math.sqrt(len(ranked))))]
