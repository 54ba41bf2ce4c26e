"""Mappings that hold a bounded number of entries."""


def drop_oldest(mapping, max_entries):
    """Drop the oldest entries until at most a given number is left.

    Parameters
    ----------
    mapping : dict
        Mapping to shorten; its order is the order of insertion.
    max_entries : int
        Highest number of entries to keep.
    """
    while len(mapping) > max_entries:
        del mapping[next(iter(mapping))]
