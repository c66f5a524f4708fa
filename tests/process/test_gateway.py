"""Runs the gateway binary between stand-ins for the platform.

Guards against a request that runs twice, a truncated stream, a revoked key that
is still accepted, a roll-out of a good version that does not complete, a stop
that loses requests, and a full log pipe that blocks the event loop."""

import copy
import http.client
import os
import signal
import subprocess
import threading
import time

from fleet_platform import CONFIGURATION, Runner, free_port
from gateway_fixture import (
    BINARY, FOLDER, event_ids, run_checks, wait_until)
from soak_faults import FaultProxy


def serves_and_rejects(platform):
    gateway = platform.gateway("serves")
    status, body, headers = gateway.stream(Tenant="forged", Kv_From="forged")
    assert status == 200 and event_ids(body) == [1, 2, 3, 4, 5], (status, body)
    assert headers["Runner-Signature"].startswith("sig-llm"), headers
    received = platform.runs(platform.llm)[0][0]
    assert received["tenant"] == "t1" and "api-key" not in received, received
    assert "kv-from" not in received and received["model"] == "small", received
    assert gateway.call("GET", "/g/x", key="none")[0] == 401
    assert gateway.call("GET", "/none")[0] == 404
    assert gateway.call("GET", "/g/x")[0] == 200
    wait_until(lambda: "request-ended id=a1" in gateway.read_log(),
               what="the log line")
    assert "savory_gateway_requests_total" in gateway.get_admin("/metrics")[1]
    assert "llm-0" in gateway.get_admin("/state")[1]


def escalates_to_larger_model(platform):
    gateway = platform.gateway("larger")
    for runner in platform.llm:
        runner.confidence = 5
    status, body, _ = gateway.stream()
    assert status == 200 and b"large" in body and b"small" not in body, body


def paced_services_state_prefix_decisions(platform):
    """Guards against a decision about shared parts that is neither logged nor
    counted, and against one for services whose runners state no slowdown."""
    gateway = platform.gateway("paced")
    assert gateway.stream("a1")[0] == 200
    wait_until(lambda: "prefix=no-prefix/no-prefix" in gateway.read_log(),
               what="the log line")
    assert "savory_gateway_prefix_decisions_total" not in \
        gateway.get_admin("/metrics")[1]
    for runner in platform.llm:
        runner.load = "1,0,8,100"
    assert gateway.stream("a2")[0] == 200
    assert gateway.stream("a3")[0] == 200
    wait_until(lambda: "prefix=wait-at-holder/least-time" in gateway.read_log(),
               what="the decision in the log")
    assert "savory_gateway_prefix_decisions_total{" in \
        gateway.get_admin("/metrics")[1]
    assert "speed_factor" in gateway.get_admin("/state")[1]


def resumes_a_torn_stream(platform):
    gateway = platform.gateway("torn")
    for runner in platform.llm:
        runner.mode = "tear"

    result = []
    thread = threading.Thread(target=lambda: result.append(gateway.stream()))
    for runner in platform.llm:
        runner.event_interval_s = 0.1
    thread.start()
    wait_until(lambda: platform.runs(platform.llm), what="a run")
    other = platform.llm[0] if platform.llm[1].runs else platform.llm[1]
    other.mode = "serve"
    thread.join()
    status, body, _ = result[0]
    assert status == 200 and event_ids(body) == [1, 2, 3, 4, 5], body
    assert other.runs[0][0]["last-event-id"] == "2", other.runs[0][0]


def stream_without_framing_ends_with_its_connection(platform):
    """Guards against a stream with neither length nor chunks that is taken for
    broken, and against one that ends inside an event and looks complete."""
    gateway = platform.gateway("unframed")
    for runner in platform.llm:
        runner.mode = "unframed"
    status, body, _ = gateway.stream()
    assert status == 200 and event_ids(body) == [1, 2, 3, 4, 5], body
    platform.llm[0].mode = "cut-short"
    for number in range(6):
        status, body, _ = gateway.stream(attempt="u%d" % number)
        assert status == 200 and event_ids(body) == [1, 2, 3, 4, 5], body
    # Without another runner the answer must not look complete.
    platform.llm[1].mode = "cut-short"
    try:
        body = gateway.stream(attempt="short")[1]
    except http.client.IncompleteRead:
        return
    raise AssertionError("a broken stream looks complete: %r" % body)


