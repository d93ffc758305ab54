"""Shared by the process tests: the fleet module and a runner for the test functions of a file."""

import os
import sys
import traceback
from pathlib import Path

sys.path.insert(0, str(Path(__file__).resolve().parents[2] / "tools"))

from fleet import ROOT, Fleet, fetch, free_ports, wait_until  # noqa: E402,F401

BUILD = os.environ.get("WIGEONLANE_BUILD", "build")
# Multiplies the load of the scenarios for runs by hand.
TIMES = int(os.environ.get("WIGEONLANE_LOAD_TIMES", "1"))
PROMISES = ("doubled", "lost", "ran_but_told_not_run", "wrong_answers", "cut_off")


def check_orders(report, least_ran):
    """Requires that every promise on orders was kept and that the load was not empty."""
    orders = report["orders"]
    assert orders["audited"], "a ledger could not be read"
    broken = {name: orders[name] for name in PROMISES if orders[name]}
    assert not broken, f"broken promises: {broken}"
    ran = sum(stream["ran"] for stream in report["streams"])
    assert ran >= least_ran, f"only {ran} requests ran: {report}"


def run_all(module, make_fleet=Fleet):
    """Runs every function whose name begins with test_; exits with 1 when one fails."""
    failed = 0
    passed = 0
    only = sys.argv[1:]
    for name, function in list(vars(module).items()):
        if not name.startswith("test_") or (only and name not in only):
            continue
        try:
            with make_fleet(BUILD) as fleet:
                function(fleet)
            passed += 1
            print(f"passed {name}", flush=True)
        except Exception:  # noqa: BLE001  one failing scenario must not hide the others
            failed += 1
            print(f"FAILED {name} (logs in {fleet.directory})\n{traceback.format_exc()}",
                  flush=True)
    print(f"{passed} passed, {failed} failed")
    sys.exit(1 if failed or not passed else 0)
