"""Fault injection between the gateways and the platform for the soak: a TCP
proxy, a store with fault modes, and the client's response parser."""

import asyncio

from fleet_platform import Store, free_port, write_response


class FaultProxy:
    """A TCP proxy. set_mode() sets how it treats all connections: pass, delay,
    reset, silent (bytes of both directions are dropped, without a reset), cut-up
    and cut-down (bytes to or from the target are dropped). A connection that was
    cut or silent never recovers, like one whose peer lost its state; new
    connections work."""

    DELAY_SECONDS = 0.4

    def __init__(self, loop, target):
        self.loop = loop
        self.target = target
        self.mode = "pass"
        self.connections = set()
        self.port = free_port()
        self.address = "127.0.0.1:%d" % self.port

        async def listen():
            return await asyncio.start_server(
                self._serve, "127.0.0.1", self.port)
        self.server = asyncio.run_coroutine_threadsafe(listen(), loop).result(5)

    def set_mode(self, mode):
        def apply():
            self.mode = mode
            for connection in list(self.connections):
                if mode == "reset":
                    for writer in connection["writers"]:
                        writer.transport.abort()
                elif mode != "pass":
                    connection["mode"] = mode
                elif connection["mode"] == "delay":
                    connection["mode"] = "pass"
        self.loop.call_soon_threadsafe(apply)

    async def _serve(self, reader, writer):
        if self.mode == "reset":
            writer.transport.abort()
            return
        host, port = self.target.split(":")
        try:
            target_reader, target_writer = await asyncio.open_connection(
                host, int(port))
        except OSError:
            writer.transport.abort()
            return
        connection = _Connection(mode=self.mode, writers=[writer, target_writer])
        self.connections.add(connection)
        try:
            await asyncio.gather(
                self._copy(connection, reader, target_writer, "cut-up"),
                self._copy(connection, target_reader, writer, "cut-down"))
        finally:
            self.connections.discard(connection)
            writer.transport.abort()
            target_writer.transport.abort()

    async def _copy(self, connection, reader, writer, drop_mode):
        try:
            while data := await reader.read(65536):
                if connection["mode"] == "delay":
                    await asyncio.sleep(self.DELAY_SECONDS)
                if connection["mode"] in ("silent", drop_mode):
                    continue
                writer.write(data)
                await writer.drain()
            if connection["mode"] not in ("silent", drop_mode):
                writer.write_eof()
        except OSError:
            for end in connection["writers"]:
                end.transport.abort()


class _Connection(dict):
    """The state of a connection, compared by identity."""

    __hash__ = object.__hash__

    def __eq__(self, other):
        return self is other


class SoakStore(Store):
    """The store with a mode: serve, down (503), silent (no response), slow, lose
    (executes the request and resets the connection)."""

    SLOW_SECONDS = 0.8

    def __init__(self):
        self.mode = "serve"
        self.compacted_revision = 0
        super().__init__()

    def compact(self):
        """Compacts the history: watches from earlier revisions get 410."""
        self.compacted_revision = self.revision

    async def handle(self, writer, method, target, headers, body):
        if self.mode == "down":
            write_response(writer, 503)
            return False
        if self.mode == "silent":
            await asyncio.sleep(30)
            return False
        if self.mode == "slow":
            await asyncio.sleep(self.SLOW_SECONDS)
        if target.startswith("/kv-watch"):
            after = int(target.split("after=")[1].split("&")[0])
            if after < self.compacted_revision:
                write_response(writer, 410)
                return True
        if self.mode == "lose" and method == "POST":
            await super().handle(_DiscardingWriter(writer), method, target,
                                 headers, body)
            writer.transport.abort()
            return False
        return await super().handle(writer, method, target, headers, body)


class _DiscardingWriter:
    """Discards a response."""

    def __init__(self, writer):
        self.writer = writer

    def get_extra_info(self, name):
        return self.writer.get_extra_info(name)

    def write(self, data):
        pass


async def read_response(reader):
    """Reads one response; returns status, headers (lower case), body, and whether
    the body is complete."""
    head = await reader.readuntil(b"\r\n\r\n")
    lines = head.decode("latin-1").split("\r\n")
    status = int(lines[0].split(" ")[1])
    headers = {}
    for line in lines[1:]:
        if line:
            name, value = line.split(":", 1)
            headers[name.lower()] = value.strip()
    if headers.get("transfer-encoding", "") != "chunked":
        length = int(headers.get("content-length", 0))
        return status, headers, await reader.readexactly(length), True
    body = b""
    while True:
        try:
            size = int(await reader.readuntil(b"\r\n"), 16)
            data = (await reader.readexactly(size + 2))[:-2]
        except (asyncio.IncompleteReadError, OSError):
            return status, headers, body, False
        if size == 0:
            return status, headers, body, True
        body += data
