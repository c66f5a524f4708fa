"""Starts stand-ins and the shipped binaries on loopback, for process tests."""

import base64
import hashlib
import http.client
import json
import os
import re
import signal
import subprocess
import tempfile
import threading
import time

ROOT = os.path.dirname(os.path.dirname(os.path.dirname(os.path.abspath(__file__))))


def request(address, method, target, body=None, headers=None, timeout=15):
    """Makes one HTTP request; returns status, headers (lower case) and body."""
    host, port = address.split(":")
    connection = http.client.HTTPConnection(host, int(port), timeout=timeout)
    try:
        if isinstance(body, (dict, list)):
            body = json.dumps(body)
        connection.request(method, target, body=body, headers=headers or {})
        response = connection.getresponse()
        data = response.read()
        return (
            response.status,
            {name.lower(): value for name, value in response.getheaders()},
            data,
        )
    finally:
        connection.close()


def wait_until(check, what, seconds=15):
    """Waits until check() returns a true value, which it then returns. The default
    timeout leaves room for a busy machine."""
    end = time.monotonic() + seconds
    while time.monotonic() < end:
        try:
            value = check()
            if value:
                return value
        except (OSError, http.client.HTTPException, ValueError, KeyError):
            pass
        time.sleep(0.03)
    raise AssertionError("timed out after %d s waiting for: %s" % (seconds, what))


class Process:
    """A running program. A thread reads its standard error into `log`."""

    def __init__(self, name, arguments, environment=None):
        self.name = name
        self.log = []
        self.process = subprocess.Popen(
            arguments,
            stdout=subprocess.PIPE,
            stderr=subprocess.PIPE,
            text=True,
            env={**os.environ, **(environment or {})},
        )
        self.reader = threading.Thread(target=self._read, daemon=True)
        self.reader.start()

    def _read(self):
        for line in self.process.stderr:
            self.log.append(line.rstrip())

    def event(self, number):
        """Returns the fields of the first log event with this number, or None."""
        for line in self.log:
            match = re.search(r"\] E%d \S+ ?(.*)" % number, line)
            if match:
                return dict(re.findall(r'(\S+?)=("[^"]*"|\S*)', match.group(1)))
        return None

    def signal(self, number):
        self.process.send_signal(number)

    def kill(self):
        if self.process.poll() is None:
            self.process.kill()
        self.process.wait()

    def terminate(self, seconds=40):
        self.process.terminate()
        return self.process.wait(seconds)


