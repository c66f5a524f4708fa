"""Streams that break off and go on at a runner that answers with something else
than their next events.

Guards against callers that find an error's text or head in the middle of their
stream, that take a stream for complete which is not, or that wait without an
end."""

import http.client
import json
import socket
import time

from fleet_platform import Runner, write_response
from gateway_fixture import event_ids, run_checks, wait_until

# The route's timeout, and what the platform's rules allow beyond it.
MAX_SECONDS = 8.5
ERROR_TEXT = b"id: 4\ndata: an error's text\n\n"
SIGNED = [("Runner-Signature", "sig")]


class OtherAnswerRunner(Runner):
    """A runner that tears the streams that begin at it, and answers those that go
    on at it by its `answer`."""

    answer = None

    async def handle(self, writer, method, target, headers, body):
        self.mode = "tear"
        if "last-event-id" not in headers:
            return await super().handle(writer, method, target, headers, body)
        self.runs.append((headers, method, target, body))
        identity = SIGNED + [("Attempt-Id", headers["attempt-id"])]
        return self.answer(writer, identity)


def with_status(status):
    def answer(writer, identity):
        write_response(writer, status, ERROR_TEXT, identity)
        return True
    return answer


def without_body(writer, identity):
    lines = ["HTTP/1.1 204 X"] + ["%s: %s" % row for row in identity]
    writer.write(("\r\n".join(lines) + "\r\n\r\n").encode())
    return True


def of_another_type(writer, identity):
    write_response(writer, 200, ERROR_TEXT,
                   identity + [("Content-Type", "application/json")])
    return True


def broken_head(writer, _identity):
    writer.write(b"HTTP/1.1 200 OK\r\nRunner-Sig")
    writer.transport.abort()
    return False


def unsigned(writer, identity):
    write_response(writer, 200, ERROR_TEXT, identity[1:])
    return True


def begun_again(writer, identity):
    body = b"".join(b"id: %d\ndata: again\n\n" % number
                    for number in range(1, 6))
    write_response(writer, 200, body, identity)
    return True


ANSWERS = {"again": begun_again, "400": with_status(400), "302": with_status(302),
           "409": with_status(409), "500": with_status(500),
           "201": with_status(201), "204": without_body,
           "type": of_another_type, "head": broken_head,
           "unsigned": unsigned}


def broken_stream_is_seen_as_broken(platform):
    """Guards against an answer to a resumption that is taken for the rest of the
    stream, or that leaves it open."""
    for runner in platform.llm:
        runner.crash()
        platform.store.delete("servers/" + runner.name)
    runners = [OtherAnswerRunner(platform.store, "other-%d" % number, "llm")
               for number in range(2)]
    for runner in runners:
        runner.register()
    for name, answer in ANSWERS.items():
        # A new process: earlier answers block the runners for a while.
        gateway = platform.gateway("resumed-" + name)
        for runner in runners:
            runner.answer = answer
            runner.runs.clear()
        body = None
        begin = time.monotonic()
        try:
            body = gateway.stream(attempt="r" + name)[1]
        except http.client.IncompleteRead as error:
            body = error.partial
            elapsed = time.monotonic() - begin
            assert elapsed < MAX_SECONDS, (name, elapsed)
            assert event_ids(body) == [1, 2], (name, body)
            for text in (b"error", b"HTTP", b"again"):
                assert text not in body, (name, body)
            resumed = [run for runner in runners for run in runner.runs
                       if "last-event-id" in run[0]]
            assert resumed, name
            continue
        raise AssertionError("%s: looks complete: %r" % (name, body))


def answer_without_body_leaves_the_connection_sound(platform):
    """Guards against bytes of a body after an answer that has none, which precede
    the next answer on the connection."""
    gateway = platform.gateway("no-body")

    class NoBodyRunner(Runner):
        async def handle(self, writer, method, target, headers, body):
            return without_body(
                writer, SIGNED + [("Attempt-Id", headers["attempt-id"])])
    for runner in platform.llm:
        runner.crash()
        platform.store.delete("servers/" + runner.name)
    NoBodyRunner(platform.store, "no-body", "llm").register()
    wait_until(lambda: gateway.stream(attempt="first")[0] == 204,
               what="the new runner")
    prompt = (b"POST /s/x HTTP/1.1\r\nHost: h.example\r\nApi-Key: k1\r\n"
              b"Model: *\r\nToken-Usage: 100,20\r\nPrefix-Hash: a1:50,b2:50\r\n"
              b"Attempt-Id: n1\r\nContent-Length: 1\r\n\r\np")
    lookup = (b"GET /g/x HTTP/1.1\r\nHost: h.example\r\nApi-Key: k1\r\n"
              b"Attempt-Id: g1\r\nConnection: close\r\n\r\n")
    with socket.create_connection((gateway.address, gateway.frontend_port),
                                  timeout=4) as link:
        link.sendall(prompt + lookup)
        received = b"".join(iter(lambda: link.recv(4096), b""))
    first, _, rest = received.partition(b"\r\n\r\n")
    assert first.startswith(b"HTTP/1.1 204"), received
    assert rest.startswith(b"HTTP/1.1 200"), received


def last_event_of_a_caller_counts_against_no_runner(platform):
    """Guards against a caller that turns requests of others away from runners by
    last events that no stream has."""
    class FromStartRunner(Runner):
        async def handle(self, writer, method, target, headers, body):
            headers.pop("last-event-id", None)
            return await super().handle(writer, method, target, headers, body)
    for runner in platform.llm:
        runner.crash()
        platform.store.delete("servers/" + runner.name)
    for number in range(2):
        FromStartRunner(platform.store, "start-%d" % number, "llm").register()
    gateway = platform.gateway("crafted")
    for number in range(12):
        last = ("-7", "3", str(2**63 - 1), str(-2**63))[number % 4]
        try:
            gateway.stream(attempt="c%d" % number, Last_Event_Id=last)
        except http.client.HTTPException:
            pass
    runners = json.loads(gateway.get_admin("/state")[1])["runners"]
    shares = [runners["start-%d" % number]["error_share"] for number in range(2)]
    assert shares == [0, 0], shares
    status, body, _ = gateway.stream(attempt="sound")
    assert status == 200 and event_ids(body) == [1, 2, 3, 4, 5], (status, body)


run_checks([broken_stream_is_seen_as_broken,
            last_event_of_a_caller_counts_against_no_runner,
            answer_without_body_leaves_the_connection_sound])
