"""Measures the path from caller through entry and agent to a simulated engine,
with the shipped binaries on loopback, and prints the table of savory_bench."""

import concurrent.futures
import json
import os
import subprocess
import sys
import time

ROOT = os.path.dirname(os.path.dirname(os.path.abspath(__file__)))
sys.path.insert(0, os.path.join(ROOT, "tests", "process"))

from fleet import Fleet, wait_until  # noqa: E402

# Targets of docs/design.md, section 1.3.
MAX_ADDED_P50_MS = 1.0
MAX_ADDED_P99_MS = 3.0
MIN_RELAYED_TOKENS_PER_CORE = 100_000
MAX_SILENT_CALLER_KIB = 64.0
MAX_REFUSAL_P99_MS = 5.0

CALLS_PER_SECOND = 500
SILENT_CALLERS = 1000

# Tokens of a stream to a silent caller: about 8 MB, more than the kernel
# buffers of a stream hold, and the longest wait until these are full.
SILENT_TOKENS = 60000
MAX_FILL_SECONDS = 30

REPETITIONS = 3

# Options of simulated engines. Their capacity is far above the load, so that
# they are no bottleneck.
UNLIMITED = ["--slots", "8192", "--token-capacity", "1000000000000"]
INSTANT = [*UNLIMITED, "--first-token-ms", "0", "--token-ms", "0"]
# An agent takes a first token far later than the usual time for a cold start.
# With a usual time of 0 ms, any delay of the busy machine would look like one.
STEADY_FIRST_TOKEN = [*UNLIMITED, "--first-token-ms", "100", "--token-ms", "0"]
PACED_TOKENS = [*UNLIMITED, "--first-token-ms", "0", "--token-ms", "5"]


