"""Plays backend servers that answer a long upload at once with a part of an
answer and reset the connection, and ones whose status is malformed, behind a
gateway and behind an entry and its agent.

Guards against a caller that gets such an answer as a complete one."""

import http.client
import socket
import struct
import sys
import threading

import fleet_platform
import gateway_fixture
from fleet import Fleet, request

# More than the sockets on the way hold, and less than the limit of a body.
UPLOAD = b"u" * (3 * 1024 * 1024)
PART = b"a part of an answer"
HEAD = b"HTTP/1.%d 200 OK\r\n%s"
ENDINGS = {
    "no-length": HEAD % (1, b"%s\r\n"),
    "old": HEAD % (0, b"%s\r\n"),
    "length": HEAD % (1, b"%sContent-Length: 400\r\n\r\n"),
    "chunked": HEAD % (1, b"%sTransfer-Encoding: chunked\r\n\r\n80\r\n"),
}
STATUSES = ["000", "099", "1000", "+200", " 20", "2 00", "600"]


def reset(connection):
    """Resets the connection, with or without bytes unread."""
    connection.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER,
                          struct.pack("ii", 1, 0))
    connection.close()


def answer_badly(connection, target, signature):
    """Answers a request as its path says: /cut/ENDING/MODE or /status/INDEX.
    Mode `now` resets at once, `late` when the bytes have been read. A regular
    end before the reset is in tests/platform/test_answer_ends.cpp, where it is
    certain which of them is seen. Returns false for other paths."""
    parts = target.split("/")
    if "cut" in parts:
        ending, mode = parts[parts.index("cut") + 1:][:2]
        connection.sendall(ENDINGS[ending] % signature + PART)
        if mode != "now":
            threading.Event().wait(0.05)
        reset(connection)
        return True
    if "status" in parts:
        status = STATUSES[int(parts[parts.index("status") + 1])].encode()
        connection.sendall(b"HTTP/1.1 " + status + b" X\r\n" + signature +
                           b"Content-Length: 4\r\n\r\nevil")
        threading.Event().wait(0.05)
        connection.close()
        return True
    return False


def read_head(connection):
    data = b""
    while b"\r\n\r\n" not in data:
        piece = connection.recv(4096)
        if not piece:
            return None, {}, b""
        data += piece
    head, rest = data.split(b"\r\n\r\n", 1)
    lines = head.decode("latin-1").split("\r\n")
    headers = dict((name.lower(), value.strip()) for name, value in
                   (line.split(":", 1) for line in lines[1:]))
    return lines[0].split(" "), headers, rest


class Backend:
    """A server on loopback that answers badly where the path asks for it, and
    passes other requests to `serve`."""

    def __init__(self, serve):
        self.serve = serve
        self.bad_answers = 0
        self.listener = socket.create_server(("127.0.0.1", 0), backlog=64)
        self.address = "127.0.0.1:%d" % self.listener.getsockname()[1]
        threading.Thread(target=self.accept, daemon=True).start()

    def accept(self):
        while True:
            connection = self.listener.accept()[0]
            threading.Thread(target=self.handle, args=(connection,),
                             daemon=True).start()

    def handle(self, connection):
        try:
            line, headers, body = read_head(connection)
            if not line:
                return
            signature = (b"Runner-Signature: sig\r\nAttempt-Id: %s\r\n" %
                         headers.get("attempt-id", "").encode())
            if answer_badly(connection, line[1], signature):
                self.bad_answers += 1
                return
            length = int(headers.get("content-length", 0))
            while len(body) < length:
                body += connection.recv(65536)
            status, reply = self.serve(line[0], line[1], headers, body)
            connection.sendall(
                b"HTTP/1.1 %d X\r\n%sContent-Type: application/json\r\n"
                b"Connection: close\r\nContent-Length: %d\r\n\r\n%s" %
                (status, signature, len(reply), reply))
        except (OSError, ValueError):
            pass
        finally:
            connection.close()


def paths():
    for ending in ENDINGS:
        for mode in ("now", "late"):
            yield "cut/%s/%s" % (ending, mode), UPLOAD
            yield "cut/%s/%s" % (ending, mode), b"small"
    for index in range(len(STATUSES)):
        yield "status/%d" % index, b"small"


def check_not_relayed(call, path):
    """The call ends with an error status or a connection that breaks off."""
    try:
        status, body = call()
    except (OSError, http.client.HTTPException):
        return
    assert status >= 400 and PART not in body and b"evil" not in body, (
        path, status, body[:80])


def at_a_gateway(platform):
    platform.store.put("op/config", dict(
        fleet_platform.CONFIGURATION, limits=dict(
            fleet_platform.CONFIGURATION["limits"],
            maxBodyBytes=2 * len(UPLOAD))))
    for runner in platform.desk:
        platform.store.delete("servers/" + runner.name)
    backend = Backend(lambda *_: (200, b"served"))
    platform.store.put("servers/bad", {
        "service": "desk", "address": backend.address, "zone": "z1",
        "version": "v1", "slots": 8, "state": "ready", "coldRemainingMs": 0,
        "sequence": 1, "born": 1})
    gateway = platform.gateway("ends")
    for number, (path, body) in enumerate(paths()):
        before = backend.bad_answers

        def call(attempt="%d" % number, path=path, body=body):
            return gateway.call("POST", "/u/" + path, attempt=attempt,
                                body=body)[:2]

        def is_tried(path=path):
            check_not_relayed(call, path)
            return backend.bad_answers > before
        # The runner is left alone for a while after failures.
        gateway_fixture.wait_until(is_tried, 20, path + " to be tried")
    assert gateway.process.poll() is None
    gateway_fixture.wait_until(
        lambda: gateway.call("POST", "/u/x", attempt="last")[0] == 200, 20,
        "an ordinary call")


class EndsFleet(Fleet):
    """A fleet whose services answer badly where the path asks for it."""

    def _standin(self, kind, *options):
        process = super()._standin(kind, *options)
        if kind == "service":
            address = process.address

            def serve(method, target, headers, body):
                status, _, reply = request(address, method, target, body, {
                    name: value for name, value in headers.items()
                    if name.startswith("x-")})
                return status, reply
            process.backend = Backend(serve)
            process.address = process.backend.address
        return process


def at_an_entry_and_agent(_):
    with EndsFleet(sys.argv[1], engines=1, services=1, entries=1) as fleet:
        entry = fleet.entries[0]
        gateway_fixture.wait_until(
            lambda: fleet.call(entry, "GET", "/stock")[0] == 200, 20,
            "a lookup")
        backend = fleet.services[0].backend
        for path, body in paths():
            before = backend.bad_answers

            def call(path=path, body=body):
                status, _, answer = fleet.call(entry, "POST", "/" + path, body)
                return status, answer

            def is_tried(path=path):
                check_not_relayed(call, path)
                return backend.bad_answers > before
            gateway_fixture.wait_until(is_tried, 20, path + " to be tried")
        gateway_fixture.wait_until(
            lambda: fleet.call(entry, "GET", "/stock")[0] == 200, 20,
            "a lookup afterwards")


gateway_fixture.run_checks([at_a_gateway, at_an_entry_and_agent])
