"""A randomized soak of the gateways: it runs their processes on loopback, injects
faults and checks the guarantees to callers and runners meanwhile.

    test_soak.py BIN                      the seeds that CI runs
    test_soak.py BIN --seeds 1-50         these seeds, each in a process
    test_soak.py BIN --seeds 7 --gateways 40 --runners 30 --clients 60

A seed fixes the random draws of faults and requests, but not the scheduling by
the operating system, so run a failed seed several times."""

import argparse
import asyncio
import json
import os
import random
import signal
import subprocess
import sys
import tempfile
import time

from fleet_platform import CONFIGURATION, Runner, free_port
from soak_faults import FaultProxy, SoakStore, read_response

# Seeds that once failed, with the cause; CI runs them too.
REGRESSIONS = {
    25: "Fault of this test: two crashes of the same runner overlapped.",
    51: "Fault of this test: two crashes of the same runner overlapped.",
    74: "A gateway waited longer than 3 s for a watch that got no response.",
    616: "A SIGHUP 0.3 ms after the start ended a gateway.",
}

FAULT_SECONDS = 10
# Bounds of the platform: a gateway is connected again this long after a fault, a
# configuration is in force after this, and service has recovered after this.
RECONNECT_SECONDS = 3.0
APPLY_SECONDS = 2.0
RECOVER_SECONDS = 12.0
GRACE_SECONDS = 4
# A final response is due this long after the timeout of its route; the second
# value allows for all processes sharing the processors of one machine.
TIMEOUT_SLACK_SECONDS = 0.5
MACHINE_SLACK_SECONDS = 0.5

NOT_RUN = (408, 421, 429, 503)
STREAM_EVENTS = 6


class SoakRunner(Runner):
    """A runner behind a proxy that injects connection faults."""

    def __init__(self, store, name, service, zone):
        self.is_down = False
        super().__init__(store, name, service, zone)
        self.event_count = STREAM_EVENTS
        self.event_interval_s = 0.03
        self.proxy = FaultProxy(self.loop, self.address)

    def register(self, state="ready"):
        real_address, self.address = self.address, self.proxy.address
        super().register(state)
        self.address = real_address


