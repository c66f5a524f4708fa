"""Guards against hosts that act on an old time to return after they were paused.
Apart from the other checks of test_runner_hints.py, so that KNOWN-RED.txt can
list it alone."""

from gateway_fixture import run_checks
from test_runner_hints import hosts_that_are_turned_away_stay_away

if __name__ == "__main__":
    run_checks([hosts_that_are_turned_away_stay_away])
