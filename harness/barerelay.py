"""Relay made of the two HTTP libraries alone, as a lower bound for an entry."""

import argparse
import uuid

import urllib3
from cheroot import wsgi

THREADS = 16


class BareRelay:
    """Sends each request to one target and returns its response.

    Parameters
    ----------
    target : str
        ``ip:port`` of the target.
    """

    def __init__(self, target):
        host, port = target.rsplit(":", 1)
        self._pool = urllib3.HTTPConnectionPool(
            host, int(port), maxsize=THREADS, retries=False
        )

    def __call__(self, environ, start_response):
        """Serve one request.

        Parameters
        ----------
        environ : dict
            WSGI environment.
        start_response : callable
            WSGI callable.

        Returns
        -------
        list of bytes
            The body.
        """
        response = self._pool.request(
            environ["REQUEST_METHOD"],
            environ["PATH_INFO"],
            headers={"Request-Id": uuid.uuid4().hex},
        )
        headers = [("Content-Length", str(len(response.data)))]
        start_response(f"{response.status} OK", headers)
        return [response.data]


def main():
    """Run the relay until the process ends."""
    parser = argparse.ArgumentParser()
    parser.add_argument("--listen", required=True)
    parser.add_argument("--target", required=True)
    options = parser.parse_args()
    host, port = options.listen.rsplit(":", 1)
    wsgi.Server((host, int(port)), BareRelay(options.target), THREADS).start()


if __name__ == "__main__":
    main()
