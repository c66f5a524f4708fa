"""Measures the path caller, entry, agent, engine stand-in through the shipped
binaries on loopback and prints the table of savory_bench."""

import concurrent.futures
import json
import os
import subprocess
import sys
import time

ROOT = os.path.dirname(os.path.dirname(os.path.abspath(__file__)))
sys.path.insert(0, os.path.join(ROOT, "tests", "process"))

from fleet import Fleet, wait_until  # noqa: E402

# Targets of docs/design.md, 1.3.
ADDED_P50_MS = 1.0
ADDED_P99_MS = 3.0
RELAYED_TOKENS_PER_CORE = 100_000
SILENT_CALLER_KIB = 64.0
REFUSAL_P99_MS = 5.0

RATE = 500
SILENT_CALLERS = 1000

# About 8 MB, more than the buffers of the kernel hold for a stream, and how
# long they may take to fill.
SILENT_TOKENS = 60000
FILL_SECONDS = 30

REPEATS = 3

# Engines that carry any load here, so that they are no bottleneck.
LARGE = ["--slots", "8192", "--token-capacity", "1000000000000"]
FAST = [*LARGE, "--first-token-ms", "0", "--token-ms", "0"]
# First tokens far above the usual time count as a cold start; a usual time of
# 0 ms would make any delay of the busy machine one.
STEADY = [*LARGE, "--first-token-ms", "100", "--token-ms", "0"]
PACED = [*LARGE, "--first-token-ms", "0", "--token-ms", "5"]


