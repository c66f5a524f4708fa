"""Stand-ins for the users' platform, and the gateway process, for the scripts
of the cases 11 to 15. Python's standard library only; loopback addresses only.

The stand-ins do what PROTOCOL.md and DEPLOY.md say: a store with watches, runners
that register with heartbeats and answer with their signature, and a platform that
asks /readyz once a second and kills a process that exceeds `memoryMb`."""

import asyncio
import base64
import json
import os
import random
import resource
import signal
import socket
import subprocess
import sys
import tempfile
import threading
import time
import urllib.parse

ROOT = os.path.dirname(os.path.dirname(os.path.abspath(__file__)))
BINARY = os.path.join(ROOT, "target", "bin", "savorystream")
TROUBLE = os.environ.get("TROUBLE", "1") != "0"
HOST = "ficu95.example"
KEY = "n2ctnfzs989anu6wsjnb"
HELD, BROKEN, CANNOT_RUN = 0, 1, 2
RUN_LIMIT_S = 110

# Machines and bounds of sites/dialworks-kolkata.toml.
MEMORY_MB = 110
MAX_FDS = 4100
CONTACT_MS = 3000
HEARTBEAT_S = 1.2
MODELS = ["daka510000", "rada7437b5", "ravo486f6a"]
BOUNDS = {
    "seedLagS": 3, "reuseAfterS": 2, "contactMs": CONTACT_MS, "ackMs": 4000,
    "catchUpS": 4, "drainMs": 2000, "graceS": 8, "lossSlackMs": 200,
    "configApplyMs": 2000, "rollbackSlackMs": 250, "stretchMaxMs": 5000,
    "strictRevocation": False, "revokeMs": 5000, "retryBudgetRatio": 0.9,
    "retryWindowS": 10, "retrySlack": 56, "exposureShare": 0.15,
    "exposureSlack": 30, "rollbackMs": 5000, "coldOverrun": 1.5, "coldSlack": 5,
    "evacuateMs": 5000, "recoverS": 12, "passMs": 120, "reuseWindowS": 9,
    "sessionS": 5}
LIMITS = {"maxHeaderBytes": 16384, "maxBodyBytes": 4194304,
          "headerTimeoutMs": 3000, "idleTimeoutMs": 15000}


def configuration(routes=()):
    """Routes and services as on the sheet; `routes` are added to them."""
    return {
        "version": 7,
        "routeTable": [
            {"name": "r-dossier", "host": HOST, "prefix": "/lohu930/",
             "kind": "streaming", "timeoutMs": 12000, "targetLatencyMs": 2000,
             "priority": 1, "sizes": MODELS, "service": "huvo11a",
             "maxAttempts": 3, "anonymous": False, "sticky": True,
             "resumable": True, "interTokenMs": 1200},
            {"name": "r-handover", "host": HOST, "prefix": "/puxa403/",
             "kind": "unsafe", "timeoutMs": 800, "targetLatencyMs": 300,
             "priority": 2, "service": "wuno96b", "maxAttempts": 1,
             "anonymous": False},
            {"name": "r-status", "host": HOST, "prefix": "/cufi504/",
             "kind": "safe", "timeoutMs": 800, "targetLatencyMs": 300,
             "priority": 2, "service": "wuno96b", "maxAttempts": 2,
             "anonymous": False}] + list(routes),
        "services": [
            {"name": "huvo11a", "healthPath": "/healthz", "maxConnections": 370,
             "protocol": "h1", "tls": False, "coldStartS": 3.0, "coldPerS": 9.1,
             "engine": {"slots": 64, "kvCapacityTokens": 404798,
                        "kvBytes": 163840, "linkMbps": 1100000.0, "moves": True,
                        "backups": True, "stride": 6, "most": 12,
                        "pinMs": 4000.0, "holdMs": 2000.0, "cacheHandleS": 5.0,
                        "models": [{"name": name, "cost": cost} for name, cost
                                   in zip(MODELS, (0.0088, 0.066, 0.13))]}},
            {"name": "wuno96b", "healthPath": "/healthz", "maxConnections": 110,
             "protocol": "h1", "tls": False, "coldStartS": 0.0,
             "coldPerS": 0.0}],
        "limits": LIMITS,
        "tenants": [{"name": "hule930", "apiKeys": [KEY], "priority": 1}]}


