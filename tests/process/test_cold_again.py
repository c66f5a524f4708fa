"""Guards against crashes of a backend server that restarts unannounced. Apart from
the other cells of test_models.py, so that KNOWN-RED.txt can list it alone."""

from test_models import COLD, cold_again, cold_fleet
from traffic import run_matrix

if __name__ == "__main__":
    run_matrix([(COLD, [cold_fleet, cold_again])])
