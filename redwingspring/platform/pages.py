"""Readiness page for the platform, and host addresses for callers."""

import json
from urllib.parse import parse_qs

from ..responses import PageApplication, PageResponse

READY_PATH = "/redwingspring/ready"
RESOLVE_PATH = "/redwingspring/resolve"


class PlatformPages(PageApplication):
    """WSGI application for the readiness and the directory address.

    Parameters
    ----------
    is_ready : callable
        Returns whether this host takes new connections.
    find_addresses : callable
        Returns the host addresses for callers in a data centre, and the seconds
        for which to cache them.
    """

    def __init__(self, is_ready, find_addresses):
        self._is_ready = is_ready
        self._find_addresses = find_addresses

    def respond(self, environ):
        """Return whether this host is ready, or the hosts to connect to.

        Parameters
        ----------
        environ : dict
            WSGI environment.

        Returns
        -------
        PageResponse
            The response.
        """
        path = environ["PATH_INFO"]
        if path == READY_PATH:
            ready = self._is_ready()
            status = "200 OK" if ready else "503 Service Unavailable"
            return _build_response(status, {"ready": ready})
        if path == RESOLVE_PATH:
            return self._resolve(environ)
        return _build_response("404 Not Found", {"error": "no such page"})

    def _resolve(self, environ):
        query = parse_qs(environ.get("QUERY_STRING", ""))
        # The platform's word for a data centre is zone.
        data_centre = query.get("zone", [None])[0]
        addresses, keep_s = self._find_addresses(data_centre)
        if not addresses:
            body = {"error": "no host takes requests"}
            return _build_response("503 Service Unavailable", body)
        body = {"addresses": addresses, "ttl_s": keep_s}
        return _build_response("200 OK", body)


def _build_response(status, document):
    body = json.dumps(document, separators=(",", ":")).encode()
    return PageResponse(status, body, "application/json")