class Gateway:
    """One gateway process, which reaches the store through its own proxy."""

    def __init__(self, soak, number):
        self.soak = soak
        self.name = "g%02d" % number
        self.zone = "z%d" % (number % 3 + 1)
        self.address = "127.%d.%d.%d" % (
            80 + soak.seed // 250 % 100, 1 + soak.seed % 250, number + 1)
        self.store_proxy = FaultProxy(soak.store.loop, soak.store.address)
        self.path = os.path.join(soak.folder, self.name + ".json")
        # Until when injected faults keep this gateway disconnected.
        self.disconnected_until = 0.0
        self.stopping_since = None
        self.process = None
        settings = {
            "nodeName": self.name, "zone": self.zone, "ip": self.address,
            "listen": {"frontend": "%s:%d" % (self.address, soak.ports[0]),
                       "readyAddress": "%s:%d" % (self.address, soak.ports[1]),
                       "controlPlane": "%s:%d" % (self.address, soak.ports[2])},
            "portRange": [soak.ports[3], soak.ports[3] + 9],
            "seeds": ["127.%d.%d.%d:%d" % (
                80 + soak.seed // 250 % 100, 1 + soak.seed % 250, seed + 1,
                soak.ports[2]) for seed in range(3)],
            "platform": {"address": self.store_proxy.address},
            "bounds": {"graceS": GRACE_SECONDS, "sessionS": 5,
                       "configApplyMs": int(APPLY_SECONDS * 1000),
                       "drainMs": 2000, "retryBudgetRatio": 0.9,
                       "retrySlack": 56, "retryWindowS": 10}}
        with open(self.path, "w", encoding="utf-8") as file:
            json.dump(settings, file)
        self.log = open(os.path.join(soak.folder, self.name + ".log"), "ab")
        self.start()

    def start(self):
        self.stopping_since = None
        # No program can handle a signal before its first statement; what sends
        # early ones starts it with them blocked (docs/OPERATIONS.md).
        signal.pthread_sigmask(signal.SIG_BLOCK, [signal.SIGHUP])
        self.process = subprocess.Popen(
            [soak_binary(), "gateway"], stdout=self.log, stderr=self.log,
            env=dict(os.environ, SAVORYSTREAM_CONFIG=self.path))
        signal.pthread_sigmask(signal.SIG_UNBLOCK, [signal.SIGHUP])

    def signal(self, number):
        if self.process.poll() is None:
            self.process.send_signal(number)

    def count_reloads(self):
        with open(self.log.name, "rb") as log:
            return log.read().count(b" settings-reloaded ")

    def mark_disconnected(self, seconds):
        self.disconnected_until = max(self.disconnected_until,
                                      time.monotonic() + seconds)

    def was_connected_since(self, moment):
        return self.disconnected_until + RECONNECT_SECONDS < moment


def soak_binary():
    return os.path.join(sys.argv[1], "savorystream")


class Soak:
    def __init__(self, seed, options):
        self.seed = seed
        self.random = random.Random(seed)
        self.options = options
        self.folder = tempfile.mkdtemp(prefix="savory-soak-%d-" % seed)
        self.ports = [free_port() for _ in range(4)]
        self.store = SoakStore()
        zones = ["z1", "z2", "z3"]
        count = options.runners
        self.llm = [SoakRunner(self.store, "llm-%d" % i, "llm", zones[i % 3])
                    for i in range(count)]
        self.desk = [SoakRunner(self.store, "desk-%d" % i, "desk", zones[i % 3])
                     for i in range(3)]
        self.runners = self.llm + self.desk
        self.configuration = json.loads(json.dumps(CONFIGURATION))
        self.configuration["tenants"] = [
            {"name": "t1", "apiKeys": ["k1"]}, {"name": "t2", "apiKeys": ["k2"]}]
        # With 3 attempts, only the kind of the route forbids a repetition.
        self.configuration["routeTable"][1]["maxAttempts"] = 3
        self.store.put("op/config", self.configuration)
        for runner in self.runners:
            runner.register()
        self.gateways = [Gateway(self, i) for i in range(options.gateways)]
        # Until when faults of runners excuse a request without a response.
        self.shared_fault_until = 0.0
        self.faults_end = time.monotonic() + FAULT_SECONDS
        # When the store acknowledged the configuration that revokes a key.
        self.revoked_at = None
        self.failures = []
        self.check_counts = {}
        self.served_count = 0
        self.sent_count = 0
        self.next_id = 0

    def check(self, property_name, holds, detail):
        self.check_counts[property_name] = self.check_counts.get(
            property_name, 0) + 1
        if not holds:
            self.failures.append("%s: %s" % (property_name, detail))

    # Faults. Each marks the gateways or requests that it excuses, injects the
    # fault and removes it again. inject_faults() draws from the sorted method
    # names, so renaming a method changes the faults of every seed.

    async def fault_kill(self, gateway):
        gateway.mark_disconnected(1.5)
        gateway.signal(signal.SIGKILL)
        await asyncio.sleep(self.random.uniform(0.2, 1.5))

    async def fault_pause(self, gateway):
        seconds = self.random.uniform(0.3, 3)
        gateway.mark_disconnected(seconds)
        gateway.signal(signal.SIGSTOP)
        await asyncio.sleep(seconds)
        gateway.signal(signal.SIGCONT)

    async def fault_stop(self, gateway):
        gateway.stopping_since = gateway.stopping_since or time.monotonic()
        gateway.mark_disconnected(GRACE_SECONDS)
        gateway.signal(signal.SIGTERM)
        process = gateway.process
        end = time.monotonic() + GRACE_SECONDS + 3
        while process.poll() is None and time.monotonic() < end:
            await asyncio.sleep(0.05)
        if gateway.disconnected_until < end - 3 + 0.1:
            self.check("ends-in-grace", process.poll() is not None,
                       gateway.name + " still runs after its grace time")

    async def fault_hup(self, gateway):
        process = gateway.process
        reloads_before = gateway.count_reloads()
        gateway.signal(signal.SIGHUP)
        end = time.monotonic() + APPLY_SECONDS
        while gateway.count_reloads() == reloads_before and \
                time.monotonic() < max(end, gateway.disconnected_until + 1):
            await asyncio.sleep(0.1)
            if gateway.process is not process or process.poll() is not None:
                return
        self.check("settings-reloaded", gateway.count_reloads() > reloads_before,
                   gateway.name + " did not read its settings again")

    async def fault_store_link(self, gateway):
        seconds = self.random.uniform(0.5, 4)
        gateway.mark_disconnected(seconds)
        gateway.store_proxy.set_mode(self.random.choice(
            ["reset", "silent", "cut-up", "cut-down", "delay"]))
        await asyncio.sleep(seconds)
        gateway.store_proxy.set_mode("pass")

    async def fault_store(self, _gateway):
        seconds = self.random.uniform(0.5, 4)
        for gateway in self.gateways:
            gateway.mark_disconnected(seconds)
        self.store.mode = self.random.choice(
            ["down", "silent", "slow", "lose"])
        await asyncio.sleep(seconds)
        self.store.mode = "serve"

    async def fault_compact(self, _gateway):
        self.store.compact()

    async def fault_garbage(self, _gateway):
        self.store.put("servers/odd-%d" % self.random.randrange(5),
                       self.random.choice([b"\xff{", {"service": 5}, [1],
                                           {"service": "llm", "state": "odd"}]))

    async def fault_runner_link(self, _gateway):
        seconds = self.random.uniform(0.3, 3)
        self.shared_fault_until = max(self.shared_fault_until,
                                      time.monotonic() + seconds)
        runner = self.random.choice(self.runners)
        runner.proxy.set_mode(self.random.choice(
            ["reset", "silent", "cut-up", "cut-down", "delay"]))
        await asyncio.sleep(seconds)
        runner.proxy.set_mode("pass")

    async def fault_runner_mode(self, _gateway):
        seconds = self.random.uniform(0.3, 3)
        self.shared_fault_until = max(self.shared_fault_until,
                                      time.monotonic() + seconds)
        runner = self.random.choice(self.runners)
        runner.mode = self.random.choice(
            ["refuse", "fail", "lose", "tear", "stray"])
        await asyncio.sleep(seconds)
        runner.mode = "serve"

    async def fault_runner_crash(self, _gateway):
        self.shared_fault_until = max(self.shared_fault_until,
                                      time.monotonic() + 2)
        runner = self.random.choice(self.runners)
        if runner.is_down:
            return
        runner.is_down = True
        await asyncio.to_thread(runner.crash)
        await asyncio.sleep(self.random.uniform(0.2, 2))
        await asyncio.to_thread(runner.start)
        runner.is_down = False
        runner.born += 1
        runner.register()

    async def fault_drain(self, _gateway):
        runner = self.random.choice(self.llm)
        runner.register("draining")
        await asyncio.sleep(3)
        runner.register()

    async def fault_config(self, _gateway):
        self.configuration["version"] += self.random.randint(1, 3)
        self.configuration["routeTable"][2]["timeoutMs"] = 1500
        self.store.put("op/config", self.configuration)

    async def fault_revoke(self, _gateway):
        if self.revoked_at:
            return
        self.configuration["version"] += 1
        self.configuration["tenants"][1]["apiKeys"] = ["k3"]
        self.store.put("op/config", self.configuration)
        self.revoked_at = time.monotonic()

    async def restart_ended_gateways(self):
        """Restarts gateways that have exited, as the platform does."""
        while True:
            for gateway in self.gateways:
                if gateway.process.poll() is not None:
                    code = gateway.process.returncode
                    self.check("exits-only-on-signal",
                               code in (0, -signal.SIGKILL, -signal.SIGTERM),
                               "%s ended with %d" % (gateway.name, code))
                    gateway.mark_disconnected(1.0)
                    gateway.start()
            await asyncio.sleep(0.3)

    async def inject_faults(self):
        faults = [getattr(self, name) for name in sorted(dir(self))
                  if name.startswith("fault_")]
        running = set()
        await asyncio.sleep(1)
        while time.monotonic() < self.faults_end:
            fault = self.random.choice(faults)
            gateway = self.random.choice(self.gateways)
            task = asyncio.create_task(fault(gateway))
            running.add(task)
            # Short pauses make faults overlap.
            await asyncio.sleep(self.random.choice([0.02, 0.1, 0.4, 1.0]))
        for task in running:
            await task

    # Clients.

    async def client(self, number):
        rng = random.Random(self.seed * 1000 + number)
        connection = None
        gateway = None
        while not self.finished:
            if connection is None:
                gateway = rng.choice(self.gateways)
                try:
                    connection = await asyncio.wait_for(
                        asyncio.open_connection(gateway.address, self.ports[0]),
                        1)
                except (OSError, asyncio.TimeoutError):
                    await asyncio.sleep(0.1)
                    continue
            connection = await self.send_request(rng, gateway, connection)
            await asyncio.sleep(rng.choice([0, 0.02, 0.2]))
        if connection:
            connection[1].close()

    async def send_request(self, rng, gateway, connection):
        """Sends one request and checks the response; returns the connection if it can
        be reused, else None."""
        kind = rng.choice(["stream", "once", "safe"])
        key = rng.choice(["k1", "k1", "k2", "k3"])
        self.next_id += 1
        name = "a%d-%d" % (self.seed, self.next_id)
        route = {"stream": 0, "once": 1, "safe": 2}[kind]
        timeout_s = self.configuration["routeTable"][route]["timeoutMs"] / 1000
        body = b"x" * rng.choice([0, 10, 5000])
        lines = ["%s /%s/%s HTTP/1.1" % ("GET" if kind == "safe" else "POST",
                                         "sug"[route], name),
                 "Host: h.example", "Attempt-Id: " + name, "Api-Key: " + key,
                 "Tenant: forged", "Deadline-Ms: 20000",
                 "Content-Length: %d" % len(body)]
        if kind == "stream":
            lines += ["Model: *", "Token-Usage: 100,20",
                      "Prefix-Hash: a%d:50,b%s:50" % (
                          rng.randrange(9), name.replace("-", "")[1:])]
        reader, writer = connection
        process = gateway.process
        sent_at = time.monotonic()
        self.sent_count += 1
        status, headers, response_body, complete = 0, {}, b"", False
        try:
            writer.write(("\r\n".join(lines) + "\r\n\r\n").encode() + body)
            status, headers, response_body, complete = await asyncio.wait_for(
                read_response(reader), timeout_s + 4)
        except (OSError, asyncio.IncompleteReadError):
            pass
        except asyncio.TimeoutError:
            status = -1
        received_at = time.monotonic()
        undisturbed = gateway.was_connected_since(sent_at) and \
            gateway.process is process
        if undisturbed:
            self.check("answer-by-timeout",
                       received_at - sent_at <= timeout_s + TIMEOUT_SLACK_SECONDS +
                       MACHINE_SLACK_SECONDS,
                       "%s after %.2f s at %s, status %d" % (
                           name, received_at - sent_at, gateway.name, status))
        if undisturbed and \
                self.shared_fault_until + RECONNECT_SECONDS < sent_at and \
                time.monotonic() > self.shared_fault_until + RECONNECT_SECONDS:
            self.check("undisturbed-request-answered", complete and status != 0,
                       "%s at %s: status %d" % (name, gateway.name, status))
        self.check_response(kind, key, name, status, headers, response_body,
                            complete)
        if key == "k2" and self.revoked_at and undisturbed and \
                sent_at > self.revoked_at + APPLY_SECONDS + MACHINE_SLACK_SECONDS:
            self.check("revoked-key", status in (0, 401, 503),
                       "%s with a revoked key: %d at %s, %.2f s later" % (
                           name, status, gateway.name, sent_at - self.revoked_at))
        if complete and headers.get("connection", "").lower() != "close":
            return connection
        writer.close()
        return None

    def check_response(self, kind, key, name, status, headers, body, complete):
        if 200 <= status < 300 and complete:
            self.served_count += 1
            self.check("signed", "runner-signature" in headers, name)
            self.check("own-answer", headers.get("attempt-id") == name,
                       "%s got the answer to %s" % (
                           name, headers.get("attempt-id")))
            if kind == "stream":
                ids = [int(line[4:]) for line in body.decode().split("\n")
                       if line.startswith("id: ")]
                self.check("whole-stream",
                           ids == list(range(1, STREAM_EVENTS + 1)),
                           "%s has events %s" % (name, ids))
        if status in NOT_RUN and kind == "once":
            self.refused_ids.append(name)

    def check_runs(self):
        """Checks what the runners recorded, after all clients have ended."""
        runs = {}
        for runner in self.runners:
            for headers, method, target, _ in runner.runs:
                runs.setdefault(headers["attempt-id"], []).append(
                    (runner.name, headers, method, target))
        for name, rows in runs.items():
            for _, headers, _, target in rows:
                self.check("customer-of-the-key",
                           headers.get("tenant") in ("t1", "t2") and
                           "api-key" not in headers, "%s: %s" % (name, headers))
                self.check("request-unchanged", target.endswith(name), target)
                if target.startswith("/u/"):
                    self.check("at-most-once", len(rows) == 1, "%s ran at %s" % (
                        name, [row[0] for row in rows]))
        for name in self.refused_ids:
            self.check("not-run-is-true", name not in runs,
                       "%s was refused and ran at %s" % (
                           name, [row[0] for row in runs.get(name, [])]))

    async def run(self):
        self.finished = False
        self.refused_ids = []
        restarter = asyncio.create_task(self.restart_ended_gateways())
        clients = [asyncio.create_task(self.client(number))
                   for number in range(self.options.clients)]
        await self.inject_faults()
        # After the last fault, the service recovers within the bound.
        end = time.monotonic() + RECOVER_SECONDS
        recovered = False
        while not recovered and time.monotonic() < end:
            served_before, sent_before = self.served_count, self.sent_count
            await asyncio.sleep(1)
            recovered = self.served_count - served_before >= \
                0.9 * 0.66 * (self.sent_count - sent_before) > 0
        self.check("service-back", recovered, "%d of %d served" % (
            self.served_count - served_before, self.sent_count - sent_before))
        await asyncio.sleep(RECONNECT_SECONDS + 1)
        self.finished = True
        await asyncio.gather(*clients)
        # A request that was refused must not run later either.
        await asyncio.sleep(1)
        restarter.cancel()
        self.check_runs()

    def close(self):
        for gateway in self.gateways:
            if gateway.process.poll() is None:
                gateway.process.kill()
                gateway.process.wait()


def run_seed(seed, options):
    soak = Soak(seed, options)
    try:
        asyncio.run(soak.run())
    finally:
        soak.close()
    print("seed %d: %d asked, %d served, checks %s, logs in %s" % (
        seed, soak.sent_count, soak.served_count,
        json.dumps(soak.check_counts), soak.folder))
    for failure in soak.failures[:20]:
        print("seed %d FAILED %s" % (seed, failure))
    sys.stdout.flush()
    return not soak.failures


def run_seeds(seeds, options):
    """Runs each seed in a process of its own, `options.jobs` at a time."""
    pending_seeds = list(seeds)
    running = []
    failed = []
    while pending_seeds or running:
        while pending_seeds and len(running) < options.jobs:
            seed = pending_seeds.pop(0)
            running.append((seed, subprocess.Popen(
                [sys.executable, __file__, sys.argv[1], "--one", str(seed),
                 "--gateways", str(options.gateways),
                 "--runners", str(options.runners),
                 "--clients", str(options.clients)])))
        time.sleep(0.2)
        for row in list(running):
            if row[1].poll() is not None:
                running.remove(row)
                if row[1].returncode:
                    failed.append(row[0])
    print("%d seeds, failed: %s" % (len(list(seeds)), sorted(failed)))
    return not failed


def main():
    parser = argparse.ArgumentParser()
    parser.add_argument("binaries")
    parser.add_argument("--seeds", default="")
    parser.add_argument("--one", type=int)
    parser.add_argument("--gateways", type=int, default=4)
    parser.add_argument("--runners", type=int, default=4)
    parser.add_argument("--clients", type=int, default=12)
    parser.add_argument("--jobs", type=int, default=3)
    options = parser.parse_args()
    if options.one is not None:
        sys.exit(0 if run_seed(options.one, options) else 1)
    seeds = [1, 2] + sorted(REGRESSIONS)
    if options.seeds:
        first, _, last = options.seeds.partition("-")
        seeds = range(int(first), int(last or first) + 1)
    sys.exit(0 if run_seeds(seeds, options) else 1)


main()
