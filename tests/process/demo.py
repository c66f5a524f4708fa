"""Runs both deployments of section 1.1 of docs/design.md at full size on loopback
and prints what was served where, at what cost, and what was billed. Exits with 1
if a check fails. Times hold for this machine and for stand-ins for the backend
servers; relay.py adds the delays between zones and to clients."""

import collections
import json
import statistics
import sys
import threading
import time

from fleet import Fleet, request, wait_until
from relay import Relays

DEPLOYMENTS = {
    "gulfway": {"title": "Gulfway Thermal Lending", "engines": 12, "services": 3,
                "zone_ms": 0.5, "client_ms": 3},
    "bengal": {"title": "Bengal Horological Restoration", "engines": 18,
               "services": 4, "zone_ms": 1.5, "client_ms": 1},
}

# Characters of a prompt; a token has about 4.
PROMPTS = {"short": 80, "middle": 3000, "long": 14000}


class DemoFleet(Fleet):
    """A fleet with network delays between zones and to clients: each zone reads a
    list of hosts in which processes of other zones are behind a relay."""

    def __init__(self, binaries, name):
        self.profile = DEPLOYMENTS[name]
        self.relays = Relays()
        self.zone_hosts = {}
        self.zone_relays = {}
        self.answered_ids = set()
        super().__init__(binaries, name, engines=self.profile["engines"],
                         services=self.profile["services"], entries=3,
                         engine_options=["--first-token-ms", "20",
                                         "--token-ms", "1"],
                         rating=["--score", "small@v1=0.78",
                                 "--other-score", "0.95"])

    def customize_config(self, config):
        # A second serving version of the medium model, so that versions() can
        # withdraw the first.
        config["models"][1]["versions"].append(
            {"name": "v2", "state": "serving", "share": 0})

    def chat(self, *arguments, **options):
        return self.record_answer(super().chat(*arguments, **options))

    def call(self, *arguments, **options):
        return self.record_answer(super().call(*arguments, **options))

    def record_answer(self, answer):
        """Stores the request id of an answered call, each of which is billed."""
        if answer[0] == 200:
            self.answered_ids.add(answer[1]["x-savory-request-id"])
        return answer

    def hosts_address(self, zone):
        if zone not in self.zone_hosts:
            self.zone_hosts[zone] = self._standin("hosts")
        return self.zone_hosts[zone].address

    def start_entry(self, name, zone):
        super().start_entry(name, zone)
        entry = self.entries[-1]
        entry.listen = self.relays.add(entry.listen, self.profile["client_ms"])

    def publish_hosts(self):
        super().publish_hosts()
        for zone, standin in self.zone_hosts.items():
            hosts = [
                {"name": p.name, "role": p.role, "zone": p.zone,
                 "inner": self.inner_address(zone, p), "admin": p.admin,
                 "state": "leaving" if p.leaving else "live"}
                for p in self.entries + self.agents
            ]
            assert request(standin.address, "PUT", "/hosts",
                           {"hosts": hosts})[0] == 200

    def inner_address(self, zone, process):
        if zone == process.zone:
            return process.inner
        # The delay is the same between any two zones.
        if process.name not in self.zone_relays:
            self.zone_relays[process.name] = self.relays.add(
                process.inner, self.profile["zone_ms"])
        return self.zone_relays[process.name]

    def close(self):
        super().close()
        self.relays.close()


class Report:
    """Results of the checks, and where each call was served at what cost."""

    def __init__(self, fleet):
        self.failures = []
        self.lock = threading.Lock()
        self.served = collections.Counter()
        self.cost_micros = collections.Counter()
        self.agent_zones = {agent.name: agent.zone for agent in fleet.agents}
        self.prices = {model["name"]: (model["input_cost"], model["output_cost"])
                       for model in fleet.config["models"]}

    def check(self, passed, text):
        print("   %-6s %s" % ("ok" if passed else "FAILED", text), flush=True)
        if not passed:
            self.failures.append(text)

    def call(self, fleet, index, size, model="auto"):
        """Makes a model call; returns status, zone, model, version and seconds."""
        customer = fleet.customers[index % len(fleet.customers)]
        entry = fleet.entries[index % len(fleet.entries)]
        prefix = "request %d of %s: " % (index, customer)
        prompt = prefix + "x" * (PROMPTS[size] - len(prefix))
        start = time.monotonic()
        status, headers, body = fleet.chat(
            entry, customer, prompt, model, {"x-savory-explain": "true"})
        seconds = time.monotonic() - start
        if status != 200:
            return status, body.decode(errors="replace"), "", "", seconds
        usage = json.loads(body)["usage"]
        name, version = headers["x-savory-model"], headers["x-savory-version"]
        zone = self.agent_zones.get(headers["x-savory-backend"], "?")
        price = self.prices[name]
        with self.lock:
            self.served[(size, name + "@" + version, zone)] += 1
            self.cost_micros[customer] += (
                usage["prompt_tokens"] * price[0] +
                usage["completion_tokens"] * price[1])
        return status, zone, name, version, seconds


