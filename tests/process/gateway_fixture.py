"""The gateway binary between stand-ins for the platform, for the process tests
of the gateway: start, call, read its log, and run a list of checks."""

import http.client
import json
import os
import subprocess
import sys
import tempfile
import time

from fleet_platform import CONFIGURATION, Runner, Store, free_port

BINARY = os.path.join(sys.argv[1], "savorystream")
FOLDER = tempfile.mkdtemp(prefix="savory-gateway-")


def wait_until(condition, seconds=8, what="condition"):
    end = time.monotonic() + seconds
    while time.monotonic() < end:
        if condition():
            return
        time.sleep(0.02)
    raise AssertionError("timed out waiting for: " + what)


class Gateway:
    def __init__(self, name, store, address="127.0.0.1", seeds=(), peer_port=0,
                 datagram_port=0, reads_log=True, bounds=None, extra=None,
                 limits=None):
        self.frontend_port = free_port()
        self.ready_port = free_port()
        self.path = os.path.join(FOLDER, name + ".json")
        settings = {
            "nodeName": name, "zone": "z1", "ip": address, "futureField": 1,
            "listen": {"frontend": "%s:%d" % (address, self.frontend_port),
                       "readyAddress": "%s:%d" % (address, self.ready_port),
                       "controlPlane": "%s:%d" % (address, peer_port)},
            "portRange": [datagram_port, datagram_port + 9], "seeds": list(seeds),
            "platform": {"address": store.address},
            "bounds": dict({"graceS": 4, "sessionS": 5}, **(bounds or {}))}
        settings.update(extra or {})
        if limits:
            settings["limits"] = limits
        with open(self.path, "w", encoding="utf-8") as file:
            json.dump(settings, file)
        self.address = address
        self.log = open(os.path.join(FOLDER, name + ".log"), "wb")
        environment = dict(os.environ, SAVORYSTREAM_CONFIG=self.path)
        self.process = subprocess.Popen(
            [BINARY, "gateway"], env=environment,
            stdout=self.log if reads_log else subprocess.PIPE)

    def is_ready(self):
        try:
            return self.get_admin("/readyz")[0] == 200
        except OSError:
            return False

    def get_admin(self, path):
        connection = http.client.HTTPConnection(
            self.address, self.ready_port, 2)
        connection.request("GET", path)
        reply = connection.getresponse()
        return reply.status, reply.read().decode()

    def call(self, method, path, key="k1", attempt="a1", body=b"", **headers):
        connection = http.client.HTTPConnection(
            self.address, self.frontend_port, 8)
        request_headers = {"Host": "h.example", "Attempt-Id": attempt,
                           "Api-Key": key, "Deadline-Ms": "6000"}
        request_headers.update({name.replace("_", "-"): value
                                for name, value in headers.items()})
        connection.request(method, path, body, request_headers)
        reply = connection.getresponse()
        return reply.status, reply.read(), dict(reply.getheaders())

    def stream(self, attempt="a1", key="k1", **headers):
        return self.call("POST", "/s/x", key, attempt, b"prompt", Model="*",
                         Token_Usage="100,20", Prefix_Hash="a1:50,b2:50",
                         **headers)

    def read_log(self):
        self.log.flush()
        with open(self.log.name, encoding="utf-8") as file:
            return file.read()

    def stop(self):
        if self.process.poll() is None:
            self.process.kill()
            self.process.wait()


class Platform:
    """Stand-ins for the platform, and the gateways that run against them."""

    def __init__(self):
        self.store = Store()
        self.llm = [Runner(self.store, "llm-%d" % i, "llm") for i in range(2)]
        self.desk = [Runner(self.store, "desk-%d" % i, "desk")
                     for i in range(2)]
        self.store.put("op/config", CONFIGURATION)
        # Invalid entries by another writer, which the gateway must ignore.
        self.store.put("servers/garbage", b"\xff\x00 not JSON")
        self.store.put("servers/odd", {"service": "llm", "state": "odd"})
        for runner in self.llm + self.desk:
            runner.register()
        self.gateways = []

    def gateway(self, name, store=None, **options):
        gateway = Gateway(name, store or self.store, **options)
        self.gateways.append(gateway)
        wait_until(gateway.is_ready, what=name + " ready")
        return gateway

    def runs(self, runners):
        return [run for runner in runners for run in runner.runs]

    def close(self):
        for gateway in self.gateways:
            gateway.stop()


def event_ids(body):
    """Returns the ids of the events of a stream, without its comments."""
    return [int(part.split(b"id: ")[1].split(b"\n")[0])
            for part in body.split(b"\n\n") if part and part[:1] != b":"]


def run_checks(checks):
    """Runs each check on a platform of its own, or those that the command line
    names, and exits with 1 if one failed."""
    chosen = sys.argv[2:]
    failed = 0
    for check in checks:
        if chosen and check.__name__ not in chosen:
            continue
        platform = Platform()
        try:
            check(platform)
            print("ok", check.__name__, flush=True)
        except Exception as error:  # Each check is reported.
            failed += 1
            print("FAILED", check.__name__, repr(error), flush=True)
            for gateway in platform.gateways:
                print(gateway.log.name)
        finally:
            platform.close()
    print("%d failed; logs in %s" % (failed, FOLDER))
    sys.exit(1 if failed else 0)
