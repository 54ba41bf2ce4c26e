"""Choice of where a host hears of the store's changes."""

from .clock import read_clock
from .rendezvous import rank_hosts

# A watch of the store that answers nothing for this long is asked anew, because a
# connection on which an answer was lost stays silent.
WATCH_WAIT_S = 0.9
# A source that failed is left out for this long.
FEED_FAILED_S = 1.0
STORE_FAILED_S = 2.5


class StoreSource:
    """The store itself as a source.

    Parameters
    ----------
    store : StoreClient
        Client of the store.
    wait_s : float
        Longest wait of a watch in seconds.
    """

    name = "store"
    is_store = True

    def __init__(self, store, wait_s):
        self._store = store
        self._wait_s = wait_s

    def read_all(self):
        """Return everything that the store holds.

        Returns
        -------
        tuple of (StoreSnapshot, float)
            The state and its age, which is 0.
        """
        return self._store.read_all(), 0.0

    def watch(self, after):
        """Wait for changes.

        Parameters
        ----------
        after : int
            Revision after which changes are wanted.

        Returns
        -------
        tuple of (tuple of StoreChange, int, float)
            The changes, the revision to go on from, and their age, which is 0.
        """
        changes, revision = self._store.watch(after, self._wait_s)
        return changes, revision, 0.0


class SourceChoice:
    """Orders the sources of a host.

    One host of each data centre, found by rendezvous hashing, asks the store; the
    others ask that host. When it fails, the readers of the other data centres
    come next, then the store.

    Parameters
    ----------
    members : Members
        Hosts that are alive.
    store : StoreSource
        The store.
    open_feed : callable
        Returns a FeedClient for an address.
    clock : callable, default=read_clock
        Returns seconds.
    """

    def __init__(self, members, store, open_feed, clock=read_clock):
        self._members = members
        self._store = store
        self._open_feed = open_feed
        self._clock = clock
        self._feeds = {}
        self._failed = {}
        self._is_reader = False

    def choose(self):
        """Return the source to ask now.

        Returns
        -------
        StoreSource, FeedClient or None
            The first in order that has not just failed; None when all have.
        """
        now = self._clock()
        for source in self._list_sources():
            if now >= self._failed.get(source.name, 0.0):
                return source
        return None

    def note_failed(self, source):
        """Leave a source out for a while.

        Parameters
        ----------
        source : StoreSource or FeedClient
            The source.
        """
        wait_s = STORE_FAILED_S if source.is_store else FEED_FAILED_S
        if self._is_reader:
            # The others rely on this host to find the store again.
            wait_s = FEED_FAILED_S
        self._failed[source.name] = self._clock() + wait_s

    def note_answered(self, source):
        """Forget the failures of a source.

        Parameters
        ----------
        source : StoreSource or FeedClient
            The source.
        """
        self._failed.pop(source.name, None)

    def _list_sources(self):
        own = self._members.own
        readers = self._find_readers()
        reader = readers.pop(own.data_centre, own)
        others = [readers[name] for name in sorted(readers)]
        self._forget_feeds([reader, *others])
        feeds = [self._find_feed(member) for member in others]
        self._is_reader = reader.name == own.name
        if self._is_reader:
            return [self._store, *feeds]
        return [self._find_feed(reader), *feeds, self._store]

    def _find_readers(self):
        """Return the host of each data centre that asks the store."""
        groups = {}
        for member in self._members.list_steady():
            groups.setdefault(member.data_centre, {})[member.name] = member
        return {
            name: group[rank_hosts(group, "store-reader")[0]]
            for name, group in groups.items()
        }

    def _find_feed(self, member):
        address = member.peer_address
        feed = self._feeds.get(address)
        if feed is None:
            feed = self._feeds[address] = self._open_feed(address)
        return feed

    def _forget_feeds(self, members):
        wanted = {member.peer_address for member in members}
        for address in self._feeds.keys() - wanted:
            self._feeds.pop(address).close()
