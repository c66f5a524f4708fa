"""A small deployment on loopback addresses for the cases of this review: the
project's stand-ins for the store and the runners, and the gateways, started as
separate processes with the command of the deploy file."""

import contextlib
import http.client
import json
import os
import signal
import subprocess
import sys
import tempfile
import threading
import time
import tomllib

ROOT = os.path.abspath(os.path.join(os.path.dirname(__file__), "..", ".."))
sys.path.insert(0, os.path.join(ROOT, "tests", "process"))

from fleet_platform import (Runner, Store, free_port,  # noqa: E402
                            write_response)

# Exit statuses; play.sh maps BROKEN to 1 and those of a failed interpreter to 2.
HELD, NOT_RUN, BROKEN = 0, 2, 3
HAS_TROUBLE = os.environ.get("TROUBLE", "1") != "0"

# The bounds of the sheet of gulfway-lend.
BOUNDS = {
    "seedLagS": 3, "reuseAfterS": 2, "contactMs": 3000, "ackMs": 4000,
    "catchUpS": 4, "drainMs": 2000, "graceS": 8, "lossSlackMs": 200,
    "configApplyMs": 2000, "rollbackSlackMs": 250, "stretchMaxMs": 5000,
    "strictRevocation": False, "revokeMs": 5000, "retryBudgetRatio": 0.9,
    "retryWindowS": 10, "retrySlack": 56, "exposureShare": 0.15,
    "exposureSlack": 30, "rollbackMs": 5000, "coldOverrun": 1.5,
    "coldSlack": 5, "evacuateMs": 5000, "recoverS": 12, "passMs": 120,
    "reuseWindowS": 10, "sessionS": 5}


class CannotRun(Exception):
    """The case could not be played."""


class Record:
    """A record of what was sent, answered and run, a line each."""

    def __init__(self, path):
        self.file = open(path, "w", encoding="utf-8")
        self.start = time.monotonic()
        self.lock = threading.Lock()
        self.write("TROUBLE=%d" % HAS_TROUBLE)

    def write(self, text):
        with self.lock:
            self.file.write("%9.3f s  %s\n" %
                            (time.monotonic() - self.start, text))
            self.file.flush()


def wait_until(condition, seconds, what):
    end = time.monotonic() + seconds
    while time.monotonic() < end:
        with contextlib.suppress(OSError, http.client.HTTPException):
            if condition():
                return
        time.sleep(0.02)
    raise CannotRun("timed out waiting for " + what)


