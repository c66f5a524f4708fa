"""An empty chunked body whose last bytes arrive one by one ends the gateway.

Callers book on kept connections at two gateways. At the first, one more caller
sends a request with an empty chunked body; at the second, a runner answers one
lookup with such a body. The disruption is that the five bytes of the last chunk
arrive as three segments. TROUBLE=0 sends the same bytes at once."""

import asyncio
import os
import sys
import threading
import time

FOLDER = os.path.dirname(os.path.abspath(__file__))
sys.path.insert(0, os.path.join(os.path.dirname(FOLDER), "lib"))
from harness import (  # noqa: E402
    BROKEN, CallerLink, CutAnswer, Deployment, HELD, ReviewRunner, TROUBLE, request_bytes,
    run_case, write_response)

CALLERS = 6
WORK_SECONDS = 0.4
BOOKING_SECONDS = 4.0
# The rule allows this many at a machine.
ALLOWED = 3
LOOKUP = "lookup-with-an-empty-answer"


PARTS = [b"0\r\n", b"\r", b"\n"] if TROUBLE else [b"0\r\n\r\n"]
PAUSE_SECONDS = 0.05


class Desk(ReviewRunner):
    async def answer(self, writer, attempt, headers, identity):
        if attempt == LOOKUP:
            head = ["HTTP/1.1 200 OK", "Transfer-Encoding: chunked"]
            head += ["%s: %s" % row for row in identity]
            writer.write(("\r\n".join(head) + "\r\n\r\n").encode())
            for part in PARTS:
                await writer.drain()
                await asyncio.sleep(PAUSE_SECONDS)
                self.deployment.record.write("runner %s sends %r id=%s" % (
                    self.name, part, attempt))
                writer.write(part)
            return True
        await asyncio.sleep(WORK_SECONDS)
        write_response(writer, 200, b"booked", identity)
        return True


def book(record, gateway, name, lost):
    """Books on one kept connection until it closes."""
    link = CallerLink(gateway)
    end = time.monotonic() + BOOKING_SECONDS
    number = 0
    while time.monotonic() < end:
        attempt = "%s-%d" % (name, number)
        record.write("caller sends id=%s to %s" % (attempt, gateway.name))
        try:
            link.send(request_bytes("POST", "/book/deposit", attempt, b"deposit"))
            status, _, _ = link.read_answer()
        except OSError as error:
            record.write("caller gets no answer id=%s: %s" % (attempt, error))
            is_closed = isinstance(error, ConnectionError)
            if number > 0 and is_closed and not isinstance(error, CutAnswer):
                lost.append((gateway.name, attempt))
            return
        record.write("caller gets %d id=%s" % (status, attempt))
        number += 1


def send_chunked(record, gateway):
    """One proper request with an empty body in chunks."""
    attempt = "chunked-booking"
    link = CallerLink(gateway)
    record.write("caller sends id=%s to %s" % (attempt, gateway.name))
    link.send(request_bytes("POST", "/book/deposit", attempt,
                            framing="Transfer-Encoding: chunked"))
    for part in PARTS:
        time.sleep(PAUSE_SECONDS)
        record.write("caller sends %r id=%s" % (part, attempt))
        try:
            link.send(part)
        except OSError:
            break
    read(record, link, attempt)


def look_up(record, gateway):
    """One lookup, which a runner answers with an empty body in chunks."""
    link = CallerLink(gateway)
    record.write("caller sends id=%s to %s" % (LOOKUP, gateway.name))
    link.send(request_bytes("GET", "/stock/empty", LOOKUP))
    read(record, link, LOOKUP)


def read(record, link, attempt):
    try:
        status, _, _ = link.read_answer()
        record.write("caller gets %d id=%s" % (status, attempt))
    except OSError as error:
        record.write("caller gets no answer id=%s: %s" % (attempt, error))


def check(record):
    zones = ["gulf-a", "gulf-b", "gulf-c"]
    deployment = Deployment(record, 2, [
        (Desk, "desk-%d" % number, "lend-desk", zone)
        for number, zone in enumerate(zones)])
    try:
        lost = []
        threads = [
            threading.Thread(target=book, args=(
                record, gateway, "booking-%s-%d" % (gateway.name, number), lost))
            for gateway in deployment.gateways for number in range(CALLERS)]
        for thread in threads:
            thread.start()
        time.sleep(1.2)
        send_chunked(record, deployment.gateways[0])
        time.sleep(1.2)
        look_up(record, deployment.gateways[1])
        for thread in threads:
            thread.join()
        ran = {run[0] for runner in deployment.runners for run in runner.runs}
        result = HELD
        for gateway in deployment.gateways:
            passed_on = [attempt for name, attempt in lost
                         if name == gateway.name and attempt in ran]
            record.write("%s: exit code %s; %d requests of kept connections were "
                         "run and their connections closed without an answer "
                         "(allowed: %d)" % (gateway.name, gateway.process.poll(),
                                            len(passed_on), ALLOWED))
            for line in gateway.log_text().splitlines():
                if "ssertion" in line:
                    record.write("%s says: %s" % (gateway.name, line))
            if len(passed_on) > ALLOWED:
                result = BROKEN
        return result
    finally:
        deployment.close()


run_case(FOLDER, check)