class Record:
    """What was sent, answered and run, as a file beside the script."""

    def __init__(self, path):
        self.begin = time.monotonic()
        self.lock = threading.Lock()
        self.file = open(path, "w", encoding="utf-8")

    def now(self):
        return time.monotonic() - self.begin

    def write(self, text):
        with self.lock:
            self.file.write("%8.3f %s\n" % (self.now(), text))
            self.file.flush()

    def say(self, text):
        self.write(text)
        print(text, flush=True)


def free_port(address):
    while True:
        port = random.SystemRandom().randrange(12000, 32000)
        with socket.socket() as probe:
            try:
                probe.bind((address, port))
                return port
            except OSError:
                pass


# The event loop of all stand-ins.
LOOP = asyncio.new_event_loop()
threading.Thread(target=LOOP.run_forever, daemon=True).start()


def on_loop(coroutine):
    return asyncio.run_coroutine_threadsafe(coroutine, LOOP).result()


class Server:
    """An HTTP/1.1 server on a loopback address."""

    def __init__(self, address, port=0):
        self.ip = address
        self.port = port or free_port(address)
        self.address = "%s:%d" % (address, self.port)
        self.writers = set()
        self.server = None
        on_loop(self.listen())

    async def listen(self):
        self.server = await asyncio.start_server(
            self._serve, self.ip, self.port, limit=1 << 17, backlog=1024)

    async def _serve(self, reader, writer):
        self.writers.add(writer)
        try:
            while True:
                head = (await reader.readuntil(b"\r\n\r\n")).decode("latin-1")
                lines = head.split("\r\n")
                method, target, _ = lines[0].split(" ")
                headers = {}
                for line in lines[1:]:
                    if line:
                        name, value = line.split(":", 1)
                        headers[name.lower()] = value.strip()
                body = await reader.readexactly(
                    int(headers.get("content-length", 0)))
                if not await self.handle(reader, writer, method, target, headers,
                                         body):
                    return
        except (asyncio.IncompleteReadError, ConnectionError):
            pass
        finally:
            self.writers.discard(writer)
            writer.close()


def answer(writer, status, body=b"", headers=()):
    lines = ["HTTP/1.1 %d X" % status, "Content-Length: %d" % len(body)]
    lines += ["%s: %s" % row for row in headers]
    writer.write(("\r\n".join(lines) + "\r\n\r\n").encode() + body)


class Store(Server):
    """The platform's store."""

    def __init__(self, address="127.0.0.1"):
        self.revision = 100
        self.items = {}
        self.history = []
        super().__init__(address)

    def put(self, key, value):
        self.put_bytes(key, json.dumps(value).encode())

    def put_bytes(self, key, value):
        async def change():
            self.change(key, value)
        on_loop(change())

    def change(self, key, value, is_new=True):
        self.revision += is_new
        if value is None:
            self.items.pop(key, None)
            row = {"key": key, "revision": self.revision, "tombstone": True}
        else:
            row = {"key": key, "revision": self.revision,
                   "created": self.items.get(key, {}).get("created",
                                                          self.revision),
                   "lease": 0, "value": base64.b64encode(value).decode()}
            self.items[key] = row
        self.history.append(row)

    async def handle(self, reader, writer, method, target, headers, body):
        url = urllib.parse.urlsplit(target)
        query = dict(urllib.parse.parse_qsl(url.query, keep_blank_values=True))

        def reply(value, status=200):
            answer(writer, status, json.dumps(value).encode(),
                   [("Content-Type", "application/json")])
        if url.path == "/kv-range":
            rows = [row for key, row in sorted(self.items.items())
                    if key.startswith(query["prefix"]) and
                    key > query.get("after", "")]
            reply({"entries": rows[:500], "hasMore": len(rows) > 500,
                   "at": self.revision})
        elif url.path == "/kv-watch":
            end = time.monotonic() + int(query["waitMs"]) / 1000
            while True:
                events = [row for row in self.history
                          if row["revision"] > int(query["after"]) and
                          row["key"].startswith(query["prefix"])]
                if events or time.monotonic() > end:
                    break
                await asyncio.sleep(0.02)
            reply({"events": events, "at": self.revision})
        elif url.path == "/kv-txn":
            call = json.loads(body)
            if all(self.items.get(row["key"], {"revision": 0})["revision"] ==
                   row["revision"] for row in call["expectedRevision"]):
                for number, row in enumerate(call["puts"]):
                    self.change(row["key"], base64.b64decode(row["value"]),
                                number == 0)
                reply({"revision": self.revision})
            else:
                reply({"entries": []}, 412)
        else:
            answer(writer, 404)
        return True


