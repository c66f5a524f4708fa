"""Runs gateways with the duty of the usage report between stand-ins.

Guards against windows that are reported never, late, with counts that lack a
host's requests, or twice with different counts, and against two holders."""

import signal
import time

from fleet_platform import CloudApi, free_port
from gateway_fixture import run_checks, wait_until

WINDOW_S = 2
DUE_S = 6


def start_gateways(platform, cloud, numbers, offset):
    peer_port, datagram_port = free_port(), free_port()
    addresses = ["127.0.0.%d" % (offset + number) for number in numbers]
    seeds = ["%s:%d" % (address, peer_port) for address in addresses]
    return [platform.gateway(
        "usage-" + address, address=address, seeds=seeds,
        peer_port=peer_port, datagram_port=datagram_port,
        bounds={"reportWindowS": WINDOW_S, "usageLateS": DUE_S},
        extra={"zone": "z2" if address == addresses[-1] else "z1",
               "cloudApi": {"address": cloud.address, "ratePerS": 50,
                            "dutyPerS": 10,
                            "duties": ["usage_report", "odd"]}})
            for address in addresses]


def check_reports(reports):
    """Returns the counts by window; checks that repeats have equal counts."""
    windows = {}
    for window, counts, _, _, _ in reports:
        assert windows.setdefault(window, counts) == counts, (window, reports)
    first, last = min(windows), max(windows)
    assert sorted(windows) == list(range(first, last + 1)), sorted(windows)
    return windows


def total(windows):
    return sum(sum(counts.values()) for counts in windows.values())


def holder_of(cloud, gateways):
    name = cloud.reports[-1][2]
    return next(gateway for gateway in gateways if name in gateway.path)


def call_all(gateways, rounds):
    """Calls each gateway; returns the number of requests that ran."""
    ran = 0
    for number in range(rounds):
        for gateway in gateways:
            ran += gateway.call("GET", "/g/%d" % number)[0] == 200
            ran += gateway.stream(attempt="s%d" % number)[0] == 200
            time.sleep(0.02)
    return ran


