"""Closed-loop client: each connection sends when the last response is whole."""

import argparse
import json
import threading
import time
from urllib.parse import urlsplit

import urllib3

from redwingspring.load import LoadResult


def run_connection(url, end, result):
    """Send requests one after the other until a time.

    Parameters
    ----------
    url : str
        Where they go.
    end : float
        Monotonic time in seconds.
    result : LoadResult
        Where they are counted.
    """
    parts = urlsplit(url)
    pool = urllib3.HTTPConnectionPool(parts.hostname, parts.port, maxsize=1)
    while (started := time.monotonic()) < end:
        try:
            response = pool.request("GET", parts.path, retries=False)
            outcome = "succeeded" if response.status == 200 else "failed"
        except urllib3.exceptions.HTTPError:
            outcome = "failed"
        result.record(outcome, time.monotonic() - started)


def main():
    """Run the client and print the result as JSON."""
    parser = argparse.ArgumentParser()
    parser.add_argument("url")
    parser.add_argument("--duration", type=float, default=1.0)
    parser.add_argument("--connections", type=int, default=1)
    options = parser.parse_args()
    end = time.monotonic() + options.duration
    results = [LoadResult() for _ in range(options.connections)]
    threads = [
        threading.Thread(target=run_connection, args=(options.url, end, result))
        for result in results
    ]
    for thread in threads:
        thread.start()
    total = LoadResult()
    for thread, result in zip(threads, results, strict=True):
        thread.join()
        total.add(result)
    print(json.dumps(total.as_dict()))


if __name__ == "__main__":
    main()