def never_runs_twice(platform):
    gateway = platform.gateway("once")
    for runner in platform.desk:
        runner.mode = "lose"
    status, _, _ = gateway.call("POST", "/u/x", body=b"book")
    assert status == 502, status
    assert len(platform.runs(platform.desk)) == 1
    for runner in platform.desk:
        runner.mode = "refuse"
    status, _, headers = gateway.call("POST", "/u/x", body=b"book")
    assert status == 503 and float(headers["Retry-After"]) > 0, headers
    assert len(platform.runs(platform.desk)) == 1


def earlier_refusal_is_not_taken_for_a_later_one(platform):
    """Guards against a runner that writes an earlier refusal once more: the call
    was reported as not run, or run again, while that runner ran it."""
    gateway = platform.gateway("refusal")
    for runner in platform.desk:
        runner.mode = "refuse-again"
    for number in range(6):
        before = len(platform.runs(platform.desk))
        status, _, _ = gateway.call("POST", "/u/x", attempt="r%d" % number,
                                    body=b"book %d" % number)
        time.sleep(0.1)
        runs = len(platform.runs(platform.desk)) - before
        assert runs <= 1, "%d runs of one call" % runs
        assert status != 503 or runs == 0, "refused, but run"


def retries_safe_calls_elsewhere(platform):
    gateway = platform.gateway("elsewhere")
    for mode in ("lose", "refuse", "fail"):
        for faulty_runner in platform.desk:
            for runner in platform.desk:
                runner.mode = "serve"
            faulty_runner.mode = mode
            status, body, _ = gateway.call("GET", "/g/" + mode)
            assert status == 200 and body.startswith(b"ran"), (mode, status)
    for runner in platform.desk:
        runner.mode = "stray"
    status, body, _ = gateway.call("GET", "/g/stray")
    assert status == 200 and body.startswith(b"ran"), body


def drains_runners_and_zones(platform):
    gateway = platform.gateway("leaves")
    platform.desk[0].register("draining")
    time.sleep(1.0)
    before = len(platform.desk[0].runs)
    for number in range(10):
        assert gateway.call("GET", "/g/%d" % number)[0] == 200
    assert len(platform.desk[0].runs) == before
    platform.store.put("op/evacuate/z1", {})
    time.sleep(1.0)
    status, _, headers = gateway.call("GET", "/g/x")
    assert status == 503 and "Retry-After" in headers
    platform.store.delete("op/evacuate/z1")
    wait_until(lambda: gateway.call("GET", "/g/x")[0] == 200, what="return")


def odd_address(address):
    """An entry of a runner that is valid but for its address."""
    return (b'{"service":"desk","address":"%s","zone":"z1","version":"v1",'
            b'"slots":8,"state":"ready","coldRemainingMs":0,"sequence":1}' %
            address)


ODD_ENTRIES = {
    "deep": b"[" * 200000 + b"]" * 200000,
    "deep-object": b'{"service":' * 100000 + b"1" + b"}" * 100000,
    "unclosed": b"[" * 300000,
    "large": b'{"service":"llm","address":"127.0.0.1:9","zone":"z1","version":"v1",'
             b'"slots":1e999,"state":"ready","coldRemainingMs":9e99,"born":%s}'
             % (b"9" * 400),
    "larger": b'{"service":"llm","address":"127.0.0.1:9","zone":"z1",'
              b'"version":"v1","slots":99999999999999999999,"state":"ready",'
              b'"coldRemainingMs":-9223372036854775808,"born":-1,'
              b'"sequence":1e400}',
    "slots": b'{"service":"llm","address":"127.0.0.1:9","zone":"z1",'
             b'"version":"v1","slots":-5,"state":"draining",'
             b'"coldRemainingMs":1e308,"born":1.5}',
    "port": odd_address(b"127.0.0.1:70000"),
    "port-negative": odd_address(b"127.0.0.1:-1"),
    "port-long": odd_address(b"127.0.0.1:" + b"9" * 5000),
    "address": odd_address(b"999.0.0.1:80"),
    "address-v6": odd_address(b"[::1]:80"),
    "types": b'{"service":["llm"],"address":{"a":1},"zone":null,"version":7,'
             b'"slots":"8","state":1,"coldRemainingMs":[]}',
    "no-text": bytes(range(128, 256)) * 10,
}


