"""A scheduled job overlaps with itself while a worker is down; its stored progress outgrows a
record of the store."""

import json
import sys
import time
from pathlib import Path

sys.path.insert(0, str(Path(__file__).resolve().parents[1] / "standin"))
from fleet import TROUBLE, call, run_case  # noqa: E402

INSTANCES = ["front-1", "front-2", "front-3"]
TASKS = 4600
TIMES = 5
PERIOD_S = 4.0
DOWN_S = 4.5
FINISH_S = 14.0


def case(fleet):
    fleet.start_store()
    for number in range(6):
        fleet.start_runner(f"q{number}", "taller-quotes", f"r{number // 2}", 32000)
    fleet.start_runner("o1", "taller-orders", "r1", 32000)
    for name in INSTANCES:
        fleet.start_instance(name)
    fleet.configure({"books": {"Service": "taller-quotes"}, "quotes": {"Service": "taller-quotes"},
                     "orders": {"Service": "taller-orders"}})
    fleet.wait(lambda: all(fleet.ready(name) for name in INSTANCES), 20, "instances ready")
    time.sleep(3)
    scheduled = f"{0xC000:016x}"
    start = time.time() + 1.0
    fleet.submit(INSTANCES, "books", scheduled, {
        "Spec": json.dumps({"ms": 300, "cpu": 30}),
        "Steps": [{"Count": TASKS, "Cpu": 30, "MemMb": 1, "EstimateMs": 300}],
        "Times": TIMES, "StartAtMs": int(start * 1000), "PeriodMs": int(PERIOD_S * 1000)})
    accepted = [("books", scheduled)]
    if TROUBLE:
        time.sleep(max(0.0, start + 0.9 - time.time()))
        fleet.kill("q0")
        time.sleep(DOWN_S)
        fleet.start_runner("q0", "taller-quotes", "r0", 32000)
    # Other callers hand in small jobs all the while.
    number = 0
    refused = 0
    while time.time() < start + TIMES * PERIOD_S + 4:
        job = f"{0xD000 + number:016x}"
        code, _ = fleet.ask(INSTANCES[number % 3], "POST", "quotes", job, json.dumps({
            "Spec": json.dumps({"ms": 200, "cpu": 100}),
            "Steps": [{"Count": 2, "Cpu": 100, "MemMb": 1, "EstimateMs": 200}]}))
        if code == 200:
            accepted.append(("quotes", job))
        else:
            refused += 1
        number += 1
        time.sleep(0.25)
    fleet.log("end of the traffic;", len(accepted), "jobs accepted,", refused, "not")
    ended = time.time()
    time.sleep(FINISH_S)
    missing = {}
    for attempt in range(3):
        missing = {}
        for queue, job in accepted:
            code, text = fleet.ask(INSTANCES[(attempt + len(missing)) % 3], "GET", queue, job)
            state = json.loads(text)["State"] if code == 200 else code
            if state != "completed":
                missing[job] = state
            if len(missing) > 8:
                break
        if not missing or time.time() > ended + 30:
            break
        time.sleep(2)
    _, sizes = call(fleet.ports["store"], "GET", "/ctl/refused")
    sizes = json.loads(sizes)
    fleet.log("appends refused for their size:", len(sizes), "the first ones:", sizes[:3])
    fleet.log("not completed:", json.dumps(missing))
    return f"LOST: {missing}" if missing else ""


run_case(Path(__file__).resolve().parent, case)
