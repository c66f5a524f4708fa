"""Shared parts of the review's scripts: a small deployment of gateways between
stand-ins for the platform's store and its runners, and the record of what was
sent, answered and run.

The store is the project's own stand-in (tests/process/fleet_platform.py); the
runners are small ones of this file. All addresses are loopback addresses."""

import json
import os
import random
import shutil
import signal
import socket
import subprocess
import sys
import tempfile
import threading
import time
import tomllib

ROOT = os.path.dirname(os.path.dirname(os.path.dirname(os.path.abspath(__file__))))
sys.path.insert(0, os.path.join(ROOT, "tests", "process"))
from fleet_platform import Server, Store, free_port, write_response  # noqa: E402

TROUBLE = os.environ.get("TROUBLE", "1") != "0"
HELD, BROKEN, CANNOT_RUN = 0, 1, 2
MAX_SECONDS = 110
HEARTBEAT_SECONDS = 1.2

# The bounds of sites/gulfway-lend.toml, as the settings file states them.
BOUNDS = {
    "contactMs": 3000, "ackMs": 4000, "drainMs": 2000, "graceS": 8,
    "lossSlackMs": 200, "configApplyMs": 2000, "retryBudgetRatio": 0.9,
    "retryWindowS": 10, "retrySlack": 56, "evacuateMs": 5000, "recoverS": 12,
    "sessionS": 5}
CONTACT_SECONDS = BOUNDS["contactMs"] / 1000

HOST = "desk.example"
KEY = "key-of-tenant-1"

# Routes and services with the figures of sites/gulfway-lend.toml.
CONFIGURATION = {
    "version": 1,
    "routeTable": [
        {"name": "ledger-summary", "host": HOST, "prefix": "/summary/",
         "kind": "streaming", "timeoutMs": 10000, "targetLatencyMs": 2000,
         "interTokenMs": 1000, "priority": 0, "service": "savory-llm",
         "maxAttempts": 3, "resumable": True, "sticky": True,
         "sizes": ["m0", "m1", "m2"], "anonymous": False},
        {"name": "book-deposit", "host": HOST, "prefix": "/book/",
         "kind": "unsafe", "timeoutMs": 2000, "targetLatencyMs": 300,
         "priority": 2, "service": "lend-desk", "maxAttempts": 1,
         "anonymous": False},
        {"name": "stock-lookup", "host": HOST, "prefix": "/stock/",
         "kind": "safe", "timeoutMs": 2000, "targetLatencyMs": 300,
         "priority": 2, "service": "lend-desk", "maxAttempts": 2,
         "anonymous": False}],
    "services": [
        {"name": "savory-llm", "healthPath": "/healthz", "maxConnections": 370,
         "coldStartS": 3, "coldPerS": 6.9,
         "engine": {"slots": 64, "kvCapacityTokens": 458358, "models": [
             {"name": "m0", "cost": 0.0085}, {"name": "m1", "cost": 0.064},
             {"name": "m2", "cost": 0.13}]}},
        {"name": "lend-desk", "healthPath": "/healthz", "maxConnections": 110,
         "coldStartS": 0, "coldPerS": 0}],
    "limits": {"maxHeaderBytes": 16384, "maxBodyBytes": 4194304,
               "headerTimeoutMs": 3000, "idleTimeoutMs": 15000},
    "tenants": [{"name": "tenant-1", "apiKeys": [KEY]}]}


class Record:
    """The file record.txt of a case: one line for each thing that happened."""

    def __init__(self, folder):
        self.file = open(os.path.join(folder, "record.txt"), "w", encoding="utf-8")
        self.start = time.monotonic()
        self.lock = threading.Lock()

    def write(self, text):
        with self.lock:
            self.file.write("%8.3f  %s\n" % (time.monotonic() - self.start, text))
            self.file.flush()


