"""Plays the callers of test_resource_exhaustion.py at an entry.

Guards against a process that exceeds the memory of its machine, and against one
that answers nobody else afterwards. Agents take no requests of callers, but can be
reached at their admin port."""

import functools
import os
import sys
import time

import test_resource_exhaustion as callers
from fleet import Fleet, wait_until

# Of the machine, in the settings of the entry under test.
MEMORY_MB = 64


class Target:
    """What the callers need to know of a process and one of its ports."""

    def __init__(self, process, port):
        self.process = process.process
        self.address, port = port.split(":")
        self.frontend_port = int(port)


def play(fleet, name, make_parts, client=callers.Client, target=None):
    entry = fleet.entries[0]
    target = target or Target(entry, entry.listen)
    clients = [client(target, make_parts(number))
               for number in range(callers.CLIENTS)]
    while any(client.is_alive() for client in clients):
        time.sleep(0.05)
    callers.wait_until_read(target)
    peak_kib = callers.status_of(target, "VmHWM")
    print("  ", name, "%d KiB at most" % peak_kib, flush=True)
    assert target.process.poll() is None, name
    # The callers have still not closed their connections.
    wait_until(lambda: fleet.chat(entry)[0] == 200, name + ": a call", 30)
    for client in clients:
        client.connection.close()
    peak_kib = callers.status_of(target, "VmHWM")
    assert peak_kib <= MEMORY_MB * 1024, (name, peak_kib)


def mixture(number):
    return callers.KINDS[number % len(callers.KINDS)](number)


def play_returning(fleet, name, make_parts):
    play(fleet, name, lambda number: functools.partial(make_parts, number),
         callers.ReturningClient)


def play_at_agent(fleet, name, make_parts):
    agent = fleet.agents[0]
    play(fleet, name, make_parts, target=Target(agent, agent.admin))


def main():
    os.environ["SAVORY_MEMORY_MB"] = str(MEMORY_MB)
    os.environ["SAVORY_MAX_BODY_BYTES"] = str(callers.MAX_BODY_BYTES)
    failed = 0
    checks = [(kind.__name__, play, kind) for kind in callers.KINDS + [mixture]]
    checks += [("returning", play_returning, mixture),
               ("admin_of_agent", play_at_agent, mixture)]
    for name, check, kind in checks:
        with Fleet(sys.argv[1], engines=1, services=1, entries=1) as fleet:
            fleet.wait_ready()
            try:
                check(fleet, name, kind)
                print("ok", name, flush=True)
            except AssertionError as error:
                failed += 1
                print("FAILED", name, error, flush=True)
    sys.exit(1 if failed else 0)


if __name__ == "__main__":
    main()
