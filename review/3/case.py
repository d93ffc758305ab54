"""A scheduled job can't finish its occurrences because the only worker of a kind is lost for good.
Its stored progress grows with each occurrence until it outgrows a record of the store. Later one
more worker is lost."""

import json
import sys
import time
from pathlib import Path

sys.path.insert(0, str(Path(__file__).resolve().parents[1] / "standin"))
from fleet import TROUBLE, call, run_case  # noqa: E402

INSTANCES = ["front-1", "front-2", "front-3"]
TASKS = 400
TIMES = 45
CPU = 20  # Thousandths of a core, of a task of the scheduled job.
PERIOD_S = 1.0
LOST_AT_S = 5.0
NEXT_LOST_AT_S = 38.0
NOTHING_RUNS_S = 3.0
TRAFFIC_S = 45.0
FINISH_S = 14.0  # Bounds.finish_s
WORKER_CPU = 32000


def case(fleet):
    fleet.start_store()
    fleet.start_runner("q0", "taller-quotes", "r0", WORKER_CPU, kind="kind-b")
    for number in range(1, 9):
        fleet.start_runner(f"q{number}", "taller-quotes", f"r{number // 4}", WORKER_CPU)
    fleet.start_runner("o1", "taller-orders", "r1", WORKER_CPU)
    for name in INSTANCES:
        fleet.start_instance(name)
    fleet.configure({"books": {"Service": "taller-quotes"}, "quotes": {"Service": "taller-quotes"},
                     "orders": {"Service": "taller-orders"}})
    fleet.wait(lambda: all(fleet.ready(name) for name in INSTANCES), 20, "instances ready")
    time.sleep(3)
    scheduled = f"{0xC000:016x}"
    start = time.time() + 1.0
    fleet.submit(INSTANCES, "books", scheduled, {
        "Spec": json.dumps({"ms": 300, "cpu": CPU}),
        "Steps": [{"Count": TASKS, "Cpu": CPU, "MemMb": 1, "EstimateMs": 300},
                  {"Count": 1, "Cpu": CPU, "MemMb": 1, "EstimateMs": 300, "After": [0],
                   "Requirements": "kind-b"}],
        "Times": TIMES, "StartAtMs": int(start * 1000), "PeriodMs": int(PERIOD_S * 1000)})
    if TROUBLE:
        time.sleep(max(0.0, start + LOST_AT_S - time.time()))
        fleet.log("worker q0, the only one of kind-b, is lost for good")
        fleet.kill("q0")
    # Other callers hand in small jobs all the while.
    small = hand_in(fleet, start)
    ended = time.time()
    log_sizes(fleet)
    time.sleep(max(0.0, ended + FINISH_S - time.time()))
    time.sleep(NOTHING_RUNS_S + 1)
    states = {}
    for number, job in enumerate(small):
        code, text = fleet.ask(INSTANCES[number % 3], "GET", "quotes", job)
        states[job] = text.decode() if code == 200 else code
        if time.time() > ended + FINISH_S + NOTHING_RUNS_S + 12:
            break
    log_sizes(fleet)
    wrong = {job: state for job, state in states.items() if "completed" not in str(state)}
    fleet.log("asked", len(states), "; not completed:", json.dumps(wrong))
    stuck = jobs_without_a_run(fleet, small, ended + FINISH_S)
    fleet.log("nothing running for", NOTHING_RUNS_S, "s though a task's turn has come:", stuck)
    if not stuck:
        return ""
    return (f"LOST: {len(stuck)} accepted jobs have nothing running for {NOTHING_RUNS_S} s though "
            f"a task's turn has come and the service is idle; {len(wrong)} jobs never end")


def jobs_without_a_run(fleet, jobs, since):
    """LOST: the jobs with tasks that have not ended `done`, of which none ran in the 3 s after
    `since`, while under half of the service's capacity was in use all the while."""
    until = since + NOTHING_RUNS_S
    open_runs, spans, done = {}, [], {}
    for when, worker, event, task, run, how in fleet.ledger():
        if event == "start":
            open_runs[(worker, task, run)] = when
        elif event == "end":
            spans.append((open_runs.pop((worker, task, run), when), when, task))
            if how == "done":
                done.setdefault(task, when)
    for (worker, task, _), when in open_runs.items():
        if worker not in ("q0", "q7"):  # What ran on a lost worker ended with it.
            spans.append((when, time.time(), task))
    in_window = [span for span in spans if span[0] < until and span[1] > since]
    # An upper bound: all that ran at any moment of the window counts as running together.
    in_use = 100 * len(in_window)
    fleet.log("in use in the window, at most", in_use, "of", 7 * WORKER_CPU, "thousandths of a core")
    if in_use * 2 >= 7 * WORKER_CPU:
        return []
    ran = {task[:16] for _, _, task in in_window}
    return [job for job in jobs if job not in ran and
            any(done.get(f"{job}.0.{task}", until) >= until for task in ("0.0", "0.1", "1.0"))]


def hand_in(fleet, start):
    accepted = []
    number = 0
    while time.time() < start + TRAFFIC_S:
        if TROUBLE and time.time() > start + NEXT_LOST_AT_S and fleet.processes["q7"].poll() is None:
            fleet.log("worker q7 is lost for good")
            fleet.kill("q7")
        job = f"{0xD000 + number:016x}"
        body = json.dumps({
            "Spec": json.dumps({"ms": 200, "cpu": 100}),
            "Steps": [{"Count": 2, "Cpu": 100, "MemMb": 1, "EstimateMs": 200},
                      {"Count": 1, "Cpu": 100, "MemMb": 1, "EstimateMs": 200, "After": [0]}]})
        # After a 504 the request arrives again at another instance; clients have four retries.
        for attempt in range(5):
            code, _ = fleet.ask(INSTANCES[(number + attempt) % 3], "POST", "quotes", job, body)
            if code != 504:
                break
            time.sleep(0.05)
        if code == 200:
            accepted.append(job)
        number += 1
        time.sleep(0.2)
    fleet.log(len(accepted), "of", number, "small jobs accepted")
    return accepted


def log_sizes(fleet):
    _, text = call(fleet.ports["store"], "GET", "/ctl/refused")
    sizes = json.loads(text)
    fleet.log("largest record sent to the store:", sizes["largest_record"], "bytes; appends refused "
              "for their size:", len(sizes["refused"]))


run_case(Path(__file__).resolve().parent, case)