class ReviewRunner(Server):
    """A sound runner. It registers, renews its registration, checks
    Expect-Runner, echoes Attempt-Id and signs what it ran. Subclasses override
    answer()."""

    slots = 6

    def __init__(self, deployment, name, service, zone):
        self.deployment = deployment
        self.name = name
        self.service = service
        self.zone = zone
        self.born = int(time.time() * 1000)
        self.sequence = 0
        self.alive = True
        # End of the time for which the runner is cold after a start.
        self.cold_until = 0.0
        # Attempt id, method, target and body of each request that ran.
        self.runs = []
        super().__init__()
        threading.Thread(target=self._renew, daemon=True).start()

    def register(self):
        self.sequence += 1
        self.deployment.store.put("servers/" + self.name, {
            "service": self.service, "address": self.address,
            "zone": self.zone, "version": "v1", "slots": self.slots,
            "state": "ready",
            "coldRemainingMs": max(0, int(1000 * (self.cold_until -
                                                  time.monotonic()))),
            "sequence": self.sequence, "born": self.born})

    def _renew(self):
        while self.alive:
            self.register()
            time.sleep(HEARTBEAT_SECONDS)

    async def handle(self, writer, method, target, headers, body):
        attempt = headers.get("attempt-id", "")
        identity = [("Attempt-Id", attempt), ("Runner-Id", self.name)]
        if headers.get("expect-runner") != self.name:
            write_response(writer, 421, b"", identity + [("Not-Executed", "1")])
            return True
        self.runs.append((attempt, method, target, body))
        self.deployment.record.write("runner %s runs id=%s %s %s body=%r" % (
            self.name, attempt, method, target, body[:40]))
        identity.append(("Runner-Signature", "sig-" + self.name))
        return await self.answer(writer, attempt, headers, identity)

    async def answer(self, writer, attempt, headers, identity):
        write_response(writer, 200, b"done by " + self.name.encode(), identity)
        return True

    def crash(self):
        self.alive = False
        super().crash()


class Gateway:
    """One gateway process, started with the command of the deploy file."""

    def __init__(self, deployment, number):
        self.deployment = deployment
        zone = deployment.zones[number]
        self.name = "edge-%s-1" % zone
        self.address = deployment.addresses[number]
        self.frontend = (self.address, deployment.ports[0])
        self.path = os.path.join(deployment.folder, self.name + ".json")
        address = self.address
        settings = {
            "nodeName": self.name, "role": "gateway", "machineClass": "edge",
            "serves": ["edge", "control"], "ip": address,
            "zone": zone, "region": "the-region",
            "listen": {"frontend": "%s:%d" % self.frontend,
                       "readyAddress": "%s:%d" % (address, deployment.ports[1]),
                       "controlPlane": "%s:%d" % (address, deployment.ports[2])},
            "portRange": [deployment.ports[3], deployment.ports[3] + 15],
            "seeds": ["%s:%d" % (seed, deployment.ports[2])
                      for seed in deployment.addresses],
            "bounds": BOUNDS, "heartbeatMs": 1200,
            "platform": {"address": deployment.store.address, "form": "kv"}}
        with open(self.path, "w", encoding="utf-8") as file:
            json.dump(settings, file)
        self.log = open(os.path.join(deployment.folder, self.name + ".log"), "ab")
        self.process = None
        self.start()

    def start(self):
        self.process = subprocess.Popen(
            deployment_command(), cwd=ROOT, stdout=self.log, stderr=self.log,
            env=dict(os.environ, SAVORYSTREAM_CONFIG=self.path))
        self.deployment.record.write("%s starts" % self.name)

    def is_ready(self):
        try:
            with socket.create_connection(
                    (self.address, self.deployment.ports[1]), 1) as link:
                link.sendall(b"GET /readyz HTTP/1.1\r\nHost: x\r\n\r\n")
                return link.recv(64).startswith(b"HTTP/1.1 200")
        except OSError:
            return False

    def log_text(self):
        with open(self.log.name, encoding="utf-8", errors="replace") as file:
            return file.read()


def deployment_command():
    """The command of the deploy file, with the path of the program resolved."""
    with open(os.path.join(ROOT, "deploy", "system.toml"), "rb") as file:
        words = tomllib.load(file)["roles"]["gateway"]["run"].split()
    return [os.path.join(ROOT, words[0])] + words[1:]


def _port(addresses):
    """A port that is free on all addresses, for TCP and UDP."""
    while True:
        port = free_port()
        try:
            for address in addresses:
                for kind in (socket.SOCK_STREAM, socket.SOCK_DGRAM):
                    with socket.socket(socket.AF_INET, kind) as probe:
                        probe.bind((address, port))
            return port
        except OSError:
            continue


class Deployment:
    """Store, runners and gateways. Ends all processes on close()."""

    def __init__(self, record, gateways, runners, configuration=CONFIGURATION,
                 zones=("gulf-a", "gulf-b", "gulf-c")):
        """runners: rows of class, name, service and zone."""
        self.record = record
        self.zones = zones
        self.folder = tempfile.mkdtemp(prefix="savory-review-")
        net = random.SystemRandom()
        prefix = "127.%d.%d." % (net.randrange(30, 250), net.randrange(1, 250))
        self.addresses = [prefix + str(number + 1) for number in range(gateways)]
        self.ports = [_port(self.addresses) for _ in range(4)]
        self.store = Store()
        self.store.put("op/config", configuration)
        self.runners = [row[0](self, *row[1:]) for row in runners]
        self.gateways = []
        try:
            for number in range(gateways):
                self.gateways.append(Gateway(self, number))
            self._wait_until_ready()
        except BaseException:
            self.close()
            raise

    def _wait_until_ready(self):
        end = time.monotonic() + 15
        while not all(gateway.is_ready() for gateway in self.gateways):
            if time.monotonic() > end:
                raise RuntimeError("the gateways did not become ready")
            time.sleep(0.05)
        self.record.write("all gateways are ready")
        # From here on they are in touch, as the rules count it.
        time.sleep(CONTACT_SECONDS + 0.5)

    def close(self):
        for gateway in self.gateways:
            if gateway.process.poll() is None:
                gateway.process.kill()
            gateway.process.wait()
        shutil.rmtree(self.folder, ignore_errors=True)