def odd_entries_of_other_writers_change_nothing(platform):
    """Guards against an entry of another writer that ends the process or stops it
    from following the store: very deeply nested, with a number too large or with
    a port out of range."""
    gateway = platform.gateway("odd")
    for prefix in ("servers/", "op/rollout/", "op/evacuate/", "op/other/",
                   "entry/rollout/", "status/rollout/"):
        for name, value in ODD_ENTRIES.items():
            platform.store.put(prefix + name, value)
    platform.store.put("op/rollout/llm", ODD_ENTRIES["deep"])
    platform.store.put("entry/rollout/llm", ODD_ENTRIES["large"])
    platform.store.put("op/config", ODD_ENTRIES["deep-object"])

    def serves(host):
        for number in range(8):
            assert host.call("GET", "/g/%d" % number)[0] == 200
            assert host.stream(attempt="odd-%d" % number)[0] == 200
    time.sleep(1)
    serves(gateway)
    platform.store.delete("op/config")
    changed = copy.deepcopy(CONFIGURATION)
    changed["version"] = 9
    changed["tenants"][0]["apiKeys"] = ["k1"]
    platform.store.put("op/config", changed)
    wait_until(lambda: gateway.call("GET", "/g/x", key="k2")[0] == 401, 3,
               "the gateway to follow the store")
    wait_until(lambda: gateway.read_log().count("expected IP:PORT") >= 5,
               what="the odd addresses to be refused for what they are")
    # One that starts now reads them all in its first list.
    serves(platform.gateway("odd-new"))
    assert gateway.process.poll() is None
    serves(gateway)


def keeps_serving_without_the_store(platform):
    gateway = platform.gateway("outage")
    platform.store.down = True
    time.sleep(2)
    assert gateway.is_ready() and gateway.call("GET", "/g/x")[0] == 200
    # Runner entries whose leases ended during the outage are registered again
    # shortly after it.
    for runner in platform.desk:
        platform.store.delete("servers/" + runner.name)
    platform.store.down = False
    end = time.monotonic() + 1.5
    while time.monotonic() < end:
        assert gateway.call("GET", "/g/x")[0] == 200
        time.sleep(0.05)
    for runner in platform.desk:
        runner.register()
    time.sleep(2)
    assert gateway.call("GET", "/g/x")[0] == 200


def finds_a_store_that_went_silent(platform):
    """Guards against a store connection that goes silent: a watch without a
    response hid a revoked key for longer than the 3 s after which the platform
    counts a gateway as disconnected (soak seed 74)."""
    proxy = FaultProxy(platform.store.loop, platform.store.address)
    gateway = platform.gateway("silent", store=proxy)
    time.sleep(0.4)
    proxy.set_mode("silent")
    time.sleep(0.1)
    proxy.set_mode("pass")
    changed = copy.deepcopy(CONFIGURATION)
    changed["version"] = 9
    changed["tenants"][0]["apiKeys"] = ["k2"]
    platform.store.put("op/config", changed)
    wait_until(lambda: gateway.call("GET", "/g/x", key="k1")[0] == 401, 3,
               "the key to be refused")


