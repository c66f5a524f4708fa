"""Stand-ins for the fleet platform: its store and its runners, as servers on
loopback whose faults the tests control."""

import asyncio
import base64
import json
import random
import socket
import threading
import time
import urllib.parse


def free_port():
    """Returns a port below the range of ephemeral ports, so that no outgoing
    connection takes the port while its server restarts."""
    while True:
        port = random.SystemRandom().randrange(12000, 32000)
        with socket.socket() as probe:
            try:
                probe.bind(("127.0.0.1", port))
                return port
            except OSError:
                pass


async def read_request(reader):
    """Reads one request; returns method, target, headers (lower case) and body."""
    head = await reader.readuntil(b"\r\n\r\n")
    lines = head.decode("latin-1").split("\r\n")
    method, target, _ = lines[0].split(" ")
    headers = {}
    for line in lines[1:]:
        if line:
            name, value = line.split(":", 1)
            headers[name.lower()] = value.strip()
    body = await reader.readexactly(int(headers.get("content-length", 0)))
    return method, target, headers, body


class Server:
    """A server whose event loop runs in its own thread, so that tests may block."""

    def __init__(self):
        self.port = free_port()
        self.address = "127.0.0.1:%d" % self.port
        self.loop = asyncio.new_event_loop()
        self.writers = set()
        threading.Thread(target=self.loop.run_forever, daemon=True).start()
        self.start()

    def start(self):
        async def listen():
            return await asyncio.start_server(self._serve, "127.0.0.1", self.port)
        self.server = asyncio.run_coroutine_threadsafe(listen(), self.loop).result()

    def crash(self):
        """Closes the listener and resets all connections."""
        async def end():
            self.server.close()
            for writer in list(self.writers):
                writer.transport.abort()
        asyncio.run_coroutine_threadsafe(end(), self.loop).result()

    async def _serve(self, reader, writer):
        self.writers.add(writer)
        try:
            while await self.handle(writer, *await read_request(reader)):
                pass
        except (asyncio.IncompleteReadError, ConnectionError):
            pass
        finally:
            self.writers.discard(writer)
            writer.close()


def write_response(writer, status, body=b"", headers=()):
    lines = ["HTTP/1.1 %d X" % status, "Content-Length: %d" % len(body)]
    lines += ["%s: %s" % row for row in headers]
    lines += ["%s: %s" % row for row in getattr(writer, "extra_headers", ())]
    writer.write(("\r\n".join(lines) + "\r\n\r\n").encode() + body)