class Fleet:
    """Stand-ins for the store, the list of hosts and the backend servers of one
    deployment, with entries and agents in front of them."""

    def __init__(self, binaries, deployment="gulfway", engines=3, services=3,
                 entries=3, engine_options=None, rating=False):
        self.binaries = binaries
        self.config = json.load(
            open(os.path.join(ROOT, "docs", "examples", deployment + ".json"))
        )
        self.customize_config(self.config)
        self.zones = [zone["name"] for zone in self.config["zones"]]
        self.region = self.config["zones"][0]["region"]
        self.service_name = self.config["services"][0]["name"]
        self.pool = self.config["fencing_pools"][0]
        self.customers = [c["name"] for c in self.config["customers"]]
        self.engine_options = engine_options or []
        self.processes = []
        self.entries = []
        self.agents = []
        self.engines = []
        self.services = []
        self.rating = None
        self.store = self._standin("store")
        self.hosts = self._standin("hosts")
        if rating:
            self.rating = self._standin("rating", *rating)
        self.ctl("init", self._config_file(self.config))
        serves = []
        for model in self.config["models"]:
            for version in model["versions"]:
                serves += ["--serves", "%s@%s" % (model["name"], version["name"])]
        for index in range(engines):
            engine = self._standin("engine", *serves, *self.engine_options)
            self.engines.append(engine)
            self.start_agent("runner-%d" % index, engine, "engine", self.pool,
                             self.zones[index % len(self.zones)])
        for index in range(services):
            service = self._standin("service")
            self.services.append(service)
            self.start_agent("%s-%d" % (self.service_name, index), service,
                             "service", self.service_name,
                             self.zones[index % len(self.zones)])
        for index in range(entries):
            self.start_entry("entry-%d" % index, self.zones[index % len(self.zones)])
        self.publish_hosts()

    def customize_config(self, config):
        """Hook for subclasses, which may change the initial configuration."""

    def __enter__(self):
        return self

    def __exit__(self, kind, value, trace):
        if kind is not None:
            for process in self.entries + self.agents:
                print("--- log of", process.name)
                print("\n".join(process.log[-15:]))
        self.close()

    def close(self):
        for process in self.processes:
            process.kill()

    def _config_file(self, config):
        file = tempfile.NamedTemporaryFile("w", suffix=".json", delete=False)
        json.dump(config, file)
        file.close()
        return file.name

    def _standin(self, kind, *options):
        process = Process(
            kind,
            [os.path.join(self.binaries, "standin"), kind,
             "--listen", "127.0.0.1:0", *options],
        )
        self.processes.append(process)
        line = process.process.stdout.readline()
        process.address = line.split()[1]
        return process

    def _start(self, role, name, zone, *options):
        process = Process(
            name,
            [os.path.join(self.binaries, "savorystream"), role,
             "--host", name, "--zone", zone, "--region", self.region,
             "--store", self.store.address, "--hosts", self.hosts_address(zone),
             *options],
        )
        self.processes.append(process)
        started = wait_until(lambda: process.event(101), name + " has started")
        process.role = role
        process.zone = zone
        process.listen = started["listen"]
        process.inner = started["inner"]
        process.admin = started["admin"]
        process.leaving = False
        process.paused = False
        return process

    def hosts_address(self, zone):
        """Returns the address of the list of hosts that processes of a zone read."""
        return self.hosts.address

    def start_entry(self, name, zone):
        options = ["--rating", self.rating.address] if self.rating else []
        entry = self._start("entry", name, zone, *options)
        self.entries.append(entry)
        return entry

    def start_agent(self, name, backend, kind, pool, zone):
        agent = self._start("agent", name, zone, "--backend", backend.address,
                            "--backend-kind", kind, "--pool", pool)
        agent.backend = backend
        agent.kind = kind
        agent.pool = pool
        self.agents.append(agent)
        return agent

    def publish_hosts(self):
        hosts = [
            {"name": process.name, "role": process.role, "zone": process.zone,
             "inner": process.inner, "admin": process.admin,
             "state": "leaving" if process.leaving else "live"}
            for process in self.entries + self.agents
        ]
        status, _, body = request(self.hosts.address, "PUT", "/hosts",
                                  {"hosts": hosts})
        assert status == 200, body

    def set_faults(self, standin, **faults):
        status, _, body = request(standin.address, "POST", "/fault", faults)
        assert status == 200, body

    def read_observations(self, standin):
        return json.loads(request(standin.address, "GET", "/seen")[2])

    def ctl(self, *arguments, check=True):
        """Runs savoryctl; returns its exit code and output."""
        result = subprocess.run(
            [os.path.join(self.binaries, "savoryctl"), *arguments],
            env={**os.environ, "SAVORY_STORE": self.store.address,
                 "SAVORY_HOSTS": self.hosts.address,
                 "SAVORY_OPERATOR_TOKEN": "operator-token"},
            capture_output=True, text=True, timeout=60,
        )
        if check:
            assert result.returncode == 0, result.stdout + result.stderr
        return result.returncode, result.stdout + result.stderr

    def chat(self, entry, customer=None, prompt="Which lens?", model="auto",
             headers=None, stream=False, max_tokens=16, timeout=40):
        """Makes a model call for a customer; returns status, headers and body."""
        customer = customer or self.customers[0]
        body = {"model": model, "stream": stream, "max_tokens": max_tokens,
                "messages": [{"role": "user", "content": prompt}]}
        return request(
            entry.listen, "POST", "/v1/chat/completions", body,
            {"Authorization": "Bearer key-" + customer,
             "Content-Type": "application/json", **(headers or {})},
            timeout=timeout,
        )

    def call(self, entry, method, path, body=None, key=None, customer=None,
             headers=None, timeout=40):
        """Calls the plain service of the deployment; returns as chat() does."""
        customer = customer or self.customers[0]
        request_headers = {"Authorization": "Bearer key-" + customer,
                           **(headers or {})}
        if key:
            request_headers["Idempotency-Key"] = key
        return request(entry.listen, method, "/%s%s" % (self.service_name, path),
                       body, request_headers, timeout=timeout)

    def state(self, process):
        """Returns the state dump of an entry or agent."""
        return json.loads(request(
            process.admin, "GET", "/state",
            headers={"x-savory-operator-token": "operator-token"})[2])

    def store_value(self, key):
        """Returns the JSON value of a key in the stand-in store, or None."""
        body = request(self.store.address, "POST", "/v3/kv/range",
                       {"key": base64.b64encode(key.encode()).decode()})[2]
        rows = json.loads(body).get("kvs", [])
        return json.loads(decode(rows[0]["value"])) if rows else None

    def slot(self, key, customer=None):
        """Returns the slot of an idempotency key."""
        text = (customer or self.customers[0]) + "\0" + key
        return xxh64(text.encode()) % self.config["services"][0]["slots"]

    def owner(self, key):
        """Returns the running agent whose state dump has the slot of a key as
        served with the highest epoch, or None."""
        newest = None
        for agent in self.agents:
            if agent.process.poll() is not None or agent.paused:
                continue
            for row in self.state(agent)["slots"]["held"]:
                if row["slot"] == self.slot(key) and row["phase"] == "serving":
                    if newest is None or row["epoch"] > newest[0]:
                        newest = (row["epoch"], agent)
        return newest and newest[1]

    def wait_slots_served(self, witnesses=True, seconds=25):
        """Waits until each slot is served, by default with two live witnesses."""
        count = self.config["services"][0]["slots"]

        def ready():
            served = set()
            states = [self.state(agent) for agent in self.agents
                      if agent.process.poll() is None and not agent.paused]
            live = [{"host": s["host"], "incarnation": s["incarnation"]}
                    for s in states]
            for state in states:
                for row in state["slots"]["held"]:
                    witnesses_live = row["witnesses_ready"] and all(
                        name in live for name in row["witnesses"])
                    if row["phase"] == "serving" and (
                            witnesses_live or not witnesses):
                        served.add(row["slot"])
            return len(served) == count
        wait_until(ready, "all slots are served", seconds)

    def kill_agent(self, agent):
        """Kills an agent and removes it from the fleet."""
        agent.kill()
        self.agents.remove(agent)

    def replace_agent(self, agent, name=None):
        """Starts an agent without state in the place of one that has exited."""
        if agent in self.agents:
            self.agents.remove(agent)
        started = self.start_agent(name or agent.name, agent.backend,
                                   agent.kind, agent.pool, agent.zone)
        self.publish_hosts()
        return started

    def wait_ready(self):
        """Waits until each entry serves a model call and a lookup."""
        for entry in self.entries:
            wait_until(lambda: self.chat(entry)[0] == 200,
                       entry.name + " serves a model call")
            wait_until(lambda: self.call(entry, "GET", "/stock")[0] == 200,
                       entry.name + " serves a lookup")


