"""Plays runners that say in their answers that they leave, or for how long they
want no requests.

Guards against requests to such a runner while the store, a peer or an older
report still calls it ready, and against hosts that act on an old time after they
were paused."""

import signal
import threading
import time

from fleet_platform import Runner, free_port
from gateway_fixture import run_checks, wait_until

LEAVING = [("Server-Leaving", "1")]
# How long a host may still send to a runner after it has read the notice; the
# platform's drainMs is longer.
NOTICE_SECONDS = 0.1
# Requests that were on their way when the runner turned one away.
TRANSIT_SECONDS = 0.5
MAX_ARRIVALS = 2


class Load:
    """A caller that calls one gateway again and again until stopped."""

    def __init__(self, gateway, interval_s=0.01):
        self.gateway = gateway
        self.interval_s = interval_s
        # Time, status and headers of each answer.
        self.answers = []
        self.stopped = False
        self.thread = threading.Thread(target=self._run)
        self.thread.start()

    def _run(self):
        number = 0
        while not self.stopped:
            number += 1
            try:
                sent = time.monotonic()
                status, _, headers = self.gateway.call(
                    "GET", "/g/%d" % number,
                    attempt="%s-%d" % (self.gateway.address, number))
                self.answers.append((sent, time.monotonic(), status, headers))
            except OSError:
                pass
            time.sleep(self.interval_s)

    def stop(self):
        self.stopped = True
        self.thread.join()


def fleet(platform, count):
    peer_port, datagram_port = free_port(), free_port()
    addresses = ["127.0.0.%d" % (41 + number) for number in range(count)]
    seeds = ["%s:%d" % (address, peer_port) for address in addresses]
    return [platform.gateway("hints-" + address, address=address, seeds=seeds,
                             peer_port=peer_port, datagram_port=datagram_port)
            for address in addresses]


def arrivals_since(runner, moment, until=float("inf")):
    return [when for when, _ in runner.arrivals if moment < when < until]


def leaving_runner_gets_no_requests_without_the_store(platform):
    gateway = platform.gateway("leaves")
    leaving, other = platform.desk
    assert gateway.call("GET", "/g/x")[0] == 200
    platform.store.down = True
    leaving.extra_headers = LEAVING
    # The stream's head and a refusal tell as well as a success.
    platform.llm[0].extra_headers = LEAVING
    wait_until(lambda: leaving.arrivals and platform.llm[0].arrivals or
               not gateway.call("GET", "/g/x") or not gateway.stream(),
               what="an answer of each leaving runner")
    time.sleep(NOTICE_SECONDS)
    since = time.monotonic()
    for number in range(20):
        assert gateway.call("GET", "/g/%d" % number)[0] == 200
        assert gateway.stream(attempt="s%d" % number)[0] == 200
    assert not arrivals_since(leaving, since)
    assert not arrivals_since(platform.llm[0], since)
    platform.store.down = False
    # The store, back again, still calls it ready, and repeats its entry.
    time.sleep(1.2)
    leaving.register()
    platform.store.delete("servers/" + platform.llm[0].name)
    time.sleep(0.6)
    platform.llm[0].register()
    time.sleep(0.6)
    since = time.monotonic()
    for number in range(20):
        assert gateway.call("GET", "/g/%d" % number)[0] == 200
        assert gateway.stream(attempt="t%d" % number)[0] == 200
    assert not arrivals_since(leaving, since)
    assert not arrivals_since(platform.llm[0], since)
    # A new process under the same id and address is used.
    leaving.extra_headers = []
    leaving.born += 1
    leaving.register()
    platform.store.delete("servers/" + other.name)
    wait_until(lambda: gateway.call("GET", "/g/x")[0] == 200 and
               arrivals_since(leaving, since), what="the new process to serve")
    log = gateway.read_log()
    assert log.count("drain-announced") == 2, log
    wait_until(lambda: "drain-ended runner=" + leaving.name in
               gateway.read_log(), what="the end of the notice in the log")
    assert other.arrivals


def refused_when_all_runners_leave(platform):
    gateway = platform.gateway("all-leave")
    for runner in platform.desk:
        runner.extra_headers = LEAVING
    wait_until(lambda: gateway.call("GET", "/g/x") and
               all(runner.arrivals for runner in platform.desk),
               what="an answer of both")
    time.sleep(NOTICE_SECONDS)
    since = time.monotonic()
    status, _, headers = gateway.call("GET", "/g/x")
    assert status == 503 and float(headers["Retry-After"]) > 0, status
    assert time.monotonic() - since < 0.1, "not refused at once"
    assert not any(arrivals_since(runner, since) for runner in platform.desk)


