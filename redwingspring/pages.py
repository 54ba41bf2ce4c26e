"""CherryPy application of the control pages."""

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
# Bounds one answer; a reader asks again behind the last entry it got.
MAX_AUDIT_ENTRIES = 500


def _send_text(text, status=200):
    cherrypy.response.status = status
    cherrypy.response.headers["Content-Type"] = "text/plain; charset=utf-8"
    # Scripts act on the page, so no cache may answer in its place.
    cherrypy.response.headers["Cache-Control"] = "no-store"
    return text.encode()


def _send_error(status, message, traceback, version):
    """Return a text page for an error that CherryPy found."""
    cherrypy.response.headers["Content-Type"] = "text/plain; charset=utf-8"
    return f"error {status}\n"


class ControlPages:
    """Pages for callers' scripts and operators.

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
            Text.
        """
        return _send_text(render_status(self._entry))

    @cherrypy.expose
    def service(self, service):
        """Return whether this host takes requests of a service.

        Parameters
        ----------
        service : str
            Name of the service.

        Returns
        -------
        bytes
            Text; status 503 when it does not, 404 for an unknown service.
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
            Data centre of the caller; that of this host when absent.
        format : {"json", "text"}, default="json"
            Form of the answer.

        Returns
        -------
        bytes
            JSON or text; status 404 for an unknown service, 503 while this
            host has no configuration or knows no host that takes work.
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
        """Return what became of a request.

        Parameters
        ----------
        request_id : str
            Its id.

        Returns
        -------
        bytes
            Text; status 400 when no request can have the id.
        """
        if not is_request_id(request_id):
            return _send_text(f"refused {Reason.MALFORMED}\n", 400)
        return _send_text(render_request(request_id, self._entry.requests))

    @cherrypy.expose
    def audit(self, after="0"):
        """Return the audit trail.

        Parameters
        ----------
        after : str, default="0"
            Number of the last entry already known.

        Returns
        -------
        bytes
            JSON lines; at most ``MAX_AUDIT_ENTRIES``.
        """
        first = int(after) if after.isascii() and after.isdigit() else 0
        entries = self._entry.audit.entries(first)[:MAX_AUDIT_ENTRIES]
        body = _send_text("".join(json.dumps(e.as_dict()) + "\n" for e in entries))
        headers = cherrypy.response.headers
        headers["Content-Type"] = "application/jsonl"
        # Numbers begin again with each process.
        headers["Process-Start"] = str(self._entry.started.unix_ms)
        return body

    @cherrypy.expose
    def ready(self):
        """Return whether this host takes work.

        Returns
        -------
        bytes
            Text; status 503 when it does not.
        """
        refusal = self._entry.membership.check_serving()
        if refusal is None:
            return _send_text("ready\n")
        return _send_text(f"{refusal.reason}: {refusal.detail}\n", 503)


def _render_addresses(answer):
    """Return an answer as text, one fact on each line."""
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
    """Return the CherryPy application of the control pages.

    Parameters
    ----------
    entry : Entry
        The process that the pages describe.

    Returns
    -------
    cherrypy.Application
        To be mounted at ``MOUNT_POINT``.
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