def xxh64(data):
    """Returns XXH64 with seed 0, from which the slot of a key follows."""
    mask = (1 << 64) - 1
    primes = (0x9E3779B185EBCA87, 0xC2B2AE3D27D4EB4F, 0x165667B19E3779F9,
              0x85EBCA77C2B2AE63, 0x27D4EB2F165667C5)

    def rotate_left(value, bits):
        return ((value << bits) | (value >> (64 - bits))) & mask

    def mix(accumulator, value):
        return rotate_left((accumulator + value * primes[1]) & mask,
                           31) * primes[0] & mask

    position, size = 0, len(data)
    if size >= 32:
        lanes = [(primes[0] + primes[1]) & mask, primes[1], 0,
                 -primes[0] & mask]
        while position + 32 <= size:
            for index in range(4):
                word = data[position:position + 8]
                lanes[index] = mix(lanes[index], int.from_bytes(word, "little"))
                position += 8
        value = sum(rotate_left(lanes[i], (1, 7, 12, 18)[i])
                    for i in range(4)) & mask
        for lane in lanes:
            value = ((value ^ mix(0, lane)) * primes[0] + primes[3]) & mask
    else:
        value = primes[4]
    value = (value + size) & mask
    while position + 8 <= size:
        word = int.from_bytes(data[position:position + 8], "little")
        value = (rotate_left(value ^ mix(0, word), 27) * primes[0] + primes[3]) & mask
        position += 8
    if position + 4 <= size:
        word = int.from_bytes(data[position:position + 4], "little")
        value ^= word * primes[0] & mask
        value = (rotate_left(value, 23) * primes[1] + primes[2]) & mask
        position += 4
    for byte in data[position:]:
        value = rotate_left(value ^ (byte * primes[4] & mask), 11) * primes[0] & mask
    value = (value ^ (value >> 33)) * primes[1] & mask
    value = (value ^ (value >> 29)) * primes[2] & mask
    return value ^ (value >> 32)


def hash_key(text):
    return hashlib.sha256(text.encode()).hexdigest()


def decode(value):
    return base64.b64decode(value).decode()


SIGSTOP, SIGCONT, SIGKILL = signal.SIGSTOP, signal.SIGCONT, signal.SIGKILL