def request_bytes(method, target, attempt, body=b"", deadline_ms=4000,
                  framing=None, extra=()):
    """The bytes of one request of a sound caller; `framing` replaces the
    Content-Length header."""
    rows = ["%s %s HTTP/1.1" % (method, target), "Host: " + HOST,
            "Attempt-Id: " + attempt, "Api-Key: " + KEY,
            "Deadline-Ms: %d" % deadline_ms]
    rows += ["%s: %s" % row for row in extra]
    rows.append(framing or "Content-Length: %d" % len(body))
    return ("\r\n".join(rows) + "\r\n\r\n").encode() + body


class CutAnswer(ConnectionError):
    """The connection closed after a part of the answer."""


class BadAnswer(Exception):
    """Bytes that are no answer in the protocol."""


class CallerLink:
    """One connection of a caller, with a strict reader of answers."""

    def __init__(self, gateway, timeout=5.0):
        self.socket = socket.create_connection(gateway.frontend, timeout)
        self.socket.settimeout(timeout)
        self.socket.setsockopt(socket.IPPROTO_TCP, socket.TCP_NODELAY, 1)
        self.buffer = b""
        # A byte of the answer to the last request has arrived.
        self.began = False

    def send(self, data):
        self.began = False
        self.socket.sendall(data)

    def _fill(self):
        data = self.socket.recv(65536)
        if not data:
            raise (CutAnswer if self.began else ConnectionError)(
                "closed by the gateway")
        self.began = True
        self.buffer += data

    def read_until(self, mark):
        while mark not in self.buffer:
            self._fill()
        found, self.buffer = self.buffer.split(mark, 1)
        return found

    def read_bytes(self, count):
        while len(self.buffer) < count:
            self._fill()
        found, self.buffer = self.buffer[:count], self.buffer[count:]
        return found

    def read_head(self):
        """Reads status and headers (lower case) of one answer."""
        while len(self.buffer) < 9:
            self._fill()
        if not self.buffer.startswith(b"HTTP/1.1 "):
            raise BadAnswer(repr(self.buffer[:40]))
        lines = self.read_until(b"\r\n\r\n").decode("latin-1").split("\r\n")
        headers = {}
        for line in lines[1:]:
            name, value = line.split(":", 1)
            headers[name.lower()] = value.strip()
        return int(lines[0].split(" ")[1]), headers

    def read_answer(self, on_chunk=lambda chunk: None):
        """Reads one answer; returns status, headers and body. Answers 204 and
        304 have no body, whatever their headers say (RFC 9112, 6.3)."""
        status, headers = self.read_head()
        body = b""
        if status in (204, 304):
            return status, headers, body
        if headers.get("transfer-encoding") == "chunked":
            while True:
                size = int(self.read_until(b"\r\n"), 16)
                chunk = self.read_bytes(size)
                self.read_bytes(2)
                if not size:
                    return status, headers, body
                body += chunk
                on_chunk(chunk)
        return status, headers, self.read_bytes(int(headers["content-length"]))

    def close(self):
        self.socket.close()


def run_case(folder, check):
    """Runs check(record), which returns HELD or BROKEN, and exits with that."""
    def give_up(_signal, _frame):
        raise RuntimeError("the case took too long")
    signal.signal(signal.SIGALRM, give_up)
    signal.signal(signal.SIGTERM, give_up)
    signal.alarm(MAX_SECONDS)
    record = Record(folder)
    record.write("TROUBLE=%d" % TROUBLE)
    failed = []
    threading.excepthook = lambda row: failed.append(row.exc_value)
    try:
        result = check(record)
        if failed:
            raise RuntimeError("a stand-in failed: %r" % failed[0])
    except Exception as error:  # Whatever it is, the case could not run.
        record.write("could not run: %r" % error)
        result = CANNOT_RUN
    record.write("result: %s" % ("the rule held", "the rule was broken",
                                 "could not run")[result])
    record.file.close()
    sys.stdout.flush()
    os._exit(result)