def entry(service, address, zone, slots, sequence, born):
    """A runner's entry in the store."""
    return json.dumps({
        "service": service, "address": address, "zone": zone, "version": "v1",
        "slots": slots, "state": "ready", "coldRemainingMs": 0,
        "phase": "unified", "models": [], "sequence": sequence,
        "born": born}).encode()


class Runner(Server):
    """A runner. It records each request that it runs, registers with heartbeats,
    tells its load, and answers 421 to another runner's requests and to a model
    that it does not have."""

    def __init__(self, store, name, service, address="127.0.0.1",
                 zone="howrah", slots=64, port=0):
        self.store = store
        self.name = name
        self.service = service
        self.zone = zone
        self.slots = slots
        self.sequence = 0
        self.born = int(time.time() * 1000)
        self.active = 0
        self.work_s = 0.06
        self.first_event_s = 0.2
        self.body_bytes = 800
        # Other lengths, by the first part of the path.
        self.long_bodies = {}
        # Attempt ids of the requests that ran.
        self.runs = []
        super().__init__(address, port)
        asyncio.run_coroutine_threadsafe(self.beat(), LOOP)

    async def beat(self):
        while self.store:
            self.sequence += 1
            self.store.change("servers/" + self.name, entry(
                self.service, self.address, self.zone, self.slots,
                self.sequence, self.born))
            await asyncio.sleep(HEARTBEAT_S)

    def identity(self, headers):
        return [("Attempt-Id", headers.get("attempt-id", "")),
                ("Runner-Id", self.name),
                ("Runner-Load", "%d,%d,%d" % (
                    min(self.active, self.slots),
                    max(0, self.active - self.slots), self.slots))]

    async def handle(self, reader, writer, method, target, headers, body):
        if target == "/healthz":
            answer(writer, 200, b"", self.identity(headers))
            return True
        if target == "/report":
            running = min(self.active, self.slots)
            answer(writer, 200, json.dumps({
                "phase": "unified", "models": [], "busy": False,
                "sequence": self.sequence, "queued": self.active - running,
                "active": running, "kvUsed": 0, "kvTotal": 404798,
                "cacheHandles": 0, "born": self.born}).encode(),
                   [("Content-Type", "application/json")])
            return True
        if headers.get("expect-runner", self.name) != self.name or (
                "model" in headers and headers["model"] not in MODELS):
            answer(writer, 421, b"", self.identity(headers))
            return True
        self.runs.append(headers.get("attempt-id", ""))
        self.active += 1
        try:
            signed = self.identity(headers) + [("Runner-Signature",
                                                "3e1b." + self.name)]
            if "model" in headers:
                await self.stream(writer, signed)
            else:
                await asyncio.sleep(self.work_s)
                length = self.long_bodies.get(target.split("/")[1],
                                              self.body_bytes)
                answer(writer, 200, b"r" * length, signed)
                await writer.drain()
        finally:
            self.active -= 1
        return True

    async def stream(self, writer, signed):
        await asyncio.sleep(self.first_event_s)
        head = ["HTTP/1.1 200 OK", "Content-Type: text/event-stream",
                "Transfer-Encoding: chunked", "Confidence: 90"]
        head += ["%s: %s" % row for row in signed]
        writer.write(("\r\n".join(head) + "\r\n\r\n").encode())
        for number in range(1, 21):
            event = b"id: %d\ndata: %s\n\n" % (number, b"t" * 40)
            writer.write(b"%x\r\n%s\r\n" % (len(event), event))
            await writer.drain()
            await asyncio.sleep(0.01)
        writer.write(b"0\r\n\r\n")
        await writer.drain()