class Store(Server):
    """The key-value store. `refuses_port` is a function of the client's port that
    returns whether requests from it are answered with 503."""

    def __init__(self):
        self.revision = 1
        self.items = {}
        self.history = []
        self.down = False
        self.refuses_port = lambda port: False
        self.calls = 0
        # What reads that may be stale return, beside the current revision; the
        # current items if None.
        self.stale_items = None
        # Discards the history at once: a watch from an older revision gets 410.
        self.compacts = False
        # The epoch that all answers state; none if None.
        self.epoch = None
        # Leases by id: lifetime in seconds and monotonic end. The keys of a lease
        # that has ended are deleted at the next call.
        self.leases = {}
        self.last_lease = 700
        super().__init__()

    def snapshot(self):
        return self.revision, dict(self.items), list(self.history)

    def restore(self, snapshot, down_seconds=0.3):
        """Is away for a moment and comes back with the entries and revisions of
        an older snapshot, in a new epoch. No lease survives."""
        self.down = True
        time.sleep(down_seconds)

        async def swap():
            self.revision, items, history = snapshot
            self.items = {key: dict(row, lease=0) for key, row in items.items()}
            self.history = list(history)
            self.leases.clear()
            self.epoch = (self.epoch or 0) + 1
            for writer in list(self.writers):
                writer.transport.abort()
        asyncio.run_coroutine_threadsafe(swap(), self.loop).result()
        self.down = False

    def put(self, key, value):
        self._change(key, json.dumps(value).encode()
                     if not isinstance(value, bytes) else value)

    def delete(self, key):
        self._change(key, None)

    def value(self, key):
        item = self.items.get(key)
        return json.loads(base64.b64decode(item["value"])) if item else None

    def _end_lease(self, lease):
        """Ends a lease and deletes its keys; returns whether it was valid."""
        if self.leases.pop(lease, None) is None:
            return False
        for key in [key for key, row in self.items.items()
                    if row["lease"] == lease]:
            self._change(key, None)
        return True

    def _expire_leases(self):
        now = time.monotonic()
        for lease in [lease for lease, (_, end) in self.leases.items()
                      if end < now]:
            self._end_lease(lease)

    def _handle_lease(self, writer, method, path, body):
        """Handles a call on leases; returns whether it was one."""
        name, _, number = path[1:].partition("/")
        now = time.monotonic()
        if (method, name) == ("POST", "kv-lease"):
            ttl_ms = json.loads(body)["ttlMs"]
            self.last_lease += 1
            self.leases[self.last_lease] = (ttl_ms / 1000, now + ttl_ms / 1000)
            self._json(writer, {"lease": self.last_lease, "ttlMs": ttl_ms})
        elif (method, name) == ("POST", "kv-keep"):
            if int(number) in self.leases:
                ttl = self.leases[int(number)][0]
                self.leases[int(number)] = (ttl, now + ttl)
                self._json(writer, {})
            else:
                write_response(writer, 404)
        elif (method, name) == ("DELETE", "kv-lease-end"):
            write_response(
                writer, 200 if self._end_lease(int(number)) else 404, b"{}")
        else:
            return False
        return True

    def _change(self, key, value, is_new_revision=True, lease=0):
        self.revision += is_new_revision
        if value is None:
            self.items.pop(key, None)
            row = {"key": key, "revision": self.revision, "tombstone": True}
        else:
            row = {"key": key, "revision": self.revision, "lease": lease,
                   "created": self.revision,
                   "value": base64.b64encode(value).decode()}
            self.items[key] = row
        self.history.append(row)

    async def handle(self, writer, method, target, headers, body):
        self.calls += 1
        if self.epoch is not None:
            writer.extra_headers = [("Store-Era", str(self.epoch))]
        url = urllib.parse.urlsplit(target)
        query = dict(urllib.parse.parse_qsl(url.query, keep_blank_values=True))
        if self.down or self.refuses_port(writer.get_extra_info("peername")[1]):
            write_response(writer, 503)
            return False
        self._expire_leases()
        if self._handle_lease(writer, method, url.path, body):
            return True
        if url.path == "/kv-range":
            items = self.items
            if "staleOk" in query and self.stale_items is not None:
                items = self.stale_items
            entries = [row for key, row in sorted(items.items())
                       if key.startswith(query["prefix"]) and
                       key > query.get("after", "")]
            self._json(writer, {"entries": entries[:3],
                                "hasMore": len(entries) > 3,
                                "at": self.revision})
        elif url.path == "/kv-watch":
            if int(query["after"]) > self.revision or (
                    self.compacts and int(query["after"]) < self.revision):
                write_response(writer, 410)
                return True
            end = time.monotonic() + int(query["waitMs"]) / 1000
            while True:
                self._expire_leases()
                events = [row for row in self.history
                          if row["revision"] > int(query["after"])]
                if events or time.monotonic() > end or self.down:
                    break
                await asyncio.sleep(0.01)
            self._json(writer, {"events": events, "at": self.revision})
        elif url.path == "/kv-txn":
            call = json.loads(body)
            revisions_match = all(
                self.items.get(row["key"], {"revision": 0})["revision"]
                == row["revision"] for row in call["expectedRevision"])
            if any(row.get("lease", 0) and row["lease"] not in self.leases
                   for row in call["puts"]):
                write_response(writer, 404)
            elif revisions_match:
                # All writes of a transaction share one revision.
                for number, row in enumerate(call["puts"]):
                    self._change(row["key"], base64.b64decode(row["value"]),
                                 number == 0, row.get("lease", 0))
                self._json(writer, {"revision": self.revision})
            else:
                write_response(writer, 412, b'{"entries":[]}')
        else:
            write_response(writer, 404)
        return True

    @staticmethod
    def _json(writer, value):
        write_response(writer, 200, json.dumps(value).encode())


