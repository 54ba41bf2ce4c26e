"""Selection of the source from which a host reads the store's changes."""

from .clock import read_clock
from .feedmessages import Confirmation
from .policy.rendezvous import rank_hosts
from .storestate import StoreError

# A watch of the store ends after this long and is sent again, because a connection on
# which a response was lost delivers nothing more.
WATCH_WAIT_S = 0.9
# Shortest wait of a watch that only renews the confirmation of the store.
MIN_WATCH_WAIT_S = 0.05
# Hops of the data that a reader accepts: its source must read the store itself. Other
# hosts read from a reader and accept one hop more.
MAX_READER_HOPS = 1
# A source that failed is skipped for this long.
FEED_BACKOFF_S = 1.0
STORE_BACKOFF_S = 2.5
# Interval at which the readers are chosen again from the member list.
READERS_REFRESH_S = 0.2
# Readers have at least this share of the capacity of the strongest host, because all
# other hosts of a data centre read from them and a change is sent to all at once.
MIN_READER_CAPACITY_RATIO = 0.5


class StoreSource:
    """The store itself as a source.

    Parameters
    ----------
    store : StoreClient
        Client of the store.
    wait_s : float
        Longest wait of a watch in seconds.
    renews_early : bool, default=False
        Whether a watch that follows changes ends one wait after the last confirmation,
        which bounds its age at the price of one more call.
    clock : callable, default=read_clock
        Returns seconds.
    """

    name = "store"
    is_store = True

    def __init__(self, store, wait_s, renews_early=False, clock=read_clock):
        self._store = store
        self._wait_s = wait_s
        self._renews_early = renews_early
        self._clock = clock
        self._confirmed_at = float("-inf")

    def read_all(self, epoch):
        """Return a snapshot of the store.

        Parameters
        ----------
        epoch : int
            Lowest epoch that is wanted.

        Returns
        -------
        tuple of (StoreSnapshot, Confirmation)
            The snapshot, confirmed by the store itself.
        """
        sent_at = self._clock()
        snapshot = self._store.read_all(epoch=epoch)
        return snapshot, self._build_confirmation(sent_at)

    def watch(self, after):
        """Wait for changes after a position.

        Parameters
        ----------
        after : StorePosition
            Position after which changes are wanted.

        Returns
        -------
        tuple of (tuple of StoreChange, StorePosition, Confirmation)
            The changes, confirmed by the store itself, and the position to
            continue from.
        """
        sent_at = self._clock()
        wait_s = self._choose_wait(sent_at)
        changes, position = self._store.watch(after.revision, wait_s)
        confirmed_at = sent_at
        # Only a watch that found nothing is known to have waited. Events that cannot
        # be read are left out of the changes, but they increase the revision.
        waited = self._clock() - sent_at >= wait_s
        if waited and not changes and position == after:
            confirmed_at = sent_at + wait_s
        return changes, position, self._build_confirmation(confirmed_at)

    def _choose_wait(self, now):
        """Return the wait of the next watch in seconds, in whole milliseconds."""
        if not self._renews_early:
            return self._wait_s
        remaining_s = self._confirmed_at + self._wait_s - now
        wait_s = min(self._wait_s, max(MIN_WATCH_WAIT_S, remaining_s))
        # The store waits for whole milliseconds. A wait that it shortens would look
        # like a watch that ended early.
        return round(wait_s, 3)

    def _build_confirmation(self, confirmed_at):
        self._confirmed_at = confirmed_at
        return Confirmation(confirmed_at=confirmed_at)


