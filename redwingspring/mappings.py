"""Mappings that hold a bounded number of entries."""


def drop_oldest(mapping, most):
    """Drop the entries that were added first while there are too many.

    Parameters
    ----------
    mapping : dict
        Its entries stand in the order in which they were added.
    most : int
        Entries that may stay.
    """
    while len(mapping) > most:
        del mapping[next(iter(mapping))]
