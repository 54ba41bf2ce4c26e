"""Watches the configuration in force at the hosts of a fleet."""

import threading
import time

import urllib3

POLL_S = 0.05


def read_revision(http, address, key="configuration"):
    """Return revision and digest in force at a host that takes work.

    A host that refuses work may still know an older value, which then has no
    effect; None stands for it and for a host that tells no revision.
    """
    url = f"http://{address}/-/status"
    text = http.request("GET", url, timeout=2.0).data.decode()
    lines = text.splitlines()
    if not any(line.startswith("state ") and " taken yes " in line for line in lines):
        return None
    for line in lines:
        words = line.split()
        if words[0] == key and words[1] != "none":
            return int(words[1]), words[3]
    return None


class RevisionWatcher:
    """Polls hosts and notes every time that a revision went down.

    Parameters
    ----------
    fleet : Fleet
        Whose hosts to watch.
    """

    def __init__(self, fleet):
        self._fleet = fleet
        self._http = urllib3.PoolManager(retries=False, maxsize=4)
        self._stopping = threading.Event()
        self.reversals = []
        self.seen = {}
        self._thread = threading.Thread(target=self._run, daemon=True)
        self._thread.start()

    def stop(self):
        """Watch no longer."""
        self._stopping.set()
        self._thread.join()

    def _run(self):
        highest = {}
        while not self._stopping.wait(POLL_S):
            for number in range(self._fleet.hosts):
                # A new process of a host must not serve an older value either,
                # so the highest revision is kept over restarts.
                found = self._read(number)
                if found is None:
                    continue
                self.seen[number] = (found, time.time())
                if found < highest.get(number, (0, "")):
                    self.reversals.append((number, highest[number], found))
                highest[number] = max(highest.get(number, (0, "")), found)

    def _read(self, number):
        try:
            return read_revision(self._http, self._fleet.entry_address(number))
        except (OSError, urllib3.exceptions.HTTPError, IndexError, ValueError):
            return None