def learns_from_peers(platform):
    peer_port, datagram_port = free_port(), free_port()
    seeds = ["127.0.0.2:%d" % peer_port, "127.0.0.3:%d" % peer_port]
    cut_off_gateway = platform.gateway(
        "shut-out", address="127.0.0.2", seeds=seeds,
        peer_port=peer_port, datagram_port=datagram_port)
    platform.gateway("in-touch", address="127.0.0.3", seeds=seeds,
                     peer_port=peer_port, datagram_port=datagram_port)
    # The store refuses the requests of the first gateway only.
    folder = "/proc/%d/fd/" % cut_off_gateway.process.pid

    def is_from_cut_off_gateway(port):
        sockets = {os.readlink(folder + entry) for entry in os.listdir(folder)}
        with open("/proc/net/tcp", encoding="utf-8") as table:
            rows = [line.split() for line in table]
        return any(row[1].endswith(":%04X" % port) and
                   "socket:[%s]" % row[9] in sockets for row in rows)
    platform.store.refuses_port = is_from_cut_off_gateway
    time.sleep(3.2)
    changed = copy.deepcopy(CONFIGURATION)
    changed["version"] = 9
    changed["tenants"][0]["apiKeys"] = ["k2"]
    platform.store.put("op/config", changed)
    wait_until(lambda: cut_off_gateway.call("GET", "/g/x", key="k1")[0] == 401,
               3, "the key to be refused")
    assert cut_off_gateway.call("GET", "/g/x", key="k2")[0] == 200


def unanswered_watcher_learns_from_peers(platform):
    """The configuration is too long for a datagram."""
    peer_port, datagram_port = free_port(), free_port()
    options = {"seeds": ["127.0.0.2:%d" % peer_port,
                         "127.0.0.3:%d" % peer_port],
               "peer_port": peer_port, "datagram_port": datagram_port,
               "bounds": {"configApplyMs": 3000, "drainMs": 3000}}
    proxy = FaultProxy(platform.store.loop, platform.store.address)
    unanswered = platform.gateway(
        "unanswered", store=proxy, address="127.0.0.2", **options)
    platform.gateway("answered", address="127.0.0.3", **options)
    time.sleep(1)
    proxy.set_mode("silent")
    changed = copy.deepcopy(CONFIGURATION)
    changed["version"] = 9
    changed["tenants"][0]["apiKeys"] = ["k2"]
    changed["routeTable"] += [
        dict(changed["routeTable"][0], name="idle-%d" % i, prefix="/idle%d/" % i)
        for i in range(100)]
    platform.store.put("op/config", changed)
    wait_until(lambda: unanswered.call("GET", "/g/x", key="k1")[0] == 401, 3,
               "the key to be refused")


def starts_with_the_current_configuration(platform):
    """Guards against a first read that is some seconds old: a key that was taken
    away just before the start was served until the next configuration (large
    scale-1 and scale-2: CONFIG)."""
    platform.store.stale_items = dict(platform.store.items)
    changed = copy.deepcopy(CONFIGURATION)
    changed["version"] = 9
    changed["tenants"][0]["apiKeys"] = ["k2"]
    platform.store.put("op/config", changed)
    gateway = platform.gateway("restarted")
    status = gateway.call("GET", "/g/x", key="k1")[0]
    assert status == 401, status