class Gateway:
    """The process of an entry host, started with the command of the deploy
    file. The platform starts it again after it has ended."""

    def __init__(self, folder, record, name, address, store, seeds=(), ports=None):
        self.record = record
        self.name = name
        self.ip = address
        self.frontend, self.ready, self.control, self.peer = ports or [
            free_port(address) for _ in range(4)]
        settings = {
            "nodeName": name, "role": "gateway", "machineClass": "edge",
            "serves": ["edge", "control"], "ip": address, "zone": "howrah",
            "region": "east-bengal", "zones": {"howrah": "east-bengal"},
            "listen": {"frontend": "%s:%d" % (address, self.frontend),
                       "readyAddress": "%s:%d" % (address, self.ready),
                       "controlPlane": "%s:%d" % (address, self.control)},
            "portRange": [self.peer, self.peer + 15], "seeds": list(seeds),
            "bootstrap": True, "inTolerance": False,
            "limits": {"cpuShare": 0.19, "cores": 1, "memoryMb": MEMORY_MB,
                       "maxFds": MAX_FDS, "linkMbps": 1000.0, "diskMb": 0},
            "dataDir": None, "discovery": "platform", "entry": "vip",
            "heartbeatMs": int(1000 * HEARTBEAT_S),
            "contracts": ["base", "drain", "config", "cost", "retry", "recover",
                          "engine", "stream", "tenants", "places", "pressure",
                          "platform", "rollout"],
            "faultTolerance": {"machines": 1, "zones": 1, "regions": 0},
            "bounds": BOUNDS,
            "platform": {"address": store.address, "form": "kv",
                         "writesPerS": 400, "readsPerS": 2000, "historyS": 20,
                         "valueBytes": 1048576, "ttlMinMs": 1000}}
        self.path = os.path.join(folder, name + ".json")
        with open(self.path, "w", encoding="utf-8") as file:
            json.dump(settings, file)
        self.log = open(os.path.join(folder, name + ".log"), "ab")
        self.process = None
        # Times at which the process ended by itself: memory over the limit
        # counts.
        self.own_ends = []
        self.peak_kib = 0
        self.readiness = []
        self.stopping = threading.Event()
        self.start()

    def start(self):
        self.process = subprocess.Popen(
            [BINARY, "gateway"], cwd=ROOT, stdout=self.log, stderr=self.log,
            env={"PATH": os.environ.get("PATH", ""),
                 "HOME": os.environ.get("HOME", "/"),
                 "SAVORYSTREAM_CONFIG": self.path})
        self.record.write("%s started, process %d" % (self.name,
                                                      self.process.pid))

    def resident_kib(self):
        try:
            with open("/proc/%d/status" % self.process.pid,
                      encoding="utf-8") as file:
                for line in file:
                    if line.startswith("VmRSS:"):
                        return int(line.split()[1])
        except OSError:
            pass
        return 0

    def watch_memory(self):
        """The platform: a process that exceeds memoryMb is killed; one that has
        ended is started again after a short delay."""
        def watch():
            while not self.stopping.is_set():
                kib = self.resident_kib()
                self.peak_kib = max(self.peak_kib, kib)
                if kib > MEMORY_MB * 1024:
                    self.record.write("%s holds %d KiB, over %d MB: killed by "
                                      "the platform" % (self.name, kib,
                                                        MEMORY_MB))
                    self.process.kill()
                if self.process.poll() is not None or kib > MEMORY_MB * 1024:
                    self.process.wait()
                    if self.stopping.is_set():
                        return
                    self.own_ends.append(self.record.now())
                    self.record.write("%s ended by itself" % self.name)
                    if self.stopping.wait(0.5):
                        return
                    self.start()
                time.sleep(0.01)
        threading.Thread(target=watch, daemon=True).start()

    def is_ready(self):
        try:
            with socket.create_connection((self.ip, self.ready), 1) as link:
                link.settimeout(1)
                link.sendall(b"GET /readyz HTTP/1.1\r\nHost: a\r\n\r\n")
                return link.recv(64).startswith(b"HTTP/1.1 200")
        except OSError:
            return False

    def watch_readiness(self):
        """The platform asks once a second; notes the time and the answer."""
        def watch():
            while not self.stopping.is_set():
                asked = self.record.now()
                is_ready = self.is_ready()
                self.readiness.append((asked, is_ready))
                self.record.write("%s /readyz %s" % (
                    self.name, 200 if is_ready else "not 200"))
                time.sleep(max(0, asked + 1 - self.record.now()))
        threading.Thread(target=watch, daemon=True).start()

    def stop(self):
        self.stopping.set()
        time.sleep(0.05)
        if self.process.poll() is None:
            self.process.kill()
        self.process.wait()


