"""Plays runners that state how fast they work, and whose slots are taken.

Guards against requests that are sent although their answers cannot end in time,
and against decisions by forecast where the runners state no pace."""

from fleet_platform import CONFIGURATION
from gateway_fixture import run_checks, wait_until

FULL, FREE, PACE = "8,4,8", "2,0,8", ",100"
# Answers before a pace is known, on either runner.
LEARNED = 8


def start(platform, load):
    """Starts a gateway that has learned a pace of 40 ms an event."""
    for runner in platform.llm:
        runner.event_interval_s = 0.04
        runner.extra_headers = [("Runner-Load", load)]
    gateway = platform.gateway("room")
    for number in range(LEARNED):
        status, _, _ = gateway.stream(attempt="learn-%d" % number,
                                      Length_Hint="5")
        assert status == 200, status
    return gateway


def ask_late(platform, gateway):
    """A request whose answer is estimated to take 200 events in a second."""
    before = len(platform.runs(platform.llm))
    status, _, headers = gateway.call(
        "POST", "/s/x", attempt="late", body=b"prompt", Model="*",
        Token_Usage="100,400", Prefix_Hash="a1:50,b2:50", Length_Hint="200",
        Deadline_Ms="1000")
    return status, headers, len(platform.runs(platform.llm)) - before


def refuses_what_cannot_end(platform):
    gateway = start(platform, FULL + PACE)
    # One of twenty such requests is sent to check the forecast.
    for _ in range(5):
        status, headers, runs = ask_late(platform, gateway)
        if status == 503:
            break
    assert (status, runs) == (503, 0), (status, runs)
    assert 0 < float(headers["Retry-After"]) <= 1 / 3, headers
    wait_until(lambda: "reason=cannot-end" in gateway.read_log(),
               what="the refusal is logged")
    assert gateway.stream(attempt="short", Length_Hint="5")[0] == 200


def retries_come_in_time_for_the_caller(platform):
    gateway = start(platform, FREE + PACE)
    for runner in platform.llm:
        runner.mode = "refuse"
    for number in range(5):
        status, _, headers = gateway.stream(attempt="retry-%d" % number,
                                            Deadline_Ms="600")
        assert status == 503, status
        assert 0 < float(headers["Retry-After"]) <= 0.2, headers


def serves_while_slots_are_free(platform):
    gateway = start(platform, FREE + PACE)
    for _ in range(5):
        status, _, runs = ask_late(platform, gateway)
        assert (status, runs) == (200, 1), (status, runs)


def unpaced_services_decide_as_before(platform):
    gateway = start(platform, FULL)
    for _ in range(5):
        status, _, runs = ask_late(platform, gateway)
        assert (status, runs) == (200, 1), (status, runs)
    for headers, _, _, _ in platform.runs(platform.llm):
        assert headers["request-priority"] == "0", headers


def runners_are_told_the_order(platform):
    tenants = [{"name": "urgent", "apiKeys": ["k1"], "priority": 0},
               {"name": "later", "apiKeys": ["k2"], "priority": 7},
               {"name": "usual", "apiKeys": ["k3"]}]
    platform.store.put("op/config",
                       dict(CONFIGURATION, version=2, tenants=tenants))
    gateway = start(platform, FREE + PACE)
    told = []
    for key in ("k1", "k3", "k2"):
        before = len(platform.runs(platform.llm))
        assert gateway.stream(attempt="order-" + key, key=key)[0] == 200
        runs = [run for run in platform.runs(platform.llm)
                if run[0]["attempt-id"] == "order-" + key]
        assert len(platform.runs(platform.llm)) == before + 1
        told.append(int(runs[0][0]["request-priority"]))
    # The route's priority is 1.
    assert told[0] < told[1] < told[2] <= 9, told


run_checks([refuses_what_cannot_end, retries_come_in_time_for_the_caller,
            serves_while_slots_are_free,
            unpaced_services_decide_as_before, runners_are_told_the_order])
