"""WSGI applications that build each response as a whole, without streaming."""

from dataclasses import dataclass


@dataclass(frozen=True)
class PageResponse:
    """Response of a page.

    Attributes
    ----------
    status : str
        Status code and reason phrase.
    body : bytes, default=b""
        Complete body.
    content_type : str, default="text/plain; charset=utf-8"
        Media type of the body.
    """

    status: str
    body: bytes = b""
    content_type: str = "text/plain; charset=utf-8"


class PageApplication:
    """Base class of WSGI applications that build complete responses in ``respond``."""

    def __call__(self, environ, start_response):
        """Handle one request.

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
        response = self.respond(environ)
        headers = [
            ("Content-Type", response.content_type),
            ("Content-Length", str(len(response.body))),
        ]
        start_response(response.status, headers)
        return [response.body]

    def respond(self, environ):
        """Build the response to a request.

        Parameters
        ----------
        environ : dict
            WSGI environment.

        Returns
        -------
        PageResponse
            The response.
        """
        raise NotImplementedError