class Gateway:
    """A gateway process on an address of its own."""

    def __init__(self, folder, number, ports, seeds, store, zone, limits):
        self.name = "edge-%s-%d" % (zone, number)
        self.address = "127.0.7.%d" % (10 + number)
        self.ports = ports
        self.folder = folder
        self.process = None
        self.settings = os.path.join(folder, self.name + ".json")
        place = self.address + ":%d"
        with open(self.settings, "w", encoding="utf-8") as file:
            json.dump({
                "nodeName": self.name, "role": "gateway",
                "machineClass": "edge", "serves": ["edge", "control"],
                "ip": self.address, "zone": zone, "region": "gulf-south",
                "zones": {"gulf-a": "gulf-south", "gulf-b": "gulf-south",
                          "gulf-c": "gulf-south"},
                "listen": {"frontend": place % ports["frontend"],
                           "readyAddress": place % ports["ready"],
                           "controlPlane": place % ports["control"]},
                "portRange": [ports["range"], ports["range"] + 15],
                "seeds": seeds, "bootstrap": True, "inTolerance": False,
                "limits": limits, "dataDir": None, "discovery": "platform",
                "entry": "vip", "heartbeatMs": 1200,
                "contracts": ["base", "drain", "config", "cost", "retry",
                              "recover", "engine", "stream", "tenants",
                              "places", "pressure", "platform", "rollout"],
                "faultTolerance": {"machines": 1, "zones": 1, "regions": 0},
                "bounds": BOUNDS,
                "platform": {"address": store.address, "form": "kv",
                             "writesPerS": 400, "readsPerS": 2000,
                             "historyS": 20, "valueBytes": 1048576,
                             "ttlMinMs": 1000}}, file)

    def start(self, keeps_log=True):
        with open(os.path.join(ROOT, "deploy", "system.toml"), "rb") as file:
            command = tomllib.load(file)["roles"]["gateway"]["run"].split()
        if not os.path.exists(os.path.join(ROOT, command[0])):
            raise CannotRun(command[0] + " is missing: run the build of the "
                            "deploy file first")
        with open(self.settings + ".log" if keeps_log else os.devnull,
                  "ab") as log:
            self.process = subprocess.Popen(
                command, cwd=ROOT, stdout=log, stderr=log,
                env={"PATH": os.environ["PATH"],
                     "SAVORYSTREAM_CONFIG": self.settings})

    def is_ready(self):
        link = http.client.HTTPConnection(self.address, self.ports["ready"], 2)
        try:
            link.request("GET", "/readyz")
            return link.getresponse().status == 200
        finally:
            link.close()

    def call(self, method, path, attempt, body=b"", deadline_ms=4000,
             timeout=10, **headers):
        """Sends one request on a new connection; returns status, headers (names
        in lower case) and body, or (None, {}, b"") if there was no answer."""
        link = http.client.HTTPConnection(
            self.address, self.ports["frontend"], timeout)
        fields = {"Host": "h.example", "Attempt-Id": attempt, "Api-Key": "k1",
                  "Deadline-Ms": str(deadline_ms)}
        fields.update({name.replace("_", "-"): value
                       for name, value in headers.items()})
        try:
            link.request(method, path, body, fields)
            reply = link.getresponse()
            answer = reply.read()
            return (reply.status,
                    {name.lower(): value for name, value in reply.getheaders()},
                    answer)
        except (OSError, http.client.HTTPException):
            return None, {}, b""
        finally:
            link.close()

    def kill(self):
        if self.process and self.process.poll() is None:
            self.process.send_signal(signal.SIGKILL)
            self.process.wait()


class World:
    """The store, the gateways and what else a case adds."""

    def __init__(self, configuration, gateways=3, limits=None):
        self.folder = tempfile.mkdtemp(prefix="savory-review-")
        self.store = Store()
        self.store.put("op/config", configuration)
        ports = {name: free_port() for name in ("frontend", "ready", "control")}
        ports["range"] = free_port()
        seeds = ["127.0.7.%d:%d" % (10 + number, ports["control"])
                 for number in range(min(3, gateways))]
        limits = limits or {"cpuShare": 0.19, "cores": 1, "memoryMb": 260,
                            "maxFds": 4100, "linkMbps": 1000.0, "diskMb": 0}
        zones = ("gulf-a", "gulf-b", "gulf-c")
        self.gateways = [Gateway(self.folder, number, ports, seeds, self.store,
                                 zones[number % 3], limits)
                         for number in range(gateways)]

    def start(self, keeps_log=True):
        for gateway in self.gateways:
            gateway.start(keeps_log)
        for gateway in self.gateways:
            wait_until(gateway.is_ready, 15, gateway.name)

    def close(self):
        for gateway in self.gateways:
            gateway.kill()


def play(record_path, case):
    """Runs case(record), which returns HELD or BROKEN, and exits."""
    record = Record(record_path)

    def stop(number, _):
        raise CannotRun("ended by signal %d" % number)

    signal.signal(signal.SIGTERM, stop)
    try:
        outcome = case(record)
    except CannotRun as reason:
        record.write("cannot run: %s" % reason)
        print("cannot run:", reason)
        outcome = NOT_RUN
    except Exception as error:  # An error of the case is no broken rule.
        record.write("cannot run: %r" % error)
        print("cannot run:", repr(error))
        outcome = NOT_RUN
    record.write("exit %d" % outcome)
    sys.stdout.flush()
    os._exit(outcome)