class CloudApi(Server):
    """The cloud interface. Records each call that it executes as a row of window,
    counts, holder, token and time. `mode` sets how it handles the next calls:
    serve, lose (executes the call and resets the connection), refuse (429)."""

    def __init__(self):
        self.mode = "serve"
        self.reports = []
        # A host whose connections are reset without executing its calls.
        self.unanswered_holder = None
        self.highest_token = 0
        # Calls with a token below the highest one.
        self.fenced = 0
        super().__init__()

    async def handle(self, writer, method, target, headers, body):
        if headers["duty-holder"] == self.unanswered_holder:
            writer.transport.abort()
            return False
        if self.mode == "refuse":
            write_response(writer, 429)
            return True
        assert (method, target) == ("POST", "/usage"), target
        token = int(headers["fencing-token"])
        if token < self.highest_token:
            self.fenced += 1
            write_response(writer, 409)
            return True
        self.highest_token = token
        call = json.loads(body)
        self.reports.append((call["windowId"], call["counts"],
                             headers["duty-holder"], token, time.time()))
        if self.mode == "lose":
            writer.transport.abort()
            return False
        write_response(writer, 200, b"{}")
        return True


class Runner(Server):
    """A runner. `mode` sets how it handles the next requests: serve, refuse (503,
    not run), fail (500), lose (runs the request and resets the connection),
    tear (resets the connection inside an event), unframed (answers streams with
    neither length nor chunks, and closes the connection at their end), cut-short
    (the same, but closes it inside an event), stray (sends a late response
    to another request first), refuse-again (refuses the first request of each
    connection, and writes the refusal once more when the next one arrives, which
    it runs). A stream whose prompt holds `crashing_part`
    crashes the runner just before the first event."""

    CRASH_DELAY_SECONDS = 0.05
    DOWN_SECONDS = 1.5

    def __init__(self, store, name, service, zone="z1", version="v1", born=1):
        self.store = store
        self.name = name
        self.service = service
        self.zone = zone
        self.version = version
        self.born = born
        self.mode = "serve"
        self.confidence = 100
        # The value of Runner-Load; None leaves the header out.
        self.load = None
        self.event_count = 5
        self.event_interval_s = 0.0
        # Headers that all answers bear, such as Server-Leaving.
        self.extra_headers = []
        # Until when requests are turned away, with the time in Retry-After.
        self.turns_away_until = 0.0
        # Those of a late response to another request.
        self.stray_headers = []
        # Time and attempt id of each request that arrived, run or not.
        self.arrivals = []
        # The refusal that each connection has carried.
        self.refusals = {}
        # Time to the head of a stream, and to the answer of another call.
        self.head_delay_s = 0.0
        self.answer_delay_s = 0.0
        self.crashing_part = None
        # Times of the crashes, and of the requests that hold the part.
        self.crashes = []
        self.crashing_arrivals = []
        self.runs = []
        super().__init__()

    def register(self, state="ready"):
        self.store.put("servers/" + self.name, {
            "service": self.service, "address": self.address,
            "zone": self.zone, "version": self.version, "slots": 8,
            "state": state, "coldRemainingMs": 0, "sequence": 1,
            "born": self.born})

    async def handle(self, writer, method, target, headers, body):
        identity = [("Attempt-Id", headers.get("attempt-id", "")),
                    ("Runner-Id", self.name)] + self.extra_headers
        now = time.monotonic()
        if headers.get("expect-runner") != self.name:
            write_response(writer, 421, b"", identity)
            return True
        self.arrivals.append((now, headers.get("attempt-id", "")))
        refusal = identity + [("Not-Executed", "1")]
        if self.mode == "refuse":
            write_response(writer, 503, b"", refusal)
            return True
        if now < self.turns_away_until:
            wait = "%.3f" % (self.turns_away_until - now)
            write_response(writer, 503, b"", refusal + [("Retry-After", wait)])
            return True
        if self.mode == "refuse-again":
            earlier = self.refusals.pop(writer, None)
            if not earlier:
                self.refusals[writer] = refusal
                write_response(writer, 503, b"", refusal)
                return True
            write_response(writer, 503, b"", earlier)
            await writer.drain()
            await asyncio.sleep(0.02)
        self.runs.append((headers, method, target, body))
        if self.holds_crashing_part(headers):
            self.crashing_arrivals.append(time.monotonic())
        identity.append(("Runner-Signature", "sig-" + self.name))
        if self.mode == "lose":
            writer.transport.abort()
            return False
        if self.mode == "fail":
            write_response(writer, 500, b"failed", identity)
            return True
        if self.mode == "stray":
            write_response(writer, 200, b"stray",
                           [("Attempt-Id", "other"),
                            ("Runner-Signature", "sig")] +
                           self.stray_headers)
        if "model" in headers:
            return await self._stream(writer, headers, identity)
        await asyncio.sleep(self.answer_delay_s)
        write_response(writer, 200, b"ran at " + self.name.encode(), identity)
        return True

    def holds_crashing_part(self, headers):
        parts = headers.get("prefix-hash", "").split(",")[:-1]
        return self.crashing_part in [part.split(":")[0] for part in parts]

    def _crash_for(self, seconds):
        """Crashes and starts again as a new process with the same id."""
        if not self.server.is_serving():
            return
        self.crashes.append(time.monotonic())
        self.server.close()
        for writer in list(self.writers):
            writer.transport.abort()

        async def restart():
            await asyncio.sleep(seconds)
            self.born += 1
            self.server = await asyncio.start_server(
                self._serve, "127.0.0.1", self.port)
            self.register()
        self.restart = self.loop.create_task(restart())

    async def _stream(self, writer, headers, identity):
        confidence = self.confidence if headers["model"] == "small" else 100
        is_framed = self.mode not in ("unframed", "cut-short")
        identity += [("Confidence", str(confidence))]
        if self.load:
            identity += [("Runner-Load", self.load)]
        identity += [("Transfer-Encoding", "chunked")] if is_framed else []
        await asyncio.sleep(self.head_delay_s)
        head = ["HTTP/1.1 200 OK"] + ["%s: %s" % row for row in identity]
        writer.write(("\r\n".join(head) + "\r\n\r\n").encode())
        if self.holds_crashing_part(headers):
            await asyncio.sleep(self.CRASH_DELAY_SECONDS)
            self._crash_for(self.DOWN_SECONDS)
            return False
        first_event = int(headers.get("last-event-id", 0)) + 1
        for number in range(first_event, self.event_count + 1):
            await asyncio.sleep(self.event_interval_s)
            event = b"id: %d\ndata: %d %s\n\n" % (
                number, number, headers["model"].encode())
            is_last = self.mode in ("tear", "cut-short") and number == 3
            if is_last:
                event = event[:7]
            writer.write(b"%x\r\n%s\r\n" % (len(event), event)
                         if is_framed else event)
            await writer.drain()
            if is_last and is_framed:
                writer.transport.abort()
            if is_last:
                return False
        if is_framed:
            writer.write(b"0\r\n\r\n")
        return is_framed


