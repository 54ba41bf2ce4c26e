"""Network links between the processes of a fleet: cut, delayed or reset.

Each relay listens on an address of its own and passes bytes on to a real
listener. The source address of a connection tells which process opened it. A
cut link holds bytes back as a lost route does, and resets nothing.
"""

import argparse
import asyncio
import json
import socket
from dataclasses import dataclass, field

READ_SIZE = 64 << 10
ANY = "*"


@dataclass
class Link:
    """State of the way between two addresses."""

    forward: bool = True
    backward: bool = True
    delay: float = 0.0
    reset: bool = False


@dataclass
class LinkTable:
    """States of all links that differ from an open one."""

    links: dict = field(default_factory=dict)
    changed: asyncio.Event = field(default_factory=asyncio.Event)

    def find(self, source, destination):
        """Return the state of the link between two IP numbers."""
        for key in ((source, destination), (ANY, destination), (source, ANY)):
            if key in self.links:
                return self.links[key]
        return OPEN

    def set(self, source, destination, link):
        """Change the state of a link and wake what waits for it."""
        self.links[source, destination] = link
        self._notify()

    def clear(self):
        """Open all links."""
        self.links.clear()
        self._notify()

    def _notify(self):
        self.changed.set()
        self.changed = asyncio.Event()


OPEN = Link()


class Relay:
    """Passes bytes from one listening address to one destination."""

    def __init__(self, table, destination):
        self._table = table
        self._host, port = destination.rsplit(":", 1)
        self._port = int(port)
        # The event loop itself holds only weak references to its tasks.
        self._tasks = set()

    async def accept(self, reader, writer):
        """Serve one connection."""
        task = asyncio.current_task()
        self._tasks.add(task)
        try:
            await self._relay(reader, writer)
        finally:
            self._tasks.discard(task)

    async def _relay(self, reader, writer):
        source = writer.get_extra_info("peername")[0]
        try:
            # The source address is kept, so that the destination can tell
            # processes apart as it would without a relay.
            upstream = await asyncio.open_connection(
                self._host, self._port, local_addr=(source, 0)
            )
        except OSError:
            writer.transport.abort()
            return
        try:
            await asyncio.gather(
                self._pump(source, reader, upstream[1], "forward"),
                self._pump(source, upstream[0], writer, "backward"),
            )
        except OSError:
            # A reset ends both directions, as it does without a relay. A sender
            # would otherwise not notice that the process behind it ended.
            writer.transport.abort()
            upstream[1].transport.abort()

    async def _pump(self, source, reader, writer, direction):
        while data := await reader.read(READ_SIZE):
            await self._pass_link(source, direction)
            writer.write(data)
            await writer.drain()
        await self._pass_link(source, direction)
        writer.write_eof()

    async def _pass_link(self, source, direction):
        """Wait as long as the link holds bytes back."""
        link = self._table.find(source, self._host)
        if link.reset:
            raise ConnectionResetError("the link resets its connections")
        if link.delay:
            await asyncio.sleep(link.delay)
        while not getattr(link, direction):
            await self._table.changed.wait()
            link = self._table.find(source, self._host)


class Control:
    """Takes commands as JSON lines."""

    def __init__(self, table):
        self._table = table

    async def accept(self, reader, writer):
        """Carry out the commands of one connection."""
        while line := await reader.readline():
            self._run(json.loads(line))
            writer.write(b"ok\n")
            await writer.drain()
        writer.close()

    def _run(self, command):
        if command["do"] == "heal":
            self._table.clear()
            return
        link = Link(
            forward=command.get("forward", True),
            backward=command.get("backward", True),
            delay=command.get("delay", 0.0),
            reset=command.get("reset", False),
        )
        self._table.set(command["source"], command["destination"], link)


def send_command(control, command):
    """Send one command to relays.

    Parameters
    ----------
    control : str
        ``ip:port`` where they take commands.
    command : dict
        Its fields.

    Returns
    -------
    bool
        Whether they carried it out.
    """
    host, port = control.rsplit(":", 1)
    with socket.create_connection((host, int(port)), timeout=5.0) as connection:
        connection.sendall(json.dumps(command).encode() + b"\n")
        return connection.recv(16) == b"ok\n"


async def serve(pairs, control):
    """Run relays for pairs of listening and real address."""
    table = LinkTable()
    servers = []
    for listen, destination in pairs:
        host, port = listen.rsplit(":", 1)
        relay = Relay(table, destination)
        servers.append(await asyncio.start_server(relay.accept, host, int(port)))
    host, port = control.rsplit(":", 1)
    server = await asyncio.start_server(Control(table).accept, host, int(port))
    await server.serve_forever()


def main():
    """Run the relays named on the command line."""
    parser = argparse.ArgumentParser(description=__doc__)
    parser.add_argument("--control", required=True)
    parser.add_argument("--pair", action="append", default=[])
    arguments = parser.parse_args()
    pairs = [tuple(pair.split("=")) for pair in arguments.pair]
    asyncio.run(serve(pairs, arguments.control))


if __name__ == "__main__":
    main()
