"""Plays callers that do not keep to the gateway's limits: many bodies that stop
short of their end, bodies over the limit, header sections that never end, and
connections without a request.

Guards against a process that exceeds the memory or the descriptors of its
machine, and against one that answers nobody else afterwards."""

import functools
import os
import socket
import threading
import time

import fleet_platform
from gateway_fixture import Gateway, run_checks, wait_until

# Of the machine, in the settings of the gateway under test.
MEMORY_MB = 48
MAX_FDS = 150
MAX_BODY_BYTES = 2 * 1024 * 1024
MAX_HEADER_BYTES = 16384

CLIENTS = 40
IDLE_CLIENTS = 200
# Permitted bodies that arrive at once; each is served or refused.
BURST = 17
# How long a client goes on sending while the gateway reads nothing.
SEND_SECONDS = 6
SETTLED_SECONDS = 1
# Connections that a client opens one after the other.
RETURNS = 4

HEAD = (b"POST /u/x HTTP/1.1\r\nHost: h.example\r\nAttempt-Id: e%d\r\n"
        b"Api-Key: k1\r\nDeadline-Ms: 5000\r\n")
SHORT_BY = 10
MESSAGE = b"x" * (MAX_BODY_BYTES - SHORT_BY)


def chunks(size, total):
    """Returns chunks of a size, of `total` bytes, without the last chunk."""
    return (b"%x\r\n" % size + b"c" * size + b"\r\n") * (total // size)


LARGE_CHUNKS = chunks(64 * 1024, MAX_BODY_BYTES - 64 * 1024)
SMALL_CHUNKS = chunks(16, MAX_BODY_BYTES * 9 // 10)


def sized(number, length=MAX_BODY_BYTES):
    return HEAD % number + b"Content-Length: %d\r\n\r\n" % length


def chunked(number):
    return HEAD % number + b"Transfer-Encoding: chunked\r\n\r\n"


def whole(number):
    yield sized(number) + MESSAGE


def fragments(number):
    yield sized(number)
    for start in range(0, len(MESSAGE), 60000):
        yield MESSAGE[start:start + 60000]


def large_chunks(number):
    yield chunked(number) + LARGE_CHUNKS


def small_chunks(number):
    yield chunked(number) + SMALL_CHUNKS


def declared_too_large(number):
    yield sized(number, 64 * MAX_BODY_BYTES) + MESSAGE


def sent_too_large(number):
    yield chunked(number)
    for _ in range(4):
        yield LARGE_CHUNKS


def endless_head(number):
    yield HEAD % number
    yield b"X: " + b"y" * (MAX_HEADER_BYTES - 400)


KINDS = [whole, fragments, large_chunks, small_chunks, declared_too_large,
         sent_too_large, endless_head]


def status_of(gateway, name):
    with open("/proc/%d/status" % gateway.process.pid, encoding="utf-8") as file:
        for line in file:
            if line.startswith(name + ":"):
                return int(line.split()[1])
    raise AssertionError("no " + name)


def descriptors(gateway):
    return len(os.listdir("/proc/%d/fd" % gateway.process.pid))


class Client(threading.Thread):
    """Sends bytes until it is cut off or the gateway reads nothing for a while,
    and keeps its connection open."""

    def __init__(self, gateway, parts):
        super().__init__(daemon=True)
        self.connection = socket.create_connection(
            (gateway.address, gateway.frontend_port))
        self.parts = parts
        self.start()

    def run(self):
        self.connection.settimeout(SEND_SECONDS)
        try:
            for part in self.parts:
                self.connection.sendall(part)
        except OSError:
            pass


class ReturningClient(Client):
    """Opens another connection as soon as it is cut off, and sends again."""

    def __init__(self, gateway, make_parts):
        self.gateway = gateway
        self.make_parts = make_parts
        # Not closed by the client.
        self.ended_connections = []
        super().__init__(gateway, make_parts())

    def run(self):
        for _ in range(RETURNS):
            super().run()
            try:
                while self.connection.recv(4096):
                    pass
            except socket.timeout:
                return
            except OSError:
                pass
            self.ended_connections.append(self.connection)
            self.connection = socket.create_connection(
                (self.gateway.address, self.gateway.frontend_port))
            self.parts = self.make_parts()


def start_gateway(platform, name):
    platform.store.put("op/config", dict(
        fleet_platform.CONFIGURATION, limits={
            "maxHeaderBytes": MAX_HEADER_BYTES, "maxBodyBytes": MAX_BODY_BYTES,
            "headerTimeoutMs": 3000, "idleTimeoutMs": 15000}))
    gateway = Gateway(name, platform.store, limits={
        "memoryMb": MEMORY_MB, "maxFds": MAX_FDS})
    platform.gateways.append(gateway)
    wait_until(gateway.is_ready, what=name + " ready")
    return gateway


def wait_until_read(gateway):
    """Waits until the gateway takes no more memory: the kernel accepts the bytes
    of a client before the gateway reads them."""
    peak, since = status_of(gateway, "VmHWM"), time.monotonic()
    while time.monotonic() < since + SETTLED_SECONDS:
        time.sleep(0.05)
        if status_of(gateway, "VmHWM") > peak:
            peak, since = status_of(gateway, "VmHWM"), time.monotonic()


def check_within_limits(gateway, name, most_fds):
    peak_kib = status_of(gateway, "VmHWM")
    print("  ", name, "%d KiB at most, %d descriptors" % (peak_kib, most_fds),
          flush=True)
    assert gateway.process.poll() is None, name
    assert peak_kib <= MEMORY_MB * 1024, (name, peak_kib)
    assert most_fds <= MAX_FDS, (name, most_fds)


def check_served(gateway, attempt):
    """An ordinary caller is answered, if need be at a later attempt."""
    def is_served():
        try:
            return gateway.call("POST", "/u/y", attempt=attempt,
                                body=b"small")[0] == 200
        except OSError:
            return False
    wait_until(is_served, 30, attempt + " to be served")


def play(platform, name, count, make_parts):
    play_clients(platform, name, lambda gateway: [
        Client(gateway, make_parts(number)) for number in range(count)])


def play_clients(platform, name, start_clients):
    gateway = start_gateway(platform, name)
    clients = start_clients(gateway)
    most_fds = 0
    while any(client.is_alive() for client in clients):
        most_fds = max(most_fds, descriptors(gateway))
        time.sleep(0.05)
    wait_until_read(gateway)
    most_fds = max(most_fds, descriptors(gateway))
    check_within_limits(gateway, name, most_fds)
    # The clients have still not closed their connections.
    check_served(gateway, name)
    check_within_limits(gateway, name, most_fds)
    for client in clients:
        client.connection.close()
    gateway.stop()


def make_kind_check(kind):
    def check(platform):
        play(platform, kind.__name__, CLIENTS, kind)
    check.__name__ = "bodies_" + kind.__name__
    return check


def a_mixture_of_all(platform):
    play(platform, "mixture", CLIENTS,
         lambda number: KINDS[number % len(KINDS)](number))


def clients_that_return_at_once(platform):
    play_clients(platform, "returning", lambda gateway: [
        ReturningClient(gateway, functools.partial(
            KINDS[number % len(KINDS)], number)) for number in range(CLIENTS)])


def connections_without_a_request(platform):
    play(platform, "idle", IDLE_CLIENTS, lambda number: ())


def permitted_bodies_are_served_or_refused(platform):
    gateway = start_gateway(platform, "permitted")
    body = b"p" * MAX_BODY_BYTES
    assert gateway.call("POST", "/u/one", attempt="one", body=body)[0] == 200
    statuses = []

    def call(number):
        try:
            statuses.append(gateway.call(
                "POST", "/u/b", attempt="b%d" % number, body=body)[0])
        except OSError:  # Closed before it could be told.
            statuses.append(0)
    threads = [threading.Thread(target=call, args=(number,))
               for number in range(BURST)]
    for thread in threads:
        thread.start()
    for thread in threads:
        thread.join()
    assert set(statuses) <= {200, 503, 0} and 200 in statuses, statuses
    check_within_limits(gateway, "permitted", descriptors(gateway))
    check_served(gateway, "after")


if __name__ == "__main__":
    run_checks([make_kind_check(kind) for kind in KINDS] +
               [a_mixture_of_all, clients_that_return_at_once,
                connections_without_a_request,
                permitted_bodies_are_served_or_refused])
