"""CherryPy application for the control pages."""

import json

import cherrypy

from .addresses import VERSION_LINE as ADDRESS_VERSION_LINE
from .calls import is_request_id
from .readiness import check_service_readiness
from .status import (
    format_fact,
    format_word,
    render_request,
    render_service,
    render_status,
)
from .verdict import Reason

MOUNT_POINT = "/-"
# Limits one response; clients page through the trail with ``after``.
MAX_AUDIT_ENTRIES = 500


def _send_text(text, status=200):
    cherrypy.response.status = status
    cherrypy.response.headers["Content-Type"] = "text/plain; charset=utf-8"
    # Scripts act on the page, so caches must not serve an outdated copy.
    cherrypy.response.headers["Cache-Control"] = "no-store"
    return text.encode()


def _send_error(status, message, traceback, version):
    """Return a text page for an HTTP error raised by CherryPy."""
    cherrypy.response.headers["Content-Type"] = "text/plain; charset=utf-8"
    return f"error {status}\n"


class ControlPages:
    """Control pages for operators and callers' scripts.

    Parameters
    ----------
    entry : Entry
        The process that the pages describe.
    """

    def __init__(self, entry):
        self._entry = entry

    @cherrypy.expose
    def status(self):
        """Return the status page.

        Returns
        -------
        bytes
            The page as text.
        """
        return _send_text(render_status(self._entry))

    @cherrypy.expose
    def service(self, service):
        """Return whether this host accepts requests of a service.

        Parameters
        ----------
        service : str
            Name of the service.

        Returns
        -------
        bytes
            Text; status 503 if it does not, 404 for an unknown service.
        """
        readiness = check_service_readiness(self._entry, service)
        status = 200 if readiness.taken else 503
        if readiness.reason == Reason.UNKNOWN_SERVICE:
            status = 404
        return _send_text(render_service(readiness), status)

    @cherrypy.expose
    def address(self, service, data_centre=None, format="json"):
        """Return which hosts a caller should use.

        Parameters
        ----------
        service : str
            Name of the service.
        data_centre : str or None, default=None
            Data centre of the caller; defaults to that of this host.
        format : {"json", "text"}, default="json"
            Format of the response.

        Returns
        -------
        bytes
            JSON or text; status 404 for an unknown service, 503 while this
            host has no configuration or knows no host that accepts requests.
        """
        answer = self._entry.find_addresses(service, data_centre)
        if answer is None:
            if self._entry.directory.table is None:
                return _send_text(f"refused {Reason.NOT_READY}\n", 503)
            return _send_text(f"refused {Reason.UNKNOWN_SERVICE}\n", 404)
        if not answer.hosts:
            return _send_text("refused no-host\n", 503)
        if format == "text":
            return _send_text(_render_addresses(answer))
        text = json.dumps(answer.as_dict()) + "\n"
        body = _send_text(text)
        cherrypy.response.headers["Content-Type"] = "application/json"
        return body

    @cherrypy.expose
    def request(self, request_id):
        """Return the state of a request.

        Parameters
        ----------
        request_id : str
            Id of the request.

        Returns
        -------
        bytes
            Text; status 400 for a malformed id.
        """
        if not is_request_id(request_id):
            return _send_text(f"refused {Reason.MALFORMED}\n", 400)
        return _send_text(render_request(request_id, self._entry.requests))

    @cherrypy.expose
    def audit(self, after="0"):
        """Return the entries of the audit trail after a number.

        Parameters
        ----------
        after : str, default="0"
            Number of the last entry that the client already has.

        Returns
        -------
        bytes
            JSON lines; at most ``MAX_AUDIT_ENTRIES``.
        """
        last_known = int(after) if after.isascii() and after.isdigit() else 0
        entries = self._entry.audit.list_entries(last_known)[:MAX_AUDIT_ENTRIES]
        body = _send_text("".join(json.dumps(e.as_dict()) + "\n" for e in entries))
        headers = cherrypy.response.headers
        headers["Content-Type"] = "application/jsonl"
        # Numbers restart with each process, which clients detect by its start time.
        headers["Process-Start"] = str(self._entry.started.unix_ms)
        return body

    @cherrypy.expose
    def ready(self):
        """Return whether this host accepts requests.

        Returns
        -------
        bytes
            Text; status 503 if it does not.
        """
        refusal = self._entry.membership.check_serving()
        if refusal is None:
            return _send_text("ready\n")
        return _send_text(f"{refusal.reason}: {refusal.detail}\n", 503)


def _render_addresses(answer):
    """Return the addresses as text, one fact per line."""
    lines = [
        ADDRESS_VERSION_LINE,
        f"service {format_word(answer.service)}",
        f"keep-seconds {answer.keep_seconds:g}",
    ]
    for position, host in enumerate(answer.hosts, 1):
        fact = {
            "host": position,
            "address": host.address,
            "data-centre": host.data_centre,
        }
        lines.append(format_fact(fact))
    return "\n".join(lines) + "\n"


def build_application(entry):
    """Return the CherryPy application for the control pages.

    Parameters
    ----------
    entry : Entry
        The process that the pages describe.

    Returns
    -------
    cherrypy.Application
        An application for mounting at ``MOUNT_POINT``.
    """
    config = {
        "/": {
            "tools.encode.on": False,
            "tools.allow.on": True,
            "tools.allow.methods": ("GET", "HEAD"),
            "request.show_tracebacks": False,
            "error_page.default": _send_error,
        }
    }
    application = cherrypy.Application(ControlPages(entry), MOUNT_POINT, config)
    application.log.screen = False
    application.log.access_log.propagate = False
    return application