def wait_until(condition, seconds, what):
    end = time.monotonic() + seconds
    while time.monotonic() < end:
        if condition():
            return
        time.sleep(0.05)
    raise RuntimeError("timed out: " + what)


def read_answer(link):
    """Reads one answer with a length; returns its status, or None where the
    connection ends before the answer is complete."""
    received = b""
    try:
        while b"\r\n\r\n" not in received:
            more = link.recv(65536)
            if not more:
                return None
            received += more
        head, _, body = received.partition(b"\r\n\r\n")
        length = 0
        for line in head.lower().split(b"\r\n"):
            if line.startswith(b"content-length:"):
                length = int(line.split(b":")[1])
        while len(body) < length:
            more = link.recv(65536)
            if not more:
                return None
            body += more
        return int(head.split(b" ")[1])
    except socket.timeout:
        raise
    except OSError:
        return None


def request(method, path, attempt, deadline_ms, body=b"", extra=()):
    lines = ["%s %s HTTP/1.1" % (method, path), "Host: " + HOST,
             "Attempt-Id: " + attempt, "Deadline-Ms: %d" % deadline_ms,
             "Api-Key: " + KEY]
    lines += ["%s: %s" % row for row in extra]
    if body:
        lines.append("Content-Length: %d" % len(body))
    return ("\r\n".join(lines) + "\r\n\r\n").encode() + body


class Bookings:
    """Ordinary clients that keep their connections open for many handovers of job
    records (`unsafe`). Notes the handovers that were sent on a kept connection
    and whose connection ended without an answer."""

    def __init__(self, record, gateway, clients, source):
        self.record = record
        self.gateway = gateway
        self.source = source
        self.stopping = threading.Event()
        self.unanswered = []
        self.answered = 0
        self.threads = [threading.Thread(target=self.run, args=(number,),
                                         daemon=True)
                        for number in range(clients)]
        for thread in self.threads:
            thread.start()

    def run(self, client):
        number = 0
        link = None
        while not self.stopping.is_set():
            number += 1
            attempt = "%s-c%d-%d" % (self.gateway.name, client, number)
            try:
                if link is None:
                    served = 0
                    link = socket.create_connection(
                        (self.gateway.ip, self.gateway.frontend), 1,
                        source_address=(self.source, 0))
                    link.settimeout(1.5)
                link.sendall(request("POST", "/puxa403/2f", attempt, 1500,
                                     b"handover of one watch"))
                status = read_answer(link)
            except socket.timeout:
                status = "no answer in 1.5 s"
            except OSError as error:
                status = "connection failed: %s" % error
            self.record.write("%s sent on a %s connection: %s" % (
                attempt, "kept" if link and served else "new",
                "closed without an answer" if status is None else status))
            if isinstance(status, int):
                served += 1
                self.answered += 1
                continue
            if status is None and served > 0 and not self.stopping.is_set():
                self.unanswered.append(attempt)
            if link is not None:
                link.close()
            link = None
            time.sleep(0.1)

    def stop(self):
        self.stopping.set()
        for thread in self.threads:
            thread.join(3)