def answer_of_another_process_says_nothing(platform):
    """The address belongs to another runner by now, which answers 421 and leaves;
    and an answer to an earlier request comes once more."""
    taken, stray = platform.desk
    platform.store.delete("servers/" + stray.name)
    gateway = platform.gateway("other")
    real_name, taken.name = taken.name, "someone-else"
    taken.extra_headers = LEAVING
    assert gateway.call("GET", "/g/x")[0] == 503
    taken.name = real_name
    taken.extra_headers = [("Server-Leaving", "yes")]
    wait_until(lambda: gateway.call("GET", "/g/x")[0] == 200,
               what="the runner to serve")
    stray.mode = "stray"
    stray.stray_headers = LEAVING
    stray.register()
    platform.store.delete("servers/" + taken.name)
    wait_until(lambda: gateway.call("GET", "/g/x")[0] == 200 and stray.runs,
               what="the other runner to serve")
    assert gateway.call("GET", "/g/x")[0] == 200
    assert "drain-announced" not in gateway.read_log()
    wait_until(lambda: gateway.read_log().count("answer-header-ignored") == 1,
               what="one line on the odd value")


def hosts_that_are_turned_away_stay_away(platform):
    """Three hosts at once; one is paused across the end, and the runner starts
    again in the midst of a second time."""
    gateways = fleet(platform, 3)
    busy, other = platform.desk
    # Placement prefers the runner that turns hosts away whenever it may.
    other.answer_delay_s = 0.03
    loads = [Load(gateway) for gateway in gateways]
    try:
        time.sleep(0.5)
        end = time.monotonic() + 2
        busy.turns_away_until = end
        started = time.monotonic()
        time.sleep(1)
        gateways[0].process.send_signal(signal.SIGSTOP)
        # Shorter than the timeout of the route: no call may fail.
        time.sleep(1.5)
        gateways[0].process.send_signal(signal.SIGCONT)
        time.sleep(2)
        for gateway in gateways:
            kept = [when for when, attempt in busy.arrivals
                    if attempt.startswith(gateway.address + "-") and
                    started + TRANSIT_SECONDS < when < end]
            assert len(kept) <= MAX_ARRIVALS, (gateway.address, len(kept))
        returned = {attempt.split("-")[0] for when, attempt in busy.arrivals
                    if when > end}
        assert len(returned) == 3, returned
        # They come back in steps.
        first = sum(end < when < end + 0.3 for when, _ in busy.arrivals)
        last = len(arrivals_since(busy, time.monotonic() - 0.3))
        assert first < last, (first, last)
        answers = [answer for load in loads for answer in load.answers]
        assert all(status == 200 for _, _, status, _ in answers), answers
        # A new process of the runner wants work at once, when the other one
        # wants none.
        busy.turns_away_until = time.monotonic() + 30
        time.sleep(1)
        busy.turns_away_until = 0
        busy.born += 1
        busy.register()
        other.turns_away_until = time.monotonic() + 30
        since = time.monotonic()
        wait_until(lambda: len(arrivals_since(busy, since)) > 3, 2,
                   "the new process to serve")
    finally:
        gateways[0].process.send_signal(signal.SIGCONT)
        for load in loads:
            load.stop()
    for gateway in gateways:
        log = gateway.read_log()
        assert "backpressure-begun" in log and "backpressure-ended" in log


def told_at_once_when_all_runners_turn_requests_away(platform):
    gateway = platform.gateway("all-away")
    assert gateway.call("GET", "/g/x")[0] == 200
    ends = [time.monotonic() + 3, time.monotonic() + 5]
    for runner, end in zip(platform.desk, ends):
        runner.turns_away_until = end
    gateway.call("GET", "/g/x")
    wait_until(lambda: "savory_gateway_runners_backed_off 2" in
               gateway.get_admin("/metrics")[1], what="the metric")
    since = time.monotonic()
    status, _, headers = gateway.call("GET", "/g/x")
    assert status == 503, status
    assert time.monotonic() - since < 0.1, "not refused at once"
    # The first that wants work, and at most a second of spread after it.
    wait = float(headers["Retry-After"])
    assert 0 <= since + wait - ends[0] <= 1.1, (wait, ends[0] - since)
    time.sleep(wait)
    status = gateway.call("GET", "/g/x")[0]
    assert status == 200, (status, wait)


if __name__ == "__main__":
    run_checks([leaving_runner_gets_no_requests_without_the_store,
                refused_when_all_runners_leave,
                answer_of_another_process_says_nothing,
                hosts_that_are_turned_away_stay_away,
                told_at_once_when_all_runners_turn_requests_away])