def zone_follows_two_watchers(platform):
    """Guards against calls to the store that grow with the hosts of a zone, and
    against a host that misses a change because both hosts that watch for it were
    killed: the key that was taken away must be refused within the bound."""
    peer_port, datagram_port = free_port(), free_port()
    addresses = ["127.0.0.%d" % number for number in range(11, 17)]
    bound_s = 3
    gateways = [platform.gateway(
        "follows-" + address, address=address,
        seeds=["%s:%d" % (seed, peer_port) for seed in addresses[:3]],
        peer_port=peer_port, datagram_port=datagram_port,
        bounds={"configApplyMs": 1000 * bound_s, "drainMs": 1000 * bound_s})
                for address in addresses]

    def watching(gateway):
        lines = [line for line in gateway.read_log().splitlines()
                 if "watch-duty-changed" in line]
        return not lines or "watching=true" in lines[-1]

    def watchers():
        return [gateway for gateway in gateways if watching(gateway)]
    wait_until(lambda: len(watchers()) == 2, what="two watchers")
    time.sleep(2)
    calls_before = platform.store.calls
    time.sleep(4)
    calls = platform.store.calls - calls_before
    assert calls <= 2 * 4, "%d calls of two watchers in 4 s" % calls

    def revoke(version, keys, hosts, what):
        changed = copy.deepcopy(CONFIGURATION)
        changed["version"] = version
        changed["tenants"][0]["apiKeys"] = keys
        platform.store.put("op/config", changed)
        end = time.monotonic() + bound_s
        for gateway in hosts:
            wait_until(
                lambda host=gateway: host.call("GET", "/g/x", key="k1")[0]
                == 401, max(0.1, end - time.monotonic()), what)
    revoke(5, ["k2"], gateways, "the followers to refuse the key")
    revoke(6, ["k1", "k2"], [], "")
    wait_until(lambda: gateways[0].call("GET", "/g/x")[0] == 200,
               what="the key to return")
    # Without its history the store sends the watchers whole lists. Followers
    # must not fetch the whole copy each: twenty of them overload a watcher's
    # link (large scale-1: CONFIG).
    platform.store.compacts = True
    for version, keys in ((7, ["k2"]), (8, ["k1", "k2"]), (9, ["k2"])):
        revoke(version, keys, gateways if "k1" not in keys else [],
               "the followers to refuse the key without the history")
        time.sleep(0.4)
    platform.store.compacts = False
    full_pulls = [line for gateway in gateways
                  for line in gateway.read_log().splitlines()
                  if "peer-pulled" in line and "full=true" in line]
    assert not full_pulls, full_pulls
    revoke(10, ["k1", "k2"], [], "")
    wait_until(lambda: len(watchers()) == 2, what="two watchers again")
    dead = watchers()
    assert len(dead) == 2, dead
    for gateway in dead:
        gateway.stop()
    alive = [gateway for gateway in gateways if gateway not in dead]
    revoke(11, ["k2"], alive, "the key to be refused without the watchers")
    # A configuration that no datagram holds is fetched from a watcher.
    changed = copy.deepcopy(CONFIGURATION)
    changed["version"] = 12
    changed["routeTable"] += [
        dict(changed["routeTable"][2], name="r%d" % number,
             prefix="/r%d/" % number) for number in range(100)]
    platform.store.put("op/config", changed)
    for gateway in alive:
        wait_until(lambda host=gateway: host.call("GET", "/r99/x")[0] == 200,
                   bound_s, "the large configuration")


def completes_a_good_version(platform):
    gateway = platform.gateway("shift")
    new_runner = Runner(platform.store, "llm-new", "llm", version="v2")
    platform.store.put("op/rollout/llm",
                       {"service": "llm", "target": "v2", "durationS": 4})
    new_runner.register()
    states = []

    def is_completed():
        gateway.stream(attempt="a%d" % time.monotonic_ns())
        status = platform.store.value("status/rollout/llm")
        if status and (not states or states[-1] != status["state"]):
            states.append(status["state"])
        return states and states[-1] == "completed"
    wait_until(is_completed, 4, "the version to be completed")
    assert states == ["in_progress", "completed"], states
    for runner in platform.llm:
        platform.store.delete("servers/" + runner.name)
        runner.crash()
    time.sleep(0.6)
    assert gateway.stream()[0] == 200


def rolls_back_a_bad_version(platform):
    gateway = platform.gateway("bad")
    faulty_runner = Runner(platform.store, "llm-bad", "llm", version="v2")
    faulty_runner.mode = "fail"
    platform.store.put("op/rollout/llm",
                       {"service": "llm", "target": "v2", "durationS": 4})
    faulty_runner.register()

    def rolled_back():
        assert gateway.stream(attempt="b%d" % time.monotonic_ns())[0] == 200
        status = platform.store.value("status/rollout/llm")
        return status and status["state"] == "rolled_back"
    wait_until(rolled_back, 6, "the version to be rolled back")
    runs_before = len(faulty_runner.runs)
    for number in range(30):
        assert gateway.stream(attempt="c%d" % number)[0] == 200
    assert len(faulty_runner.runs) == runs_before


