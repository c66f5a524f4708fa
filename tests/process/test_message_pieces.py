"""Sends messages to the gateway in pieces, from callers and from runners, while it
serves other requests.

Guards against a message that ends the process, with all requests in hand, when
it arrives in pieces."""

import asyncio
import socket
import threading
import time

from fleet_platform import Runner
from gateway_fixture import run_checks, wait_until

PAUSE_SECONDS = 0.03
LAST_CHUNK = b"0\r\n\r\n"
# Each way to cut the last chunk into three pieces.
CUTS = [[LAST_CHUNK[:i], LAST_CHUNK[i:j], LAST_CHUNK[j:]]
        for i in range(1, 4) for j in range(i + 1, 5)]
WORK_SECONDS = 0.3


class PieceRunner(Runner):
    """A runner that takes a moment for calls, and answers those to /g/pieces/N
    with an empty body in chunks, cut as row N says."""

    async def handle(self, writer, method, target, headers, body):
        if "/pieces/" not in target:
            await asyncio.sleep(WORK_SECONDS)
            return await super().handle(writer, method, target, headers, body)
        writer.write(b"HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n"
                     b"Runner-Signature: sig\r\nAttempt-Id: %s\r\n\r\n" %
                     headers["attempt-id"].encode())
        for piece in CUTS[int(target.rsplit("/", 1)[1])]:
            await writer.drain()
            await asyncio.sleep(PAUSE_SECONDS)
            writer.write(piece)
        return True


def send_pieces(gateway, attempt, pieces):
    """Sends a booking with an empty body in chunks; returns the answer's start."""
    with socket.create_connection((gateway.address, gateway.frontend_port),
                                  timeout=4) as link:
        link.setsockopt(socket.IPPROTO_TCP, socket.TCP_NODELAY, 1)
        link.sendall(b"POST /u/x HTTP/1.1\r\nHost: h.example\r\nApi-Key: k1\r\n"
                     b"Attempt-Id: %s\r\nTransfer-Encoding: chunked\r\n\r\n" %
                     attempt.encode())
        for piece in pieces:
            time.sleep(PAUSE_SECONDS)
            link.sendall(piece)
        return link.recv(4096)


def messages_in_pieces_end_nothing(platform):
    """Guards against an abort at the last chunk of an empty body in pieces."""
    for runner in platform.desk:
        runner.crash()
        platform.store.delete("servers/" + runner.name)
    for number in range(2):
        PieceRunner(platform.store, "piece-%d" % number, "desk").register()
    gateway = platform.gateway("pieces")
    wait_until(lambda: gateway.call("GET", "/g/first")[0] == 200, what="a runner")
    statuses = []

    def book(name):
        for number in range(8):
            statuses.append(gateway.call(
                "POST", "/u/x", attempt="%s-%d" % (name, number), body=b"b")[0])
    threads = [threading.Thread(target=book, args=("b%d" % number,))
               for number in range(6)]
    for thread in threads:
        thread.start()
    for number, pieces in enumerate(CUTS):
        answer = send_pieces(gateway, "cut-%d" % number, pieces)
        assert answer.startswith(b"HTTP/1.1 200"), (pieces, answer)
        status, body, _ = gateway.call("GET", "/g/pieces/%d" % number)
        assert (status, body) == (200, b""), (pieces, status, body)
    for thread in threads:
        thread.join()
    assert statuses == [200] * 48, statuses
    assert gateway.process.poll() is None, gateway.process.poll()


run_checks([messages_in_pieces_end_nothing])