CONFIGURATION = {
    "version": 1,
    "routeTable": [
        {"name": "stream", "host": "h.example", "prefix": "/s/",
         "kind": "streaming", "timeoutMs": 8000, "targetLatencyMs": 2000,
         "priority": 1, "service": "llm", "maxAttempts": 3, "resumable": True,
         "sizes": ["small", "large"], "anonymous": False},
        {"name": "once", "host": "h.example", "prefix": "/u/",
         "kind": "unsafe", "timeoutMs": 2000, "targetLatencyMs": 300,
         "priority": 2, "service": "desk", "maxAttempts": 1,
         "anonymous": False},
        {"name": "safe", "host": "h.example", "prefix": "/g/", "kind": "safe",
         "timeoutMs": 2000, "targetLatencyMs": 300, "priority": 2,
         "service": "desk", "maxAttempts": 2, "anonymous": False}],
    "services": [
        {"name": "llm", "healthPath": "/healthz", "maxConnections": 50,
         "coldStartS": 1, "coldPerS": 50,
         "engine": {"slots": 8, "kvCapacityTokens": 100000, "models": [
             {"name": "small", "cost": 0.01}, {"name": "large", "cost": 0.1}]}},
        {"name": "desk", "healthPath": "/healthz", "maxConnections": 50,
         "coldStartS": 0, "coldPerS": 0}],
    "limits": {"maxHeaderBytes": 16384, "maxBodyBytes": 100000,
               "headerTimeoutMs": 3000, "idleTimeoutMs": 15000},
    "tenants": [{"name": "t1", "apiKeys": ["k1", "k2"]}]}