def stops_gracefully(platform):
    gateway = platform.gateway("stops")
    for runner in platform.llm:
        runner.event_interval_s = 0.3
    result = []
    thread = threading.Thread(target=lambda: result.append(gateway.stream()))
    thread.start()
    wait_until(lambda: platform.runs(platform.llm), what="a run")
    gateway.process.send_signal(signal.SIGTERM)
    wait_until(lambda: not gateway.is_ready(), 1, "readiness to end")
    # Requests that the platform still routes here are served.
    assert gateway.call("GET", "/g/x")[0] == 200
    thread.join()
    assert event_ids(result[0][1]) == [1, 2, 3, 4, 5], result
    assert gateway.process.wait(5) == 0


def log_never_blocks(platform):
    gateway = platform.gateway("log", reads_log=False)
    for number in range(1500):
        assert gateway.call("GET", "/g/%d" % number)[0] == 200
    assert gateway.is_ready()


def reload_during_the_start_ends_no_process(platform):
    """The settings come from a pipe, so that the start waits for them."""
    gateway = platform.gateway("reloaded")
    gateway.stop()
    with open(gateway.path, encoding="utf-8") as file:
        settings = file.read()
    os.remove(gateway.path)
    os.mkfifo(gateway.path)
    gateway.process = subprocess.Popen(
        [BINARY, "gateway"], stdout=subprocess.DEVNULL,
        env=dict(os.environ, SAVORYSTREAM_CONFIG=gateway.path))

    def is_waiting():
        with open("/proc/%d/stat" % gateway.process.pid,
                  encoding="utf-8") as file:
            return file.read().rsplit(")", 1)[1].split()[0] == "S"
    for _ in range(5):
        wait_until(is_waiting, what="the process to read its settings")
        time.sleep(0.05)
    gateway.process.send_signal(signal.SIGHUP)
    time.sleep(0.1)
    assert gateway.process.poll() is None, gateway.process.poll()
    with open(gateway.path, "w", encoding="utf-8") as pipe:
        # What the signal makes the process read again is a file.
        os.remove(gateway.path)
        with open(gateway.path, "w", encoding="utf-8") as file:
            file.write(settings)
        pipe.write(settings)
    wait_until(gateway.is_ready, what="the process to be ready")


def signals_during_the_end_do_not_change_the_exit(platform):
    """Guards against signals that end a process after its last handler is gone."""
    for number in (signal.SIGHUP, signal.SIGTERM):
        process = platform.gateway("ending-%d" % number).process
        process.terminate()
        while process.poll() is None:
            process.send_signal(number)
        assert process.returncode == 0, (number, process.returncode)


def check_option_reports_invalid_fields(_platform):
    path = os.path.join(FOLDER, "bad.json")
    with open(path, "w", encoding="utf-8") as file:
        file.write('{"nodeName": 5, "listen": {}, "platform": {}}')
    result = subprocess.run([BINARY, "gateway", "--check", path],
                            capture_output=True, text=True, check=False)
    assert result.returncode == 2 and "nodeName" in result.stderr, result
    assert "frontend" in result.stderr and "zone" in result.stderr, result


run_checks([
    serves_and_rejects, escalates_to_larger_model,
    paced_services_state_prefix_decisions, resumes_a_torn_stream,
    stream_without_framing_ends_with_its_connection, never_runs_twice, earlier_refusal_is_not_taken_for_a_later_one, retries_safe_calls_elsewhere, drains_runners_and_zones,
    odd_entries_of_other_writers_change_nothing, keeps_serving_without_the_store, finds_a_store_that_went_silent,
    learns_from_peers, unanswered_watcher_learns_from_peers, starts_with_the_current_configuration,
    zone_follows_two_watchers, completes_a_good_version,
    rolls_back_a_bad_version, stops_gracefully, log_never_blocks,
    check_option_reports_invalid_fields,
    reload_during_the_start_ends_no_process,
    signals_during_the_end_do_not_change_the_exit])