class Table:
    """Prints metrics with one value for each repetition, in the format of
    bench/results.cpp."""

    def __init__(self):
        self.failed = False
        print("%-46s %12s %21s %10s %10s %-6s %s" % (
            "line", "median", "spread", "target", "bound", "meets",
            "baselines"), flush=True)

    def add_row(self, name, unit, values, target=None, lower_is_better=True,
                baselines=()):
        if not values:
            print("%-46s no values" % name, flush=True)
            return
        median = sorted(values)[len(values) // 2]
        meets = "-"
        text = "-"
        if target is not None:
            is_met = median <= target if lower_is_better else median >= target
            meets = "yes" if is_met else "NO"
            text = "%s%.4g" % ("<=" if lower_is_better else ">=", target)
        print("%-46s %12.5g %10.4g..%-9.4g %10s %10s %-6s %s" % (
            "%s [%s]" % (name, unit), median, min(values), max(values), text,
            "-", meets,
            "".join("%s %s; " % (key, "%.4g" % value
                                 if isinstance(value, float) else value)
                    for key, value in baselines)), flush=True)


def start_load(fleet, target, **options):
    """Starts savory_load, which prints one line of JSON when it ends."""
    arguments = [os.path.join(fleet.binaries, "savory_load"),
                 "--target", target]
    for name, value in options.items():
        arguments += ["--" + name, str(value)]
    return subprocess.Popen(arguments, stdout=subprocess.PIPE, text=True)


def finish_load(process, timeout_s=60):
    output, _ = process.communicate(timeout=timeout_s)
    return json.loads(output)


def run_load(fleet, target, **options):
    return finish_load(start_load(fleet, target, **options))


def customer_key(fleet):
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


def start_warm_fleet(binaries, engines, options, entries=1, warmup_rate=100):
    """Starts a fleet whose first entry serves model calls, and warms up its
    backend servers."""
    fleet = Fleet(binaries, engines=engines, services=0, entries=entries,
                  engine_options=options)
    wait_until(lambda: fleet.chat(fleet.entries[0])[0] == 200,
               "the entry serves a model call")
    # The backend servers start cold. The requests they may run at once double
    # with each completed round.
    run_load(fleet, fleet.entries[0].listen, key=customer_key(fleet),
             rate=warmup_rate, seconds=4, tokens=4, label="warm-up")
    return fleet


def measure_latency(table, binaries):
    """Time to first token through the router and directly from a simulated
    engine, measured at the same time."""
    fleet = start_warm_fleet(binaries, 4, INSTANT)
    try:
        added_ms = {"p50": [], "p99": []}
        direct_ms = {"p50": [], "p99": []}
        answer_ms, errors = [], {}
        for repeat in range(REPETITIONS):
            direct = start_load(fleet, fleet.engines[0].address, model="large",
                                rate=CALLS_PER_SECOND / 4, seconds=3, tokens=16,
                                label="direct %d" % repeat)
            path = run_load(fleet, fleet.entries[0].listen,
                            key=customer_key(fleet), rate=CALLS_PER_SECOND,
                            seconds=3, tokens=16, label="path %d" % repeat)
            direct = finish_load(direct)
            for percentile in added_ms:
                added_ms[percentile].append(
                    path["first_token_ms"][percentile] -
                    direct["first_token_ms"][percentile])
                direct_ms[percentile].append(
                    direct["first_token_ms"][percentile])
            answer_ms.append(path["whole_ms"]["p99"])
            errors.update(path["errors"])
        for percentile, target in (("p50", MAX_ADDED_P50_MS),
                                   ("p99", MAX_ADDED_P99_MS)):
            table.add_row("path: added first token %s" % percentile, "ms",
                          added_ms[percentile], target,
                          baselines=[("direct", sorted(
                              direct_ms[percentile])[REPETITIONS // 2])])
        table.add_row("path: whole answer p99", "ms", answer_ms,
                      baselines=list(errors.items()))
    finally:
        fleet.close()


def measure_relay(table, binaries):
    """Tokens that one entry relays per second of its processor time."""
    for name, options, rate, tokens in (
            ("bursts", INSTANT, 60, 2000),
            ("one each 5 ms", PACED_TOKENS, 100, 400)):
        fleet = start_warm_fleet(binaries, 4, options)
        try:
            relayed, offered, errors = [], [], {}
            for repeat in range(REPETITIONS):
                entry = fleet.entries[0]
                cpu_before_s = cpu_seconds(entry)
                with concurrent.futures.ThreadPoolExecutor() as pool:
                    results = list(pool.map(
                        lambda client: run_load(
                            fleet, entry.listen, key=customer_key(fleet),
                            rate=rate / 2, seconds=2, tokens=tokens,
                            label="relay %d %d" % (repeat, client)), range(2)))
                cpu_used_s = cpu_seconds(entry) - cpu_before_s
                relayed.append(sum(r["tokens"] for r in results) / cpu_used_s)
                offered.append(sum(r["tokens_per_s"] for r in results))
                for result in results:
                    errors.update(result["errors"])
            table.add_row("path: relayed, %s" % name, "tokens/core s", relayed,
                          MIN_RELAYED_TOKENS_PER_CORE, lower_is_better=False,
                          baselines=[("tokens/s of the run", offered[-1]),
                                     *errors.items()])
        finally:
            fleet.close()


def wait_buffers_filled(engines):
    """Waits until the buffers of silent callers are full, after which the
    engines use little processor time."""
    time.sleep(10)
    end = time.monotonic() + MAX_FILL_SECONDS
    while time.monotonic() < end:
        before = sum(cpu_seconds(engine) for engine in engines)
        time.sleep(1)
        if sum(cpu_seconds(e) for e in engines) - before < 0.2 * len(engines):
            return


def measure_silent(table, binaries):
    """Memory per caller that reads nothing, and time to first token of the
    other callers meanwhile."""
    fleet = start_warm_fleet(binaries, 4, STEADY_FIRST_TOKEN, warmup_rate=800)
    try:
        entry = fleet.entries[0]
        other_traffic = {"key": "key-" + fleet.customers[1], "rate": 100,
                         "seconds": 4, "tokens": 16}
        without = run_load(fleet, entry.listen, label="without",
                           **other_traffic)
        processes = [entry, *fleet.agents]
        before_kib = [resident_kib(process) for process in processes]
        silent = start_load(fleet, entry.listen, key=customer_key(fleet),
                            seconds=90, silent=SILENT_CALLERS,
                            tokens=SILENT_TOKENS, label="silent")
        wait_buffers_filled(fleet.engines)
        direct = start_load(fleet, fleet.engines[0].address, model="large",
                            label="direct", **other_traffic)
        during = run_load(fleet, entry.listen, label="beside",
                          **other_traffic)
        direct = finish_load(direct)
        after_kib = [resident_kib(process) for process in processes]
        open_streams = fleet.state(entry)["calls"]
        silent.kill()
        silent.wait()
        growth_kib = [b - a for a, b in zip(before_kib, after_kib)]
        if open_streams < SILENT_CALLERS * 0.99:
            print("only %d of %d silent callers hold a stream" % (
                open_streams, SILENT_CALLERS))
            return
        table.add_row("path: memory of a silent caller, entry", "KiB",
                      [growth_kib[0] / SILENT_CALLERS], MAX_SILENT_CALLER_KIB,
                      baselines=[("streams held", open_streams)])
        table.add_row("path: memory of a silent caller, agents", "KiB",
                      [sum(growth_kib[1:]) / SILENT_CALLERS],
                      MAX_SILENT_CALLER_KIB)
        first_token_p99_ms = [
            run["first_token_ms"].get("p99", float("nan"))
            for run in (during, without, direct)]
        table.add_row("path: first token p99 beside silent callers", "ms",
                      first_token_p99_ms[:1],
                      baselines=[("without", first_token_p99_ms[1]),
                                 ("direct", first_token_p99_ms[2]),
                                 ("unfinished", during["unfinished"]),
                                 *during["errors"].items()])
    finally:
        fleet.close()


def measure_refusals(table, binaries):
    """Time to a refusal, by cause."""
    slow = ["--slots", "2", "--first-token-ms", "400", "--token-ms", "1"]
    fleet = start_warm_fleet(binaries, 2, slow, entries=2)
    try:
        def add_refusal_row(cause, code, result):
            refused = result["refused_ms"].get(code, {})
            other_errors = [(name, count)
                            for name, count in result["errors"].items()
                            if name != code]
            table.add_row("path: refusal p99, %s" % cause, "ms",
                          [refused["p99"]] if refused else [],
                          MAX_REFUSAL_P99_MS,
                          baselines=[("p50", refused.get("p50", 0.0)),
                                     ("refused", refused.get("count", 0)),
                                     *other_errors])

        entry = fleet.entries[0]
        add_refusal_row("wrong key", "401 unauthorized",
                        run_load(fleet, entry.listen, key="nobody", rate=200,
                                 seconds=2))
        add_refusal_row("overload", "503 overloaded",
                        run_load(fleet, entry.listen, key=customer_key(fleet),
                                 rate=200, seconds=4, tokens=16,
                                 label="overload"))
        # A long stream keeps the draining entry from exiting.
        long_stream = start_load(fleet, entry.listen, key=customer_key(fleet),
                                 rate=2, seconds=1, tokens=8000, label="held")
        time.sleep(2)
        entry.process.terminate()
        time.sleep(0.2)
        add_refusal_row("draining", "503 draining",
                        run_load(fleet, entry.listen, key=customer_key(fleet),
                                 rate=200, seconds=2, label="draining"))
        long_stream.kill()
        long_stream.wait()
    finally:
        fleet.close()


MEASUREMENTS = {"latency": measure_latency, "relay": measure_relay,
                "silent": measure_silent, "refusals": measure_refusals}


def main():
    binaries = sys.argv[1]
    started = time.monotonic()
    print("load average at the start: %.1f %.1f %.1f on %d cores" % (
        *os.getloadavg(), os.cpu_count()))
    table = Table()
    for name in sys.argv[2:] or MEASUREMENTS:
        MEASUREMENTS[name](table, binaries)
    print("load average at the end: %.1f %.1f %.1f; %.0f s" % (
        *os.getloadavg(), time.monotonic() - started))


if __name__ == "__main__":
    main()
