"""Runs gateways against a store that comes back from an older snapshot.

Guards against a revoked key that is served again, work for a zone that is
evacuated or for a runner that leaves, a configuration that reverts, a roll-out
that goes back, and a gateway that stays in the old epoch of the store."""

import copy
import re
import threading
import time

from fleet_platform import CONFIGURATION, Runner, Store, free_port
from gateway_fixture import run_checks, wait_until
from soak_faults import FaultProxy

BOUND_SECONDS = 3
HOLD_SECONDS = 10


def start_gateways(platform, name, stores=(None, None, None)):
    platform.store.epoch = 4
    peer_port, datagram_port = free_port(), free_port()
    addresses = ["127.0.0.%d" % (21 + number) for number in range(len(stores))]
    return [platform.gateway(
        "%s-%d" % (name, number), store=stores[number], address=address,
        seeds=["%s:%d" % (seed, peer_port) for seed in addresses],
        peer_port=peer_port, datagram_port=datagram_port)
        for number, address in enumerate(addresses)]


def configuration(version, keys):
    changed = copy.deepcopy(CONFIGURATION)
    changed["version"] = version
    changed["tenants"][0]["apiKeys"] = keys
    return changed


def write_others(store, count, name="other"):
    """Changes that move the store's revision on."""
    for number in range(count):
        store.put("op/other/%s-%d" % (name, number), {"n": number})


def status_of(gateway, key):
    return gateway.call("GET", "/g/x", key=key)[0]


def wait_for_epoch(gateways, epoch):
    for gateway in gateways:
        wait_until(lambda host=gateway: "store-restored epoch=%d " % epoch
                   in host.read_log(), BOUND_SECONDS, "epoch %d" % epoch)


class Checker:
    """Checks a condition all the while in a thread of its own."""

    def __init__(self, check):
        self.check = check
        self.error = None
        self.ended = False
        self.thread = threading.Thread(target=self._run)
        self.thread.start()

    def _run(self):
        while not self.ended and self.error is None:
            try:
                self.check()
            except Exception as error:
                self.error = error
            time.sleep(0.03)

    def end(self):
        self.ended = True
        self.thread.join()
        if self.error is not None:
            raise self.error


def revoked_key_stays_revoked(platform):
    """The newest configuration is lost twice in a row. The revisions of what the
    operator writes then are lower than those that the gateways knew."""
    gateways = start_gateways(platform, "revoked")
    store = platform.store
    snapshot = store.snapshot()
    write_others(store, 40)
    store.put("op/config", configuration(2, ["k2"]))
    for gateway in gateways:
        wait_until(lambda host=gateway: status_of(host, "k1") == 401,
                   BOUND_SECONDS, "the key to be refused")

    def check():
        for gateway in gateways:
            assert status_of(gateway, "k1") == 401, "the revoked key is served"
            assert status_of(gateway, "k2") == 200, "a valid key is refused"
    checker = Checker(check)
    store.restore(snapshot)
    wait_for_epoch(gateways, 5)
    time.sleep(0.5)
    store.restore(snapshot)
    wait_for_epoch(gateways, 6)
    store.put("op/config", configuration(2, ["k2"]))
    store.put("op/config", configuration(3, ["k2", "k3"]))
    for gateway in gateways:
        wait_until(lambda host=gateway: status_of(host, "k3") == 200,
                   BOUND_SECONDS, "the operator's new write")
    checker.end()


def stay_away(platform, name, order, take_back):
    """Runners of the gateways' own zone get no work while `order`, which the
    store loses and has again after 4 s, is not taken back."""
    gateways = start_gateways(platform, name)
    store = platform.store
    away = platform.desk
    other = Runner(store, "desk-other", "desk", zone="z2")
    other.register()
    for gateway in gateways:
        wait_until(lambda host=gateway: status_of(host, "k1") == 200 and
                   platform.runs(away), what="work for the zone")
    snapshot = store.snapshot()
    write_others(store, 6)
    order()
    time.sleep(BOUND_SECONDS)
    runs = len(platform.runs(away))

    def check():
        for gateway in gateways:
            assert status_of(gateway, "k1") == 200
        assert len(platform.runs(away)) == runs, "work goes there"
    checker = Checker(check)
    store.restore(snapshot)
    # The store gives out the lost revisions again.
    for number in range(8):
        write_others(store, 3, "again-%d" % number)
        time.sleep(0.5)
    order()
    wait_for_epoch(gateways, 5)
    time.sleep(HOLD_SECONDS - 3)
    checker.end()
    take_back()

    def is_back():
        return [status_of(gateway, "k1") for gateway in gateways] and (
            len(platform.runs(away)) > runs)
    wait_until(is_back, BOUND_SECONDS, "their return")


def evacuated_zone_gets_no_work(platform):
    stay_away(platform, "evacuated",
              lambda: platform.store.put("op/evacuate/z1", {}),
              lambda: platform.store.delete("op/evacuate/z1"))


