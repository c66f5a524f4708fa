"""Plays runners that state how fast they work, and whose slots are taken.

Guards against requests that are sent although their answers cannot end in time,
and against decisions by forecast where the runners state no pace."""

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


run_checks([refuses_what_cannot_end, serves_while_slots_are_free,
            unpaced_services_decide_as_before])