class SourceSelector:
    """Selects the source that this host reads the store's changes from.

    Each data centre has one reader, selected by rendezvous hashing among its hosts of
    sufficient capacity. One of the readers reads from the store, and the other readers
    read from that one; every other host reads from the reader of its data centre. When
    its source fails, a reader falls back to the store, and another host first to the
    readers of the other data centres, then to the store.

    Parameters
    ----------
    members : Members
        Membership table.
    store : StoreSource
        The store.
    open_feed : callable
        Returns a FeedClient for an address.
    clock : callable, default=read_clock
        Returns seconds.
    is_first_start : bool, default=False
        Whether all hosts start for the first time. Until its first response a host
        then reads no feed of another data centre, because hundreds of snapshots at
        once would fill the links between data centres.
    """

    def __init__(
        self, members, store, open_feed, clock=read_clock, is_first_start=False
    ):
        self.newest_epoch = 0
        self._members = members
        self._store = store
        self._open_feed = open_feed
        self._clock = clock
        self._feeds = {}
        self._skipped_until = {}
        self._is_reader = False
        self._stays_local = is_first_start
        self._sources = []
        self._sources_until = float("-inf")

    def choose(self):
        """Return the source to read from now.

        Returns
        -------
        StoreSource, FeedClient or None
            The first in order of preference that has not failed recently; None
            when all have.
        """
        now = self._clock()
        if now >= self._sources_until:
            self._sources = self._list_sources()
            self._sources_until = now + READERS_REFRESH_S
        for source in self._sources:
            if now >= self._skipped_until.get(source.name, 0.0):
                return source
        return None

    def count_hops(self):
        """Return how many hosts are between this one and the store.

        Returns
        -------
        int
            0 for the host that reads the store, 1 for the readers of the other data
            centres, 2 for all other hosts.
        """
        sources = self._list_sources()
        if sources[0].is_store:
            return 0
        return 1 if self._is_reader else 2

    def record_failure(self, source):
        """Skip a source for a while after a failure.

        Parameters
        ----------
        source : StoreSource or FeedClient
            The source.
        """
        wait_s = STORE_BACKOFF_S if source.is_store else FEED_BACKOFF_S
        if self._is_reader:
            # The other hosts rely on this one to reconnect to the store quickly.
            wait_s = FEED_BACKOFF_S
        self._skipped_until[source.name] = self._clock() + wait_s

    def record_success(self, source):
        """Clear the backoff of a source.

        Parameters
        ----------
        source : StoreSource or FeedClient
            The source.
        """
        self._skipped_until.pop(source.name, None)
        self._stays_local = False

    def check_hops(self, source, confirmation):
        """Reject data that was forwarded by too many hosts.

        Without this limit readers could read from each other while none of them reads
        the store, and would learn late that it is down or that none of them reaches it.

        Parameters
        ----------
        source : StoreSource or FeedClient
            The source.
        confirmation : Confirmation
            Age and hops of its response.

        Raises
        ------
        StoreError
            If the data has more hops than this host accepts.
        """
        limit = MAX_READER_HOPS if self._is_reader else MAX_READER_HOPS + 1
        if confirmation.hops > limit:
            raise StoreError(f"{source.name} is too many hops away from the store")

    def record_epoch(self, epoch):
        """Record an epoch of the store that a source showed.

        Parameters
        ----------
        epoch : int
            The epoch.
        """
        self.newest_epoch = max(self.newest_epoch, epoch)

    def check_epoch(self, source, epoch):
        """Reject data of an older epoch than the newest that this host has seen.

        Parameters
        ----------
        source : StoreSource or FeedClient
            The source.
        epoch : int
            Epoch of its response.

        Raises
        ------
        StoreError
            If another source has shown a newer epoch.
        """
        self.record_epoch(epoch)
        if epoch < self.newest_epoch:
            raise StoreError(
                f"{source.name} still has epoch {epoch} of the store, "
                f"the newest is {self.newest_epoch}"
            )

    def _list_sources(self):
        own = self._members.own
        readers = self._choose_readers()
        reader = readers.pop(own.data_centre, own)
        store_reader = self._choose_store_reader([reader, *readers.values()])
        others = [readers[name] for name in sorted(readers)]
        self._close_unused_feeds([reader, *others])
        feeds = [self._get_feed(member) for member in others]
        self._is_reader = reader.name == own.name
        if not self._is_reader and self._stays_local:
            return [self._get_feed(reader), self._store]
        if not self._is_reader:
            return [self._get_feed(reader), *feeds, self._store]
        if store_reader.name == own.name:
            return [self._store, *feeds]
        preferred = self._get_feed(store_reader)
        return [preferred, self._store, *(f for f in feeds if f is not preferred)]

    def _choose_store_reader(self, readers):
        """Return the reader that reads from the store on behalf of all hosts."""
        return _choose_reader(readers)

    def _choose_readers(self):
        """Return the readers by data centre."""
        groups = {}
        for member in self._members.list_not_leaving():
            groups.setdefault(member.data_centre, []).append(member)
        return {name: _choose_reader(group) for name, group in groups.items()}

    def _get_feed(self, member):
        address = member.peer_address
        feed = self._feeds.get(address)
        if feed is None:
            feed = self._feeds[address] = self._open_feed(address)
        return feed

    def _close_unused_feeds(self, members):
        used = {member.peer_address for member in members}
        for address in self._feeds.keys() - used:
            self._feeds.pop(address).close()


def _choose_reader(members):
    """Return the first host by rendezvous hash among those of sufficient capacity."""
    min_capacity = MIN_READER_CAPACITY_RATIO * max(
        member.capacity for member in members
    )
    eligible = {m.name: m for m in members if m.capacity >= min_capacity}
    return eligible[rank_hosts(eligible, "store-reader")[0]]