def leaving_runners_get_no_work(platform):
    def register(state):
        for runner in platform.desk:
            runner.register(state)
    stay_away(platform, "leaving", lambda: register("draining"),
              lambda: register("ready"))


def stored_progress(store):
    return store.value("entry/rollout/llm") or {}


def shares_written(gateway, target):
    return [float(share) for share in re.findall(
        r"rollout-driven service=llm target=%s state=\S+ share=(\S+) .*"
        r"outcome=committed" % target, gateway.read_log())]


def rollout_goes_on_where_it_was(platform):
    """The order and all progress are lost; the operator writes the order again."""
    gateways = start_gateways(platform, "rollout")
    store = platform.store
    snapshot = store.snapshot()
    write_others(store, 20)
    runner = Runner(store, "llm-new", "llm", version="v2")
    runner.register()
    order = {"service": "llm", "target": "v2", "durationS": 14}
    store.put("op/rollout/llm", order)
    started = time.monotonic()

    def check():
        for number, gateway in enumerate(gateways):
            attempt = "r%d-%d" % (number, time.monotonic_ns())
            assert gateway.stream(attempt=attempt)[0] == 200
    checker = Checker(check)
    wait_until(lambda: stored_progress(store).get("share", 0) >= 0.3, 12,
               "the third stage")
    store.restore(snapshot)
    runner.register()
    wait_for_epoch(gateways, 5)
    wait_until(lambda: stored_progress(store).get("share", 0) >= 0.3,
               BOUND_SECONDS, "the progress to be written again")
    time.sleep(0.5)
    store.put("op/rollout/llm", order)
    wait_until(lambda: stored_progress(store).get("state") == "completed", 10,
               "the version to be completed")
    assert time.monotonic() - started < 14, "the order's time started anew"
    assert store.value("status/rollout/llm")["state"] == "completed"
    checker.end()
    for gateway in gateways:
        shares = shares_written(gateway, "v2")
        assert shares == sorted(shares), shares


def rolled_back_version_stays_so(platform):
    gateways = start_gateways(platform, "rolled-back")
    store = platform.store
    bad = Runner(store, "llm-bad", "llm", version="v2")
    bad.mode = "fail"
    order = {"service": "llm", "target": "v2", "durationS": 4}
    store.put("op/rollout/llm", order)
    bad.register()
    wait_until(lambda: stored_progress(store), what="the first progress")
    snapshot = store.snapshot()
    write_others(store, 20)

    def rolled_back():
        for number, gateway in enumerate(gateways):
            gateway.stream(attempt="b%d-%d" % (number, time.monotonic_ns()))
        return stored_progress(store).get("state") == "rolled-back"
    wait_until(rolled_back, 8, "the version to be rolled back")
    time.sleep(1)
    runs = len(bad.runs)
    store.restore(snapshot)
    wait_for_epoch(gateways, 5)
    end = time.monotonic() + 5
    while time.monotonic() < end:
        rolled_back()
    assert len(bad.runs) == runs, "%d runs" % (len(bad.runs) - runs)
    assert rolled_back(), stored_progress(store)
    assert store.value("status/rollout/llm")["state"] == "rolled_back"


def host_on_the_old_store_takes_the_new_epoch(platform):
    """One gateway still reaches the store as it was, whose revisions are higher;
    the others tell it of the new epoch."""
    proxy = FaultProxy(platform.store.loop, platform.store.address)
    gateways = start_gateways(platform, "late", (None, proxy, None))
    store = platform.store
    snapshot = store.snapshot()
    write_others(store, 40)
    store.put("op/config", configuration(2, ["k2"]))
    for gateway in gateways:
        wait_until(lambda host=gateway: status_of(host, "k1") == 401,
                   BOUND_SECONDS, "the key to be refused")
    old_store = Store()
    old_store.epoch = store.epoch
    old_store.revision, old_store.items, old_store.history = store.snapshot()
    proxy.target = old_store.address
    proxy.set_mode("reset")
    proxy.set_mode("pass")
    time.sleep(1)
    store.restore(snapshot)
    wait_for_epoch([gateways[0], gateways[2]], 5)
    wait_for_epoch([gateways[1]], 5)
    for _ in range(3):
        write_others(old_store, 5)
        time.sleep(0.3)
    store.put("op/config", configuration(3, ["k3"]))
    for gateway in gateways:
        wait_until(lambda host=gateway: status_of(host, "k3") == 200,
                   BOUND_SECONDS, "the operator's new write")
        assert status_of(gateway, "k1") == 401


if __name__ == "__main__":
    run_checks([revoked_key_stays_revoked,
                evacuated_zone_gets_no_work, leaving_runners_get_no_work,
                rollout_goes_on_where_it_was, rolled_back_version_stays_so,
                host_on_the_old_store_takes_the_new_epoch])
