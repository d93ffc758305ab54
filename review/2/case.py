"""A queue is removed and added again with another service; then the instances are restarted."""

import json
import os
import sys
import time
from pathlib import Path

sys.path.insert(0, str(Path(__file__).resolve().parents[1] / "standin"))
from fleet import TROUBLE, run_case  # noqa: E402

INSTANCES = ["front-1", "front-2", "front-3"]
CONTACT_S = 3.0
# With TROUBLE=0 and RESTARTS=1, the instances are restarted without the change before.
RESTARTS = os.environ.get("RESTARTS") == "1"


def case(fleet):
    fleet.start_store()
    for number in range(3):
        fleet.start_runner(f"q{number}", "taller-quotes", f"r{number}", 32000)
        fleet.start_runner(f"o{number}", "taller-orders", f"r{number}", 32000)
    for name in INSTANCES:
        fleet.start_instance(name)
    before = {"quotes": {"Service": "taller-quotes"}, "orders": {"Service": "taller-orders"}}
    fleet.configure(before)
    fleet.wait(lambda: all(fleet.ready(name) for name in INSTANCES), 20, "instances ready")
    time.sleep(3)
    # Five jobs that last, and five short ones that end at once.
    lasting = [f"{0xA000 + number:016x}" for number in range(5)]
    short = [f"{0xB000 + number:016x}" for number in range(5)]
    for job in lasting:
        fleet.submit(INSTANCES, "quotes", job, {
            "Spec": json.dumps({"ms": 600000, "cpu": 1000}),
            "Steps": [{"Count": 2, "Cpu": 1000, "MemMb": 64, "EstimateMs": 1000,
                       "LongRunning": True}]})
    for job in short:
        fleet.submit(INSTANCES, "quotes", job, short_job())
    accepted = time.time()
    time.sleep(1)
    if TROUBLE:
        fleet.configure({"orders": {"Service": "taller-orders"}})
        time.sleep(3)
        fleet.configure({"quotes": {"Service": "taller-orders"},
                         "orders": {"Service": "taller-orders"}})
    time.sleep(3)
    fleet.log("before the restarts")
    ask(fleet, lasting + short)
    if TROUBLE or RESTARTS:
        for name in INSTANCES:
            fleet.terminate(name)
            fleet.start_instance(name)
            fleet.wait(lambda name=name: fleet.ready(name), 15, f"{name} ready again")
            time.sleep(1.5)
    time.sleep(CONTACT_S + 5)
    fleet.log("after the restarts,", round(time.time() - accepted, 1),
              "s after the last acknowledgement")
    gone = ask(fleet, lasting + short)
    running = sum(row[2] == "start" and row[3][:16] in lasting for row in fleet.ledger())
    fleet.log("starts of tasks that last so far", running)
    if not gone:
        return ""
    again_twice(fleet, short)
    return f"LOST: {len(gone)} GETs for accepted jobs were answered 410, none of them cancelled"


def again_twice(fleet, jobs):
    """For the record only: a request that is sent again makes a second job of an ended one."""
    before = sum(row[2] == "start" and row[3][:16] in jobs for row in fleet.ledger())
    for job in jobs:
        fleet.submit(INSTANCES, "quotes", job, short_job())
    time.sleep(3)
    after = sum(row[2] == "start" and row[3][:16] in jobs for row in fleet.ledger())
    fleet.log("starts of the short jobs:", before, "; after their requests came again:", after)


def short_job():
    return {"Spec": json.dumps({"ms": 300, "cpu": 1000}),
            "Steps": [{"Count": 2, "Cpu": 1000, "MemMb": 64, "EstimateMs": 300}]}


def ask(fleet, jobs):
    """LOST: a GET for an accepted job that nobody has cancelled is answered 410."""
    gone = []
    for job in jobs:
        for name in INSTANCES:
            code, _ = fleet.ask(name, "GET", "quotes", job)
            if code == 410:
                gone.append((name, job))
    return gone


run_case(Path(__file__).resolve().parent, case)
