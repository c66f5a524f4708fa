"""Runs the hosts of an availability zone on a configuration of 2,500 routes that
changes several times a second.

Guards against a change that is in force late because the whole configuration
travels for each change, and against superseded versions that are transferred."""

import asyncio
import copy
import re
import time

from fleet_platform import CONFIGURATION, free_port
from gateway_fixture import run_checks, wait_until

BOUND_S = 3
ROUTES = 2500
# 10 Mbit/s, the link of the smallest hosts.
LINK_BYTES_PER_S = 10e6 / 8
# What a host may spend on control messages in a second (CONTRIBUTING.md), in
# which one change is due.
CHANGE_BYTES = 5000
HOSTS = ["127.0.0.%d" % number for number in range(21, 27)]


class StoreLink:
    """A host's link to the store: a TCP proxy whose connections share a rate."""

    def __init__(self, store):
        self.store_port = store.port
        self.loop = store.loop
        self.port = free_port()
        self.address = "127.0.0.1:%d" % self.port
        self.free_at = 0.0

        async def listen():
            return await asyncio.start_server(
                self._serve, "127.0.0.1", self.port)
        asyncio.run_coroutine_threadsafe(listen(), self.loop).result(5)

    async def _serve(self, reader, writer):
        store_reader, store_writer = await asyncio.open_connection(
            "127.0.0.1", self.store_port)
        await asyncio.gather(self._copy(reader, store_writer),
                             self._copy(store_reader, writer))

    async def _copy(self, reader, writer):
        try:
            while data := await reader.read(16384):
                now = self.loop.time()
                self.free_at = max(now, self.free_at) + \
                    len(data) / LINK_BYTES_PER_S
                await asyncio.sleep(self.free_at - now)
                writer.write(data)
                await writer.drain()
        except OSError:
            pass
        writer.close()


def make_configuration(version, change):
    """A configuration whose changes are spread over the document."""
    configuration = copy.deepcopy(CONFIGURATION)
    configuration["version"] = version
    template = configuration["routeTable"][2]
    configuration["routeTable"] += [
        dict(template, name="r%d" % number, prefix="/r%d/" % number,
             timeoutMs=2000 + (change if number % 1000 == 7 else 0))
        for number in range(ROUTES + change)]
    if change % 2:
        configuration["tenants"][0]["apiKeys"] = ["k2"]
    return configuration


def start_zone(platform, name):
    platform.store.put("op/config", make_configuration(1, 0))
    peer_port, datagram_port = free_port(), free_port()
    gateways = [platform.gateway(
        name + "-" + address, store=StoreLink(platform.store), address=address,
        seeds=["%s:%d" % (seed, peer_port) for seed in HOSTS[:3]],
        peer_port=peer_port, datagram_port=datagram_port,
        bounds={"configApplyMs": 1000 * BOUND_S, "drainMs": 1000 * BOUND_S})
        for address in HOSTS]

    def watchers():
        last = [re.findall("watch-duty-changed watching=(true|false)",
                           gateway.read_log()) for gateway in gateways]
        return sum(not duties or duties[-1] == "true" for duties in last)
    wait_until(lambda: watchers() == 2, what="two watchers")
    time.sleep(2)
    return gateways


def play_storm(platform, changes, gap_s):
    """Writes changes and returns the time of each version's acknowledgement."""
    written = {}
    documents = [make_configuration(10 + change, change)
                 for change in range(1, changes + 1)]
    for document in documents:
        platform.store.put("op/config", document)
        written[document["version"]] = time.time()
        time.sleep(gap_s)
    return written


def adoptions(gateway):
    return [(float(when), int(version)) for when, version in re.findall(
        r"(?m)^(\S+) \S+ E201 config-adopted version=(\d+)",
        gateway.read_log())]


def storm_of_a_large_configuration_is_in_force_in_time(platform):
    gateways = start_zone(platform, "storm")
    written = play_storm(platform, 12, 0.25)
    for gateway in gateways:
        wait_until(lambda host=gateway: adoptions(host)[-1][1] == max(written),
                   30, "the last version at " + gateway.address)
    late = []
    for gateway in gateways:
        for version, acknowledged in written.items():
            in_force = min(when for when, adopted in adoptions(gateway)
                           if adopted >= version)
            if in_force - acknowledged > BOUND_S:
                late.append((gateway.address, version,
                             round(in_force - acknowledged, 2)))
    assert not late, late


def change_of_a_large_configuration_costs_followers_little(platform):
    gateways = start_zone(platform, "cost")
    marks = [len(gateway.read_log()) for gateway in gateways]
    written = play_storm(platform, 6, 1.0)
    for gateway in gateways:
        wait_until(lambda host=gateway: adoptions(host)[-1][1] == max(written),
                   30, "the last version at " + gateway.address)
    fetched = [sum(int(size) for size in re.findall(
        "peer-pulled.* bytes=([0-9]+)", gateway.read_log()[mark:]))
        for gateway, mark in zip(gateways, marks)]
    assert max(fetched) <= CHANGE_BYTES * len(written), fetched


if __name__ == "__main__":
    run_checks([storm_of_a_large_configuration_is_in_force_in_time,
                change_of_a_large_configuration_costs_followers_little])