class Lookups:
    """Ordinary clients, each with a kept connection, that look up a state (`safe`)
    every 100 ms. Notes when each was sent and how long its answer took."""

    # Of the route, what the rule allows beyond it, and the clients' deadline.
    TIMEOUT_S = 0.8
    SLACK_S = 0.5
    DEADLINE_S = 1.5
    # CONFIG: eight or more, and over a quarter of those unanswered at the timeout.
    ALLOWED_LATE = 7
    ALLOWED_SHARE = 0.25

    def __init__(self, record, gateway, clients):
        self.record = record
        self.gateway = gateway
        self.stopping = threading.Event()
        self.rows = []
        self.threads = [threading.Thread(target=self.run, args=(number,),
                                         daemon=True)
                        for number in range(clients)]
        for thread in self.threads:
            thread.start()

    def run(self, client):
        number = 0
        link = None
        while not self.stopping.is_set():
            number += 1
            attempt = "look-%d-%d" % (client, number)
            sent = self.record.now()
            status = None
            try:
                if link is None:
                    link = socket.create_connection(
                        (self.gateway.ip, self.gateway.frontend), 1)
                sent = self.record.now()
                link.settimeout(self.DEADLINE_S)
                link.sendall(request("GET", "/cufi504/2f", attempt,
                                     int(1000 * self.DEADLINE_S)))
                status = read_answer(link)
            except OSError:
                pass
            elapsed = self.record.now() - sent
            self.rows.append((sent, elapsed if status else None))
            self.record.write("%s sent at %.3f: %s after %.3f s" % (
                attempt, sent, status or "no answer", elapsed))
            if status is None and link is not None:
                link.close()
                link = None
            time.sleep(0.1)

    def stop(self):
        self.stopping.set()
        for thread in self.threads:
            thread.join(3)

    def judge(self, since):
        """Says what became of the lookups that were sent since then, and returns
        whether CONFIG is broken."""
        rows = [row for row in self.rows if row[0] > since - self.TIMEOUT_S]
        unanswered = [row for row in rows
                      if row[1] is None or row[1] > self.TIMEOUT_S]
        late = [row for row in unanswered
                if row[1] is None or row[1] > self.TIMEOUT_S + self.SLACK_S]
        answers = sorted(sent + elapsed for sent, elapsed in self.rows if elapsed)
        answers.append(max(sent for sent, _ in self.rows))
        gap, at = max((later - earlier, earlier) for earlier, later
                      in zip(answers, answers[1:]))
        self.record.say(
            "%d lookups: %d unanswered at the route's timeout of %.1f s, %d of "
            "these still 0.5 s later; longest time without an answer to any: "
            "%.2f s, from %.2f s after the trouble began" % (
                len(rows), len(unanswered), self.TIMEOUT_S, len(late), gap,
                at - since))
        return len(late) > self.ALLOWED_LATE and \
            len(late) > self.ALLOWED_SHARE * len(unanswered)


def lost(bookings, runners):
    """Handovers that reached a sound runner from a kept connection which was then
    closed without an answer."""
    ran = {attempt for runner in runners for attempt in runner.runs}
    return [attempt for attempt in bookings.unanswered if attempt in ran]


def raise_descriptor_limit(count):
    soft, hard = resource.getrlimit(resource.RLIMIT_NOFILE)
    wanted = count if hard == resource.RLIM_INFINITY else min(count, hard)
    if soft < wanted:
        resource.setrlimit(resource.RLIMIT_NOFILE, (wanted, hard))
    return wanted >= count


def check_helpers(started):
    """Fails if a helper has ended before its time."""
    if any(isinstance(item, subprocess.Popen) and item.poll() is not None
           for item in started):
        raise RuntimeError("a helper has ended")


def start_helper(script, *arguments):
    """Starts a script of a case as a process of its own; it ends with this one's
    end of its standard input."""
    return subprocess.Popen([sys.executable, script] + list(arguments),
                            stdin=subprocess.PIPE)


def run_case(record_path, play):
    """Plays a case and exits with its result. `play` gets the folder for
    temporary files and the record, and returns HELD or BROKEN. It registers what
    is to be ended in the list that it gets."""
    record = Record(record_path)
    if not raise_descriptor_limit(MAX_FDS):
        record.say("cannot run: fewer than %d descriptors" % MAX_FDS)
        os._exit(CANNOT_RUN)
    if not os.access(BINARY, os.X_OK):
        record.say("cannot run: %s is missing" % os.path.relpath(BINARY, ROOT))
        os._exit(CANNOT_RUN)
    started = []
    result = CANNOT_RUN

    def on_signal(number, frame):
        raise RuntimeError("ended by signal %d" % number)
    for number in (signal.SIGTERM, signal.SIGALRM, signal.SIGINT):
        signal.signal(number, on_signal)
    signal.alarm(RUN_LIMIT_S)
    with tempfile.TemporaryDirectory(prefix="review-3-") as temporary:
        try:
            result = play(temporary, record, started)
        except Exception as error:  # Any failure of the set-up.
            record.say("cannot run: %r" % error)
        for item in reversed(started):
            if isinstance(item, subprocess.Popen):
                if item.poll() is None:
                    item.kill()
                item.wait()
            else:
                item.stop()
        if os.environ.get("KEEP_LOGS"):
            subprocess.call(["cp", "-r", temporary, os.environ["KEEP_LOGS"]])
    record.say({HELD: "held", BROKEN: "BROKEN", CANNOT_RUN: "could not run"}
               [result])
    sys.stdout.flush()
    os._exit(result)