class Table:
    """Lines with one value for each repetition, as bench/results.cpp prints
    them."""

    def __init__(self):
        self.failed = False
        print("%-46s %12s %21s %10s %10s %-6s %s" % (
            "line", "median", "spread", "target", "bound", "meets",
            "baselines"), flush=True)

    def line(self, name, unit, values, target=None, lower=True, baselines=()):
        if not values:
            print("%-46s no values" % name, flush=True)
            return
        median = sorted(values)[len(values) // 2]
        meets = "-"
        text = "-"
        if target is not None:
            good = median <= target if lower else median >= target
            meets = "yes" if good else "NO"
            text = "%s%.4g" % ("<=" if lower else ">=", target)
        print("%-46s %12.5g %10.4g..%-9.4g %10s %10s %-6s %s" % (
            "%s [%s]" % (name, unit), median, min(values), max(values), text,
            "-", meets,
            "".join("%s %s; " % (key, "%.4g" % value
                                 if isinstance(value, float) else value)
                    for key, value in baselines)), flush=True)


def start_load(fleet, target, **options):
    """Starts savory_load; its one line of JSON comes at its end."""
    arguments = [os.path.join(fleet.binaries, "savory_load"), "--target", target]
    for name, value in options.items():
        arguments += ["--" + name, str(value)]
    return subprocess.Popen(arguments, stdout=subprocess.PIPE, text=True)


def finish_load(process, seconds=60):
    output, _ = process.communicate(timeout=seconds)
    return json.loads(output)


def load(fleet, target, **options):
    return finish_load(start_load(fleet, target, **options))


def key_of(fleet):
    return "key-" + fleet.customers[0]


def cpu_seconds(process):
    """User and system time of a process."""
    with open("/proc/%d/stat" % process.process.pid) as file:
        fields = file.read().rsplit(")", 1)[1].split()
    return (int(fields[11]) + int(fields[12])) / os.sysconf("SC_CLK_TCK")


def resident_kib(process):
    with open("/proc/%d/status" % process.process.pid) as file:
        for line in file:
            if line.startswith("VmRSS:"):
                return int(line.split()[1])
    return 0


def serve(binaries, engines, options, entries=1, warmup_rate=100):
    """A fleet whose first entry serves model calls of all engines."""
    fleet = Fleet(binaries, engines=engines, services=0, entries=entries,
                  engine_options=options)
    wait_until(lambda: fleet.chat(fleet.entries[0])[0] == 200,
               "the entry serves a model call")
    # The backend servers are cold at first; what they may carry at once doubles
    # with each completed round.
    load(fleet, fleet.entries[0].listen, key=key_of(fleet), rate=warmup_rate,
         seconds=4, tokens=4, label="warm-up")
    return fleet


def measure_latency(table, binaries):
    """Time to first token through the path and of the stand-in itself, side by
    side in the same seconds."""
    fleet = serve(binaries, 4, FAST)
    try:
        rows = {"p50": [], "p99": []}
        direct_rows = {"p50": [], "p99": []}
        whole, errors = [], {}
        for repeat in range(REPEATS):
            direct = start_load(fleet, fleet.engines[0].address, model="large",
                                rate=RATE / 4, seconds=3, tokens=16,
                                label="direct %d" % repeat)
            path = load(fleet, fleet.entries[0].listen, key=key_of(fleet),
                        rate=RATE, seconds=3, tokens=16,
                        label="path %d" % repeat)
            direct = finish_load(direct)
            for share in rows:
                rows[share].append(path["first_token_ms"][share] -
                                   direct["first_token_ms"][share])
                direct_rows[share].append(direct["first_token_ms"][share])
            whole.append(path["whole_ms"]["p99"])
            errors.update(path["errors"])
        for share, target in (("p50", ADDED_P50_MS), ("p99", ADDED_P99_MS)):
            table.line("path: added first token %s" % share, "ms", rows[share],
                       target, baselines=[("direct", sorted(
                           direct_rows[share])[REPEATS // 2])])
        table.line("path: whole answer p99", "ms", whole,
                   baselines=list(errors.items()))
    finally:
        fleet.close()


def measure_relay(table, binaries):
    """Tokens that one entry relays for each second of its own processor
    time."""
    for name, options, rate, tokens in (
            ("bursts", FAST, 60, 2000), ("one each 5 ms", PACED, 100, 400)):
        fleet = serve(binaries, 4, options)
        try:
            relayed, offered, errors = [], [], {}
            for repeat in range(REPEATS):
                entry = fleet.entries[0]
                before = cpu_seconds(entry)
                with concurrent.futures.ThreadPoolExecutor() as pool:
                    results = list(pool.map(
                        lambda part: load(
                            fleet, entry.listen, key=key_of(fleet),
                            rate=rate / 2, seconds=2, tokens=tokens,
                            label="relay %d %d" % (repeat, part)), range(2)))
                used = cpu_seconds(entry) - before
                relayed.append(sum(r["tokens"] for r in results) / used)
                offered.append(sum(r["tokens_per_s"] for r in results))
                for result in results:
                    errors.update(result["errors"])
            table.line("path: relayed, %s" % name, "tokens/core s", relayed,
                       RELAYED_TOKENS_PER_CORE, lower=False,
                       baselines=[("tokens/s of the run", offered[-1]),
                                  *errors.items()])
        finally:
            fleet.close()


def wait_filled(engines):
    """Waits until the buffers of silent callers are full, so that the engines
    have little to do."""
    time.sleep(10)
    end = time.monotonic() + FILL_SECONDS
    while time.monotonic() < end:
        before = sum(cpu_seconds(engine) for engine in engines)
        time.sleep(1)
        if sum(cpu_seconds(e) for e in engines) - before < 0.2 * len(engines):
            return


def measure_silent(table, binaries):
    """Memory for callers that read nothing, and what others see of them."""
    fleet = serve(binaries, 4, STEADY, warmup_rate=800)
    try:
        entry = fleet.entries[0]
        others = {"key": "key-" + fleet.customers[1], "rate": 100,
                  "seconds": 4, "tokens": 16}
        without = load(fleet, entry.listen, label="without", **others)
        processes = [entry, *fleet.agents]
        before = [resident_kib(process) for process in processes]
        silent = start_load(fleet, entry.listen, key=key_of(fleet), seconds=90,
                            silent=SILENT_CALLERS, tokens=SILENT_TOKENS,
                            label="silent")
        wait_filled(fleet.engines)
        direct = start_load(fleet, fleet.engines[0].address, model="large",
                            label="direct", **others)
        beside = load(fleet, entry.listen, label="beside", **others)
        direct = finish_load(direct)
        after = [resident_kib(process) for process in processes]
        held = fleet.state(entry)["calls"]
        silent.kill()
        silent.wait()
        grown = [b - a for a, b in zip(before, after)]
        if held < SILENT_CALLERS * 0.99:
            print("only %d of %d silent callers hold a stream" % (
                held, SILENT_CALLERS))
            return
        table.line("path: memory of a silent caller, entry", "KiB",
                   [grown[0] / SILENT_CALLERS], SILENT_CALLER_KIB,
                   baselines=[("streams held", held)])
        table.line("path: memory of a silent caller, agents", "KiB",
                   [sum(grown[1:]) / SILENT_CALLERS], SILENT_CALLER_KIB)
        first = [run["first_token_ms"].get("p99", float("nan"))
                 for run in (beside, without, direct)]
        table.line("path: first token p99 beside silent callers", "ms",
                   first[:1],
                   baselines=[("without", first[1]), ("direct", first[2]),
                              ("unfinished", beside["unfinished"]),
                              *beside["errors"].items()])
    finally:
        fleet.close()


def measure_refusals(table, binaries):
    """Time to a refusal for each cause."""
    slow = ["--slots", "2", "--first-token-ms", "400", "--token-ms", "1"]
    fleet = serve(binaries, 2, slow, entries=2)
    try:
        def row(cause, code, result):
            refused = result["refused_ms"].get(code, {})
            others = [(name, count) for name, count in result["errors"].items()
                      if name != code]
            table.line("path: refusal p99, %s" % cause, "ms",
                       [refused["p99"]] if refused else [], REFUSAL_P99_MS,
                       baselines=[("p50", refused.get("p50", 0.0)),
                                  ("refused", refused.get("count", 0)),
                                  *others])

        entry = fleet.entries[0]
        row("wrong key", "401 unauthorized", load(fleet, entry.listen, key="nobody", rate=200,
                              seconds=2))
        row("overload", "503 overloaded", load(fleet, entry.listen, key=key_of(fleet), rate=200,
                             seconds=4, tokens=16, label="overload"))
        # A long stream keeps the entry from ending while it drains.
        held = start_load(fleet, entry.listen, key=key_of(fleet), rate=2,
                          seconds=1, tokens=8000, label="held")
        time.sleep(2)
        entry.process.terminate()
        time.sleep(0.2)
        row("draining", "503 draining", load(fleet, entry.listen, key=key_of(fleet), rate=200,
                             seconds=2, label="draining"))
        held.kill()
        held.wait()
    finally:
        fleet.close()


PARTS = {"latency": measure_latency, "relay": measure_relay,
         "silent": measure_silent, "refusals": measure_refusals}


def main():
    binaries = sys.argv[1]
    started = time.monotonic()
    print("load average at the start: %.1f %.1f %.1f on %d cores" % (
        *os.getloadavg(), os.cpu_count()))
    table = Table()
    for name in sys.argv[2:] or PARTS:
        PARTS[name](table, binaries)
    print("load average at the end: %.1f %.1f %.1f; %.0f s" % (
        *os.getloadavg(), time.monotonic() - started))


if __name__ == "__main__":
    main()
