"""Guards against a zone that gets no requests after its return because the other
zones have capacity left."""

import time

from fleet import wait_until
from traffic import Traffic, now_ms, run_matrix, engine_runs


def zone_return(fleet):
    """Guards against a zone that is back in but gets no requests."""
    zone = fleet.zones[0]
    zone_engines = [agent.backend for agent in fleet.agents if agent.zone == zone]
    with Traffic(fleet):
        time.sleep(1)
        fleet.ctl("zone", "out", zone)
        time.sleep(4)
        for _ in range(2):
            fleet.ctl("zone", "in", zone)
        returned_ms = now_ms()
        wait_until(lambda: any(run["arrived_ms"] > returned_ms
                               for run in engine_runs(fleet, zone_engines)),
                   "the zone runs requests again", 30)


if __name__ == "__main__":
    run_matrix([({}, [zone_return])])