def in_parallel(work, items, threads=8):
    """Runs work(item) for all items; returns the results in order."""
    items = list(items)
    results = [None] * len(items)
    position = iter(range(len(items)))
    lock = threading.Lock()

    def run():
        while True:
            with lock:
                index = next(position, None)
            if index is None:
                return
            try:
                results[index] = work(items[index])
            except Exception as error:  # The check of the results reports it.
                results[index] = (0, repr(error), "", "", 0)
    workers = [threading.Thread(target=run) for _ in range(threads)]
    for worker in workers:
        worker.start()
    for worker in workers:
        worker.join()
    return results


def model_calls(fleet, report):
    sizes = [size for size in PROMPTS for _ in range(40)]
    results = in_parallel(lambda item: report.call(fleet, *item),
                          list(enumerate(sizes)))
    good = [result for result in results if result[0] == 200]
    report.check(len(good) == len(sizes),
                 "%d of %d model calls answered" % (len(good), len(sizes)))
    for failed in [result for result in results if result[0] != 200][:3]:
        print("          ", failed[0], failed[1][:200])
    if good:
        print("          median %.0f ms for 16 tokens"
              % (1000 * statistics.median(result[4] for result in good)))
    for (size, version, zone), count in sorted(report.served.items()):
        print("          %-7s %-12s %-10s %4d" % (size, version, zone, count))


def explanations(fleet, report):
    _, headers, _ = fleet.chat(fleet.entries[1], fleet.customers[1], "Why?")
    code, text = fleet.ctl("explain", headers["x-savory-request-id"],
                           check=False)
    report.check(code == 0, "savoryctl explain shows the decisions:")
    for line in text.splitlines()[:12]:
        print("          " + line[:110])


def streams(fleet, report):
    results = in_parallel(
        lambda index: fleet.chat(fleet.entries[index % 3],
                                 fleet.customers[index % 10],
                                 "stream %d" % index, stream=True,
                                 max_tokens=60), range(20))
    complete = [result for result in results if result[0] == 200 and
                result[2].decode().rstrip().endswith("data: [DONE]")]
    report.check(len(complete) == 20,
                 "%d of 20 streams were complete" % len(complete))


def sessions(fleet, report):
    model = fleet.config["models"][1]["name"]
    stayed = 0
    for index in range(5):
        used = set()
        headers = {"x-session-id": "new", "x-savory-explain": "true"}
        for turn in range(4):
            status, answer, body = fleet.chat(
                fleet.entries[(index + turn) % 3], fleet.customers[index],
                "turn %d of session %d" % (turn, index), model, headers)
            if status != 200 or "x-session-id" not in answer:
                used.add("status %d %s" % (status, body[:200]))
                break
            used.add(answer["x-savory-version"])
            headers["x-session-id"] = answer["x-session-id"]
        stayed += len(used) == 1 and used <= {"v1", "v2"}
    report.check(stayed == 5, "%d of 5 sessions of %s stayed with one version "
                 "over three entries" % (stayed, model))


def bookings(fleet, report):
    call = fleet.config["services"][0]["non_idempotent"][0]
    customer = fleet.customers[0]
    status, _, body = fleet.call(fleet.entries[0], "GET", "/stock?item=7")
    report.check(status == 200, "a lookup of %s answered" % fleet.service_name)
    answers = []
    for index in range(10):
        answers.append(fleet.call(fleet.entries[index % 3], call["method"],
                                  call["path_prefix"], {"item": index},
                                  key="demo-%d" % index))
    report.check(all(answer[0] == 200 for answer in answers),
                 "10 calls that must run once answered")
    again = fleet.call(fleet.entries[1], call["method"], call["path_prefix"],
                       {"item": 0}, key="demo-0")
    runs = sum(len(fleet.read_observations(service)["by_key"].get("demo-0", []))
               for service in fleet.services)
    report.check(again[0] == 200 and again[2] == answers[0][2] and runs == 1,
                 "a retry got the first answer; the call ran %d time" % runs)
    code, text = fleet.ctl("record", fleet.service_name, customer,
                           "demo-0", check=False)
    report.check(code == 0 and "outcome" in text,
                 "savoryctl record shows the outcome of the key")


