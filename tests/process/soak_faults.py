"""What the soak puts between the gateways and the platform: a proxy that
harms connections, a store that misbehaves, and a client's parser."""

import asyncio

from fleet_platform import Store, answer, free_port


class FaultProxy:
    """A TCP proxy. `set` changes what it does with all connections: pass,
    delay, reset, silent (both ways held up, no reset), cut-up and cut-down
    (bytes to or from the target are lost). Connections that were cut or silent
    never recover, as on a host whose peer lost its state; new ones do."""

    DELAY_SECONDS = 0.4

    def __init__(self, loop, target):
        self.loop = loop
        self.target = target
        self.mode = "pass"
        self.links = set()
        self.port = free_port()
        self.address = "127.0.0.1:%d" % self.port

        async def listen():
            return await asyncio.start_server(
                self._serve, "127.0.0.1", self.port)
        self.server = asyncio.run_coroutine_threadsafe(listen(), loop).result(5)

    def set(self, mode):
        def apply():
            self.mode = mode
            for link in list(self.links):
                if mode == "reset":
                    for writer in link["writers"]:
                        writer.transport.abort()
                elif mode != "pass":
                    link["mode"] = mode
                elif link["mode"] == "delay":
                    link["mode"] = "pass"
        self.loop.call_soon_threadsafe(apply)

    async def _serve(self, reader, writer):
        if self.mode == "reset":
            writer.transport.abort()
            return
        host, port = self.target.split(":")
        try:
            far_reader, far_writer = await asyncio.open_connection(
                host, int(port))
        except OSError:
            writer.transport.abort()
            return
        link = _Link(mode=self.mode, writers=[writer, far_writer])
        self.links.add(link)
        try:
            await asyncio.gather(
                self._copy(link, reader, far_writer, "cut-up"),
                self._copy(link, far_reader, writer, "cut-down"))
        finally:
            self.links.discard(link)
            writer.transport.abort()
            far_writer.transport.abort()

    async def _copy(self, link, reader, writer, cut):
        try:
            while data := await reader.read(65536):
                if link["mode"] == "delay":
                    await asyncio.sleep(self.DELAY_SECONDS)
                if link["mode"] in ("silent", cut):
                    continue
                writer.write(data)
                await writer.drain()
            if link["mode"] not in ("silent", cut):
                writer.write_eof()
        except OSError:
            for end in link["writers"]:
                end.transport.abort()


class _Link(dict):
    """A connection's state, compared by identity."""

    __hash__ = object.__hash__

    def __eq__(self, other):
        return self is other


class SoakStore(Store):
    """The store with a mode: serve, down (503), silent (no answer), slow, lose
    (carries the call out and resets the connection)."""

    SLOW_SECONDS = 0.8

    def __init__(self):
        self.mode = "serve"
        self.oldest = 0
        super().__init__()

    def compact(self):
        """Forgets the history: watches from before are answered with 410."""
        self.oldest = self.revision

    async def handle(self, writer, method, target, headers, body):
        if self.mode == "down":
            answer(writer, 503)
            return False
        if self.mode == "silent":
            await asyncio.sleep(30)
            return False
        if self.mode == "slow":
            await asyncio.sleep(self.SLOW_SECONDS)
        if target.startswith("/kv-watch"):
            after = int(target.split("after=")[1].split("&")[0])
            if after < self.oldest:
                answer(writer, 410)
                return True
        if self.mode == "lose" and method == "POST":
            await super().handle(_Nowhere(writer), method, target, headers, body)
            writer.transport.abort()
            return False
        return await super().handle(writer, method, target, headers, body)


class _Nowhere:
    """Swallows an answer."""

    def __init__(self, writer):
        self.writer = writer

    def get_extra_info(self, name):
        return self.writer.get_extra_info(name)

    def write(self, data):
        pass


async def read_answer(reader):
    """Status, headers (lower case), body, and whether the answer is whole."""
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
