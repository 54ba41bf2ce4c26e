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
    return sorted(
        set(names),
        key=lambda name: (xxhash.xxh3_64_intdigest(f"{name}\0{key}".encode()), name),
        reverse=True,
    )


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
