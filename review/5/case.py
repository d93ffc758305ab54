"""The store turns one instance away while a queue is removed and added again with another service.
A request that was accepted elsewhere arrives there once more."""

import json
import sys
import time
from pathlib import Path

sys.path.insert(0, str(Path(__file__).resolve().parents[1] / "standin"))
from fleet import TROUBLE, call, run_case  # noqa: E402

INSTANCES = ["front-1", "front-2", "front-3"]
SERVICES = ["boutique-quotes", "export-orders", "misc-tools", "taller-orders", "taller-quotes"]
AWAY_S = 9.0
JOBS = 5
BODY = {"Spec": json.dumps({"ms": 200, "cpu": 1000}),
        "Steps": [{"Count": 2, "Cpu": 1000, "MemMb": 64, "EstimateMs": 200}]}


def case(fleet):
    fleet.start_store()
    for service in SERVICES:
        for number in range(2):
            fleet.start_runner(f"{service}-{number}", service, f"r{number}", 32000)
    fleet.start_instance("front-1", store="gate")
    fleet.start_instance("front-2")
    fleet.start_instance("front-3")
    fleet.configure({"quotes": {"Service": "taller-quotes"}, "orders": {"Service": "taller-orders"}})
    fleet.wait(lambda: all(fleet.ready(name) for name in INSTANCES), 20, "instances ready")
    time.sleep(4)
    for number, name in enumerate(INSTANCES * 4):
        fleet.submit([name], "quotes", f"{0xE000 + number:016x}", BODY)
        fleet.ask(name, "GET", "quotes")
    time.sleep(1)
    start = time.time()
    if TROUBLE:
        fleet.log("the store turns front-1 away for", AWAY_S, "s")
        call(fleet.ports["store"], "POST", f"/ctl/turn-away?s={AWAY_S}")
        time.sleep(1)
        fleet.configure({"orders": {"Service": "taller-orders"}})
        time.sleep(1)
        fleet.configure({"quotes": {"Service": "taller-orders"},
                         "orders": {"Service": "taller-orders"}})
    time.sleep(max(0.0, start + 4.5 - time.time()))
    jobs = [f"{0xF000 + number:016x}" for number in range(JOBS)]
    for job in jobs:
        fleet.submit(["front-2", "front-3"], "quotes", job, BODY)
    time.sleep(max(0.0, start + 7.0 - time.time()))
    # The same requests arrive again, at another instance, 2 s after the 2xx response.
    for job in jobs:
        fleet.ask("front-1", "POST", "quotes", job, json.dumps(BODY))
    time.sleep(8)
    for job in jobs:
        fleet.ask("front-2", "GET", "quotes", job)
    return check(fleet)


def check(fleet):
    """TWICE: a start after a run has ended `done`, if that end is taken note of then or later."""
    rows = fleet.ledger()
    noted = {(row[1], row[3], row[4]) for row in rows if row[2] == "noted" and row[5] == "done"}
    done, twice = {}, set()
    for _, worker, event, task, run, how in rows:
        if event == "end" and how == "done" and (worker, task, run) in noted:
            done.setdefault(task, worker)
        elif event == "start" and task in done:
            twice.add(task)
            fleet.log("task", task, "ended done on", done[task], "and was started again on", worker)
    return f"TWICE: {len(twice)} tasks were started after they had ended done" if twice else ""


run_case(Path(__file__).resolve().parent, case)
