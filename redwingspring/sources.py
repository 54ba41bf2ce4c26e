"""Choice of where a host hears of the store's changes."""

from .clock import read_clock
from .feed import FROM_STORE
from .rendezvous import rank_hosts
from .storestate import StoreError

# A watch of the store that answers nothing for this long is asked anew, because a
# connection on which an answer was lost stays silent.
WATCH_WAIT_S = 0.9
# A reader's source asks the store itself; other hosts ask a reader.
MAX_READER_HOPS = 1
# A source that failed is left out for this long.
FEED_BACKOFF_S = 1.0
STORE_BACKOFF_S = 2.5
# Readers are hosts that bear at least this part of what the strongest host bears:
# all others of a data centre ask them, and a change goes out to all at once.
MIN_READER_CAPACITY_RATIO = 0.5


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
        tuple of (StoreSnapshot, Confirmation)
            The state, and that it comes from the store.
        """
        return self._store.read_all(), FROM_STORE

    def watch(self, after):
        """Wait for changes.

        Parameters
        ----------
        after : int
            Revision after which changes are wanted.

        Returns
        -------
        tuple of (tuple of StoreChange, int, Confirmation)
            The changes, the revision to go on from, and that they come from the
            store.
        """
        changes, revision = self._store.watch(after, self._wait_s)
        return changes, revision, FROM_STORE


class SourceSelector:
    """Orders the sources of a host.

    One strong host of each data centre, found by rendezvous hashing, reads for it; the
    others ask that host. One of the readers asks the store, and the other readers
    ask it. When a source fails, a reader turns to the store, and another host to
    the readers of the other data centres, then to the store.

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

    def note_failure(self, source):
        """Leave a source out for a while.

        Parameters
        ----------
        source : StoreSource or FeedClient
            The source.
        """
        wait_s = STORE_BACKOFF_S if source.is_store else FEED_BACKOFF_S
        if self._is_reader:
            # The others rely on this host to find the store again.
            wait_s = FEED_BACKOFF_S
        self._failed[source.name] = self._clock() + wait_s

    def note_success(self, source):
        """Forget the failures of a source.

        Parameters
        ----------
        source : StoreSource or FeedClient
            The source.
        """
        self._failed.pop(source.name, None)

    def check_hops(self, source, confirmation):
        """Refuse what hosts have passed on to each other too often.

        Readers that took each other's word would all rest on a store that none of
        them asks, and learn late that it is away or that nobody hears it.

        Parameters
        ----------
        source : StoreSource or FeedClient
            The source.
        confirmation : Confirmation
            How fresh its answer is.

        Raises
        ------
        StoreError
            If the source has it from another host of the same rank.
        """
        most = MAX_READER_HOPS if self._is_reader else MAX_READER_HOPS + 1
        if confirmation.hops > most:
            raise StoreError(f"{source.name} does not hear the store itself")

    def _list_sources(self):
        own = self._members.own
        readers = self._find_readers()
        reader = readers.pop(own.data_centre, own)
        first = self._find_first([reader, *readers.values()])
        others = [readers[name] for name in sorted(readers)]
        self._forget_feeds([reader, *others])
        feeds = [self._find_feed(member) for member in others]
        self._is_reader = reader.name == own.name
        if not self._is_reader:
            return [self._find_feed(reader), *feeds, self._store]
        if first.name == own.name:
            return [self._store, *feeds]
        nearest = self._find_feed(first)
        return [nearest, self._store, *(f for f in feeds if f is not nearest)]

    def _find_first(self, readers):
        """Return the reader that asks the store for all."""
        return _choose_reader(readers)

    def _find_readers(self):
        """Return the host of each data centre that asks the store."""
        groups = {}
        for member in self._members.list_not_leaving():
            groups.setdefault(member.data_centre, []).append(member)
        return {name: _choose_reader(group) for name, group in groups.items()}

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


def _choose_reader(members):
    """Return the host that reads for others, by rendezvous hash among the strong."""
    least = MIN_READER_CAPACITY_RATIO * max(member.capacity for member in members)
    strong = {m.name: m for m in members if m.capacity >= least}
    return strong[rank_hosts(strong, "store-reader")[0]]
