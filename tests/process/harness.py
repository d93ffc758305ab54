"""Helpers of the process tests: the fleet module, the check of orders and the test runner."""

import os
import sys
import traceback
from pathlib import Path

sys.path.insert(0, str(Path(__file__).resolve().parents[2] / "tools"))

from fleet import ROOT, Fleet, fetch, free_ports, wait_until  # noqa: E402,F401

BUILD = os.environ.get("WIGEONLANE_BUILD", "build")
# Multiplies the duration of the load, for longer manual runs.
LOAD_TIMES = int(os.environ.get("WIGEONLANE_LOAD_TIMES", "1"))
ORDER_VIOLATIONS = ("doubled", "lost", "ran_but_told_not_run", "wrong_answers", "cut_off")


def check_orders(report, min_ran):
    """Requires that no guarantee on orders was violated and that `min_ran` requests or more ran."""
    orders = report["orders"]
    assert orders["audited"], "the ledger of at least one runner could not be read"
    violations = {name: orders[name] for name in ORDER_VIOLATIONS if orders[name]}
    assert not violations, f"violated guarantees: {violations}"
    ran = sum(stream["ran"] for stream in report["streams"])
    assert ran >= min_ran, f"only {ran} requests ran: {report}"


def run_all(module, make_fleet=Fleet):
    """Runs the test functions of a module, or those named on the command line; exits with 1 if one
    fails or none ran."""
    failed = 0
    passed = 0
    selected = sys.argv[1:]
    for name, function in list(vars(module).items()):
        if not name.startswith("test_") or (selected and name not in selected):
            continue
        try:
            with make_fleet(BUILD) as fleet:
                function(fleet)
            passed += 1
            print(f"passed {name}", flush=True)
        except Exception:  # noqa: BLE001  a failed test must not hide the others
            failed += 1
            print(f"FAILED {name} (logs in {fleet.directory})\n{traceback.format_exc()}",
                  flush=True)
    print(f"{passed} passed, {failed} failed")
    sys.exit(1 if failed or not passed else 0)
