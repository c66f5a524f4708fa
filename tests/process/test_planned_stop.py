"""Sends requests to a gateway that stops, early and late in its grace.

Guards against requests that are taken late and cut without an answer when the
grace ends."""

import asyncio
import http.client
import signal
import socket
import threading
import time

from fleet_platform import Runner
from gateway_fixture import run_checks, wait_until


class SlowRunner(Runner):
    """A runner whose calls last for a while."""

    work_s = 1.4

    def __init__(self, *arguments):
        # The attempt ids of the calls that arrived.
        self.arrived = []
        super().__init__(*arguments)

    async def handle(self, writer, method, target, headers, body):
        self.arrived.append(headers["attempt-id"])
        await asyncio.sleep(self.work_s)
        return await super().handle(writer, method, target, headers, body)


def replace_desk(platform, work_s):
    for runner in platform.desk:
        runner.crash()
        platform.store.delete("servers/" + runner.name)
    platform.desk = []
    for number in range(2):
        runner = SlowRunner(platform.store, "slow-%d" % number, "desk")
        runner.work_s = work_s
        runner.register()
        platform.desk.append(runner)


def send_until_closed(gateway, name, outcomes):
    """Books on new connections until the process is gone; notes the outcome of each
    booking: its status, or None where the connection ended."""
    number = 0
    while True:
        number += 1
        attempt = "%s-%d" % (name, number)
        try:
            link = socket.create_connection(
                (gateway.address, gateway.frontend_port), timeout=8)
        except OSError:
            return
        with link:
            try:
                link.sendall(b"POST /u/x HTTP/1.1\r\nHost: h.example\r\n"
                             b"Api-Key: k1\r\nDeadline-Ms: 6000\r\n"
                             b"Attempt-Id: %s\r\nContent-Length: 1\r\n\r\nb" %
                             attempt.encode())
                reply = http.client.HTTPResponse(link)
                reply.begin()
                reply.read()
                outcomes.append((attempt, reply.status))
            except (OSError, http.client.HTTPException):
                outcomes.append((attempt, None))
        time.sleep(0.02)


def stop_beside_bookings(platform, grace_s, work_s):
    replace_desk(platform, work_s)
    gateway = platform.gateway("grace-%s" % grace_s, bounds={"graceS": grace_s})
    outcomes = []
    threads = [threading.Thread(target=send_until_closed,
                                args=(gateway, "b%d" % number, outcomes))
               for number in range(6)]
    for thread in threads:
        thread.start()
    time.sleep(1)
    assert gateway.is_ready()
    begin = time.monotonic()
    gateway.process.send_signal(signal.SIGTERM)
    wait_until(lambda: gateway.process.poll() is not None, grace_s + 2,
               "the process to end")
    elapsed = time.monotonic() - begin
    for thread in threads:
        thread.join()
    assert elapsed < grace_s, "ended after %.2f s of %.2f" % (elapsed, grace_s)
    ids = [attempt for runner in platform.desk for attempt in runner.arrived]
    assert len(ids) == len(set(ids)), "run twice"
    return outcomes, set(ids)


def late_bookings_are_told(platform):
    """Guards against bookings that are taken late in a short grace and cut at its
    end."""
    for grace_s in (2, 3):
        outcomes, passed_on = stop_beside_bookings(platform, grace_s, 1.4)
        # A booking that crossed the close of its connection was not passed on.
        cut = [attempt for attempt, status in outcomes
               if status is None and attempt in passed_on]
        assert not cut, "%d of %d bookings were cut" % (len(cut), len(outcomes))
        refused = [attempt for attempt, status in outcomes if status == 503]
        assert refused, outcomes
        assert not passed_on.intersection(refused), "refused, but run"


def what_is_left_at_the_end_is_told(platform):
    """Guards against a booking without an answer that lasts beyond the grace."""
    replace_desk(platform, 30)
    gateway = platform.gateway("left", bounds={"graceS": 2})
    statuses = []

    def book():
        statuses.append(gateway.call("POST", "/u/x", body=b"b")[0])
    thread = threading.Thread(target=book)
    thread.start()
    wait_until(lambda: any(runner.arrived for runner in platform.desk),
               what="a run")
    gateway.process.send_signal(signal.SIGTERM)
    thread.join()
    assert statuses == [502], statuses
    assert gateway.process.wait(2) == 0


run_checks([late_bookings_are_told, what_is_left_at_the_end_is_told])
