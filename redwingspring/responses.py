"""Short responses of WSGI pages, whose whole body is known at once."""

from dataclasses import dataclass


@dataclass(frozen=True)
class PageResponse:
    """A response.

    Attributes
    ----------
    status : str
        Code and phrase.
    body : bytes, default=b""
        The whole body.
    content_type : str, default="text/plain; charset=utf-8"
        Media type of the body.
    """

    status: str
    body: bytes = b""
    content_type: str = "text/plain; charset=utf-8"


class PageApplication:
    """WSGI application whose ``respond`` makes the whole response."""

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
        response = self.respond(environ)
        headers = [
            ("Content-Type", response.content_type),
            ("Content-Length", str(len(response.body))),
        ]
        start_response(response.status, headers)
        return [response.body]

    def respond(self, environ):
        """Return the response to a request.

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
