"""A TCP relay on loopback that adds a one-way delay in each direction, as the
network between zones and to clients does. One thread serves all relays."""

import asyncio
import threading


class Relays:
    """The relays of one test. The event loop wakes at whole milliseconds, so the
    actual delay is up to about 1 ms longer than `delay_ms`."""

    def __init__(self):
        self.loop = asyncio.new_event_loop()
        self.thread = threading.Thread(target=self.loop.run_forever, daemon=True)
        self.thread.start()

    def add(self, target, delay_ms):
        """Starts a relay to a target address; returns the address of the relay."""
        host, port = target.split(":")

        async def start():
            return await asyncio.start_server(
                lambda reader, writer: self._serve(
                    reader, writer, host, int(port), delay_ms / 1000),
                "127.0.0.1", 0)

        server = asyncio.run_coroutine_threadsafe(start(), self.loop).result(10)
        return "127.0.0.1:%d" % server.sockets[0].getsockname()[1]

    async def _serve(self, reader, writer, host, port, delay):
        try:
            target_reader, target_writer = await asyncio.open_connection(host, port)
        except OSError:
            writer.close()
            return
        try:
            await asyncio.gather(self._copy(reader, target_writer, delay),
                                 self._copy(target_reader, writer, delay))
        except asyncio.CancelledError:
            # asyncio logs a cancelled connection handler as an error.
            pass

    async def _copy(self, reader, writer, delay):
        """Copies data in order, each piece `delay` seconds after it was read."""
        queue = asyncio.Queue(maxsize=256)

        async def deliver():
            while True:
                due, data = await queue.get()
                wait = due - self.loop.time()
                if wait > 0:
                    await asyncio.sleep(wait)
                if not data:
                    break
                writer.write(data)
                await writer.drain()
            writer.close()

        task = asyncio.ensure_future(deliver())
        try:
            while not task.done():
                data = await reader.read(65536)
                await queue.put((self.loop.time() + delay, data))
                if not data:
                    break
        except OSError:
            await queue.put((self.loop.time(), b""))
        try:
            await task
        except OSError:
            pass
        finally:
            task.cancel()

    def close(self):
        """Cancels all relays and joins their thread."""

        async def cancel():
            others = asyncio.all_tasks() - {asyncio.current_task()}
            for task in others:
                task.cancel()
            await asyncio.gather(*others, return_exceptions=True)

        asyncio.run_coroutine_threadsafe(cancel(), self.loop).result(10)
        self.loop.call_soon_threadsafe(self.loop.stop)
        self.thread.join(5)
        self.loop.close()
