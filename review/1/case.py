"""A worker is cut off while more than 500 of its tasks end; its ends are listed 500 at a time."""

import json
import sys
import time
from pathlib import Path

sys.path.insert(0, str(Path(__file__).resolve().parents[1] / "standin"))
from fleet import TROUBLE, call, run_case  # noqa: E402

CUT_S = 2.7
TASK_CPU = 30  # Thousandths of a core; 32 cores hold all tasks of the case at once.
JOBS = 18
TASKS = 50


def case(fleet):
    fleet.start_store()
    # The tasks require a kind that only w1 has; it is one of the six workers of its service.
    fleet.start_runner("w1", "taller-quotes", "r1", 32000, kind="kind-b")
    for number in range(2, 7):
        fleet.start_runner(f"w{number}", "taller-quotes", f"r{1 + number // 4}", 32000)
    fleet.start_runner("m1", "misc-tools", "r2", 32000)
    for name in ("front-1", "front-2", "front-3"):
        fleet.start_instance(name)
    fleet.configure({"quotes": {"Service": "taller-quotes"}})
    instances = ["front-1", "front-2", "front-3"]
    fleet.wait(lambda: all(fleet.ready(name) for name in instances), 20, "instances ready")
    time.sleep(3)
    jobs = [f"{0x1000 + number:016x}" for number in range(JOBS)]
    first = time.time()
    # The jobs are handed in over 1.6 s and end over 1.6 s.
    for number, job in enumerate(jobs):
        spec = {"Spec": json.dumps({"ms": 4500, "cpu": TASK_CPU}),
                "Steps": [{"Count": TASKS, "Cpu": TASK_CPU, "MemMb": 1, "EstimateMs": 4500,
                           "Requirements": "kind-b"}]}
        fleet.submit(instances, "quotes", job, spec)
        time.sleep(max(0.0, first + (number + 1) * 1.6 / JOBS - time.time()))
    fleet.wait(lambda: sum(row[2] == "start" for row in fleet.ledger()) >= JOBS * TASKS, 10,
               "all tasks started")
    time.sleep(max(0.0, first + 3.9 - time.time()))
    if TROUBLE:
        fleet.log("worker w1 is cut off for", CUT_S, "s and runs on")
        call(fleet.ports["w1"], "POST", f"/ctl/cut?s={CUT_S}")
    time.sleep(max(0.0, first + 25.0 - time.time()))
    for job in jobs[:3]:
        fleet.ask("front-1", "GET", "quotes", job)
    return check(fleet)


def check(fleet):
    """TWICE: a start after a run has ended `done`, if that end is taken note of then or later."""
    rows = fleet.ledger()
    lapsed = [row for row in rows if row[2] == "end" and row[5] != "done"]
    noted = {(row[3], row[4]) for row in rows if row[2] == "noted" and row[5] == "done"}
    done = {}
    twice = []
    for _, _, event, task, run, how in rows:
        if event == "end" and how == "done" and (task, run) in noted:
            done.setdefault(task, run)
        elif event == "start" and task in done:
            twice.append((task, done[task], run))
    fleet.log("starts", sum(row[2] == "start" for row in rows), "ends that aren't done",
              len(lapsed), "starts after done", len(twice))
    for task, run, later in twice[:5]:
        fleet.log("task", task, "run", run, "ended done and was noted; started again as run", later)
    return f"TWICE: {len(twice)} tasks were started after they had ended done" if twice else ""


run_case(Path(__file__).resolve().parent, case)
