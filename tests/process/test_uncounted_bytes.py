"""Plays callers whose bytes are in no body: header sections of many short
fields, bodies sent behind a request that is being served, and chunks of one
byte with extensions. Each comes from an address of its own.

Guards against a process that exceeds the memory or the descriptors of its
machine, with what the kernel holds for it, and against one that answers nobody
else afterwards."""

import socket
import threading
import time

import test_resource_exhaustion as callers
from gateway_fixture import run_checks, wait_until

# Of the machine, in the settings of the gateway under test.
callers.MEMORY_MB = 32
callers.MAX_FDS = 600

CLIENTS = 300
ORDINARY_BODY = b"p" * 17000
FIELD = b"a:1\r\n"
EXTENDED_CHUNK = b"1;" + b"e" * 200 + b"\r\nc\r\n"


def many_fields(number):
    fields = (callers.MAX_HEADER_BYTES - 400) // len(FIELD)
    yield (callers.HEAD % number + FIELD * fields +
           b"Content-Length: 1000\r\n\r\n" + b"x" * 990)


def behind_a_request(number):
    yield callers.HEAD % number + b"Content-Length: 1\r\n\r\nx"
    yield callers.sized(number) + callers.MESSAGE


def extended_chunks(number):
    yield callers.chunked(number)
    for _ in range(200):
        yield EXTENDED_CHUNK * 100


def unread_bytes(gateway):
    """What the kernel holds of connections to the gateway's callers' port."""
    port = ":%04X" % gateway.frontend_port
    with open("/proc/net/tcp", encoding="utf-8") as table:
        rows = [line.split() for line in table]
    return sum(int(row[4].split(":")[1], 16) for row in rows
               if row[1].endswith(port) and row[3] == "01")


class Client(callers.Client):
    """One that comes from an address of its own."""

    def __init__(self, gateway, number, parts):
        threading.Thread.__init__(self, daemon=True)
        self.connection = socket.create_connection(
            (gateway.address, gateway.frontend_port),
            source_address=("127.2.%d.%d" % (number // 200, number % 200 + 1), 0))
        self.parts = parts
        self.start()


def play(platform, name, make_parts):
    gateway = callers.start_gateway(platform, name)
    for runner in platform.desk:
        runner.answer_delay_s = 3
    clients = [Client(gateway, number, make_parts(number))
               for number in range(CLIENTS)]
    most_kib = most_fds = 0

    def watch():
        nonlocal most_kib, most_fds
        most_fds = max(most_fds, callers.descriptors(gateway))
        most_kib = max(most_kib, callers.status_of(gateway, "VmRSS") +
                       unread_bytes(gateway) // 1024)
    while any(client.is_alive() for client in clients):
        watch()
        time.sleep(0.05)
    callers.wait_until_read(gateway)
    watch()
    print("  ", name, "%d KiB with unread bytes" % most_kib, flush=True)
    assert most_kib <= callers.MEMORY_MB * 1024, (name, most_kib)
    callers.check_within_limits(gateway, name, most_fds)
    for runner in platform.desk:
        runner.answer_delay_s = 0

    def is_served():
        try:
            return gateway.call("POST", "/u/y", attempt=name,
                                body=ORDINARY_BODY)[0] == 200
        except OSError:
            return False
    wait_until(is_served, 30, name + " to be served")
    callers.check_within_limits(gateway, name, most_fds)
    for client in clients:
        client.connection.close()
    gateway.stop()


def make_check(kind):
    def check(platform):
        play(platform, kind.__name__, kind)
    check.__name__ = "requests_with_" + kind.__name__
    return check


if __name__ == "__main__":
    run_checks([make_check(kind) for kind in (
        many_fields, behind_a_request, extended_chunks)])
