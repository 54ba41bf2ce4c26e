"""HTTP client of the configuration service."""

import hashlib

import urllib3

from .errors import PublicationError
from .responsehead import WholeHeadPool, WholeHeadSecurePool
from .stamp import PublishedValue, Stamp
from .version import __version__

MAX_VALUE_BYTES = 1 << 20
CONNECT_TIMEOUT_S = 1.0
READ_TIMEOUT_S = 2.0
# Hosts send revisions to each other as 64-bit numbers.
MAX_REVISION_DIGITS = 18


class StaleResponseError(PublicationError):
    """Raised when the service has an older revision than this host.

    Parameters
    ----------
    revision : int
        Revision in the response of the service.
    """

    def __init__(self, revision):
        self.revision = revision
        super().__init__(f"the service has only revision {revision}")


class ServiceReader:
    """Reads and watches values of the configuration service.

    Parameters
    ----------
    base_url : str
        URL of the service.
    name : str
        Name of this host, sent as part of ``User-Agent``.
    metrics : Metrics
        Counters.
    source : str or None, default=None
        Source IP address of the connections.
    """

    def __init__(self, base_url, name, metrics, source=None):
        self._base_url = base_url.rstrip("/")
        self._metrics = metrics
        self._http = urllib3.PoolManager(
            maxsize=4,
            retries=False,
            source_address=(source, 0) if source else None,
            headers={"User-Agent": f"redwingspring/{__version__} {name}"},
        )
        self._http.pool_classes_by_scheme = {
            "http": WholeHeadPool,
            "https": WholeHeadSecurePool,
        }

    def read(self, key, after=0, wait=0):
        """Read a value, waiting for a change if requested.

        Parameters
        ----------
        key : str
            ``configuration`` or ``hosts``.
        after : int, default=0
            Revision that this host already has.
        wait : float, default=0
            Seconds to wait for a higher revision.

        Returns
        -------
        PublishedValue or None
            The value, or None if it has not changed.

        Raises
        ------
        StaleResponseError
            If the service has only an older revision.
        PublicationError
            If the service sent no valid response.
        """
        self._metrics.increment("publication.calls")
        fields = {"after": str(after), "wait": str(wait)} if after else {}
        try:
            response = self._http.request(
                "GET",
                f"{self._base_url}/v1/values/{key}",
                fields=fields,
                timeout=urllib3.Timeout(
                    connect=CONNECT_TIMEOUT_S, read=wait + READ_TIMEOUT_S
                ),
                preload_content=False,
            )
            data = response.read(MAX_VALUE_BYTES + 1)
            if len(data) > MAX_VALUE_BYTES:
                response.close()
            response.release_conn()
        except urllib3.exceptions.HTTPError as error:
            raise PublicationError(f"cannot read {key}: {error}") from error
        revision = _parse_revision(response.headers.get("value-revision", ""))
        if response.status not in (200, 304):
            raise PublicationError(f"cannot read {key}: status {response.status}")
        if revision is not None and revision < after:
            raise StaleResponseError(revision)
        if response.status == 304:
            return None
        if revision is None:
            raise PublicationError(f"cannot read {key}: no Value-Revision")
        return _make_value(key, revision, data)


def _parse_revision(text):
    if text.isdecimal() and text.isascii() and len(text) <= MAX_REVISION_DIGITS:
        return int(text)
    return None


def _make_value(key, revision, data):
    text = None
    if len(data) <= MAX_VALUE_BYTES:
        try:
            text = data.decode()
        except UnicodeDecodeError:
            pass  # ValueStore refuses this stamp, so it is not fetched again.
    return PublishedValue(key, Stamp(revision, hashlib.sha256(data).hexdigest()), text)