def each_window_is_reported_once(platform):
    """Requests at all hosts of two zones, refused ones and ones whose answer was dropped for a
    larger model are counted once or not at all, and reports are in time."""
    cloud = CloudApi()
    gateways = start_gateways(platform, cloud, range(3), 81)
    for runner in platform.llm:
        runner.confidence = 5
    for runner in platform.desk:
        runner.mode = "refuse"
    for gateway in gateways:
        assert gateway.call("GET", "/g/refused")[0] == 503
    platform.desk[1].mode = "serve"
    ran = call_all(gateways, 20)
    end = time.time()
    wait_until(lambda: cloud.reports and
               cloud.reports[-1][0] > end // WINDOW_S, 25, "the reports")
    windows = check_reports(cloud.reports)
    assert ran > 100 and total(windows) == ran, (ran, windows)
    assert all(set(counts) <= {"t1"} for counts in windows.values()), windows
    assert len(windows) == len(cloud.reports), cloud.reports
    assert len({report[2] for report in cloud.reports}) == 1, cloud.reports
    for window, _, _, _, at in cloud.reports[4:]:
        assert at <= (window + 1) * WINDOW_S + DUE_S, (window, at)
    metrics = holder_of(cloud, gateways).get_admin("/metrics")[1]
    assert "savory_gateway_duty_holder 1" in metrics, metrics


def holder_is_killed(platform):
    """The next holder reports what the killed one sealed, with equal counts, and
    all later windows; a lost answer is repeated with equal counts."""
    cloud = CloudApi()
    gateways = start_gateways(platform, cloud, range(3), 91)
    ran = call_all(gateways, 10)
    wait_until(lambda: len(cloud.reports) > 1, 25, "reports")
    cloud.mode = "lose"
    before = len(cloud.reports)
    wait_until(lambda: len(cloud.reports) > before, 10, "a repeat")
    holder = holder_of(cloud, gateways)
    holder.stop()
    cloud.mode = "serve"
    others = [gateway for gateway in gateways if gateway is not holder]
    # What a holder sealed is reported as it is, whatever the next one counted.
    sealed = int(time.time()) // WINDOW_S
    platform.store.put("entry/usage/sealed/%d" % (sealed % 64),
                       {"window": sealed, "counts": {"t1": 777}})
    time.sleep(WINDOW_S)
    ran += call_all(others, 10)
    end = time.time()
    wait_until(lambda: cloud.reports[-1][0] > end // WINDOW_S, 25, "the reports")
    windows = check_reports(cloud.reports)
    assert windows[sealed] == {"t1": 777}, windows
    assert total(windows) == ran + 777, (ran, windows)
    assert len({report[2] for report in cloud.reports}) == 2, cloud.reports
    tokens = [report[3] for report in cloud.reports]
    assert tokens == sorted(tokens), tokens


def holder_stops(platform):
    """A holder that stops ends its lease at once, and its counts are kept."""
    cloud = CloudApi()
    gateways = start_gateways(platform, cloud, range(2), 101)
    wait_until(lambda: len(cloud.reports) > 0, 25, "a report")
    holder = holder_of(cloud, gateways)
    ran = call_all(gateways, 10)
    holder.process.send_signal(signal.SIGTERM)
    wait_until(lambda: "entry/duty/usage_report" not in platform.store.items or
               "duty-lost" in holder.read_log(), 1, "the end of the lease")
    assert holder.process.wait(6) == 0
    end = time.time()
    wait_until(lambda: cloud.reports[-1][0] > end // WINDOW_S, 25, "the reports")
    windows = check_reports(cloud.reports)
    assert total(windows) == ran, (ran, windows)
    assert len({report[2] for report in cloud.reports}) == 2, cloud.reports


def suspended_holder_does_not_act(platform):
    """A holder that was suspended past the end of its lease sends nothing with
    its token."""
    cloud = CloudApi()
    gateways = start_gateways(platform, cloud, range(3), 111)
    wait_until(lambda: len(cloud.reports) > 0, 25, "a report")
    holder = holder_of(cloud, gateways)
    name, token = cloud.reports[-1][2:4]
    holder.process.send_signal(signal.SIGSTOP)
    wait_until(lambda: cloud.reports[-1][2] != name, 25, "the next holder")
    holder.process.send_signal(signal.SIGCONT)
    before = len(cloud.reports)
    wait_until(lambda: len(cloud.reports) > before + 1, 10, "more reports")
    assert cloud.fenced == 0, "the suspended holder acted"
    assert all(report[3] > token for report in cloud.reports[before:])
    check_reports(cloud.reports)


def cloud_interface_is_out_of_reach(platform):
    """Another host reports where the cloud interface does not answer the holder;
    while it refuses all calls, windows are kept, and reported afterwards."""
    cloud = CloudApi()
    gateways = start_gateways(platform, cloud, range(2), 121)
    ran = call_all(gateways, 5)
    wait_until(lambda: len(cloud.reports) > 0, 25, "a report")
    cloud.unanswered_holder = cloud.reports[-1][2]
    ran += call_all(gateways, 5)
    wait_until(lambda: cloud.reports[-1][2] != cloud.unanswered_holder, 25,
               "another holder")
    cloud.mode = "refuse"
    ran += call_all(gateways, 5)
    time.sleep(3 * WINDOW_S)
    cloud.mode = "serve"
    end = time.time()
    wait_until(lambda: cloud.reports[-1][0] > end // WINDOW_S, 25, "the reports")
    assert total(check_reports(cloud.reports)) == ran, (ran, cloud.reports)


if __name__ == "__main__":
    run_checks([each_window_is_reported_once, holder_is_killed, holder_stops,
                suspended_holder_does_not_act,
                cloud_interface_is_out_of_reach])