def run_ctl_change(fleet, report, *arguments):
    start = time.monotonic()
    code, text = fleet.ctl(*arguments, check=False)
    report.check(code == 0, "savoryctl %s: %s, %.1f s" % (
        " ".join(arguments),
        "in force everywhere" if code == 0 else text.strip(),
        time.monotonic() - start))


def presets(fleet, report):
    run_ctl_change(fleet, report, "preset", "peak")
    status, _, _, _, _ = report.call(fleet, 0, "short")
    report.check(status == 200, "a call after the switch answered")
    run_ctl_change(fleet, report, "preset", "ordinary")


def versions(fleet, report):
    model = fleet.config["models"][1]["name"]
    run_ctl_change(fleet, report, "version", "withdraw", model, "v1")
    results = in_parallel(
        lambda index: report.call(fleet, index, "short", model), range(30))
    used = collections.Counter(result[3] for result in results)
    report.check(set(used) == {"v2"},
                 "30 calls of %s after the withdrawal of v1 ran on %s"
                 % (model, dict(used)))


def zone_service(fleet, report):
    zone = fleet.zones[0]
    run_ctl_change(fleet, report, "zone", "out", zone)
    results = in_parallel(
        lambda index: report.call(fleet, index, "short"), range(40))
    in_zone = sum(result[1] == zone for result in results)
    answered = sum(result[0] == 200 for result in results)
    report.check(in_zone == 0 and answered == 40,
                 "%d of 40 calls answered, %d of them in %s"
                 % (answered, in_zone, zone))
    run_ctl_change(fleet, report, "zone", "in", zone)
    run_ctl_change(fleet, report, "zone", "in", zone)

    def serves():
        calls = in_parallel(
            lambda index: report.call(fleet, index, "short"), range(40))
        return any(result[1] == zone for result in calls)
    wait_until(serves, zone + " serves again", 20)
    report.check(True, zone + " serves again")


def billing(fleet, report):
    last_step_cost = sum(report.cost_micros.values())
    print("          the last steps of %d model calls cost %d micros at the "
          "prices of the configuration" % (sum(report.served.values()),
                                           last_step_cost))

    def billed():
        code, text = fleet.ctl("bills", "--json", check=False)
        rows = json.loads(text)["customers"]
        return (sum(row["requests"] for row in rows),
                sum(row["cost_micros"] for row in rows))
    try:
        wait_until(lambda: billed()[0] >= len(fleet.answered_ids),
                   "a bill for each call", 15)
    except AssertionError:
        pass
    requests, cost = billed()
    report.check(requests == len(fleet.answered_ids),
                 "%d answered calls, %d billed" % (len(fleet.answered_ids),
                                                   requests))
    report.check(cost >= last_step_cost, "%d micros billed for all steps" % cost)
    for line in fleet.ctl("bills")[1].splitlines():
        print("          " + line)


def run(binaries, name):
    profile = DEPLOYMENTS[name]
    start = time.monotonic()
    print("%s: %d + %d backend servers, %.1f ms between zones, %.0f ms to "
          "clients" % (profile["title"], profile["engines"], profile["services"],
                       profile["zone_ms"], profile["client_ms"]), flush=True)
    with DemoFleet(binaries, name) as fleet:
        fleet.wait_ready()
        report = Report(fleet)
        for step in (model_calls, explanations, streams, sessions, bookings,
                     presets, versions, zone_service, billing):
            print(" " + step.__name__.replace("_", " "), flush=True)
            try:
                step(fleet, report)
            except AssertionError as error:
                report.check(False, str(error))
    print("%s: %d checks failed, %.0f s\n"
          % (profile["title"], len(report.failures), time.monotonic() - start))
    return not report.failures


def main():
    results = [run(sys.argv[1], name) for name in DEPLOYMENTS]
    sys.exit(0 if all(results) else 1)


if __name__ == "__main__":
    main()
