"""Plays the callers with header sections of many short fields at an entry.

Guards against a process that exceeds the memory of its machine, and against one
that answers nobody else afterwards."""

import os
import sys

import test_resource_exhaustion as callers
import test_resource_exhaustion_entry as entry
import test_uncounted_bytes as uncounted
from fleet import Fleet


def main():
    os.environ["SAVORY_MEMORY_MB"] = str(entry.MEMORY_MB)
    os.environ["SAVORY_MAX_BODY_BYTES"] = str(callers.MAX_BODY_BYTES)
    callers.CLIENTS = uncounted.CLIENTS
    with Fleet(sys.argv[1], engines=1, services=1, entries=1) as fleet:
        fleet.wait_ready()
        entry.play(fleet, "many_fields", uncounted.many_fields)
    print("ok many_fields")


if __name__ == "__main__":
    main()
