"""A scheduled job can't finish its occurrences because the only worker of a kind is lost for good.
Its stored progress grows with each occurrence until it outgrows a record of the store. Later
another worker of that kind joins."""

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
TRAFFIC_S = 45.0
FINISH_S = 14.0  # Bounds.finish_s
ACK_S = 4.0  # Bounds.AckMs
WORKER_CPU = 32000


def case(fleet):
    fleet.start_store()
    fleet.start_runner("q0", "taller-quotes", "r0", WORKER_CPU, kind="kind-b")
    for number in range(1, 8):
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
    small = hand_in(fleet, start + TRAFFIC_S)
    ended = time.time()
    log_sizes(fleet)
    time.sleep(max(0.0, ended + FINISH_S - time.time()))
    # LOST: asked finish_s after the end of the traffic, a job isn't known or gets no answer in time.
    unanswered = {}
    states = {}
    for number, job in enumerate(small):
        if time.time() > ended + FINISH_S + 6:
            break
        code, text = fleet.ask(INSTANCES[number % 3], "GET", "quotes", job)
        if code != 200:
            unanswered[job] = code
        states[job] = text.decode() if code == 200 else code
    wrong = {job: state for job, state in states.items() if "completed" not in str(state)}
    fleet.log("small jobs:", len(small), "accepted; asked", len(states), "; not completed:",
              json.dumps(wrong))
    fleet.log("no answer or not known:", json.dumps(unanswered))
    unnoted = ends_not_noted(fleet, ended, ended + FINISH_S - ACK_S)
    log_sizes(fleet)
    if TROUBLE:
        fleet.log("another worker of kind-b joins")
        fleet.start_runner("q8", "taller-quotes", "r0", WORKER_CPU, kind="kind-b")
        time.sleep(15)
        log_sizes(fleet)
    twice = starts_after_done(fleet)
    if not twice:
        return ""
    return (f"TWICE: {twice} tasks were started after they had ended done; also {unnoted} ends of "
            f"a calm stretch were not taken note of, and {len(wrong)} jobs stayed unfinished")


def ends_not_noted(fleet, since, until):
    """Ends that were listed in a calm stretch and not taken note of AckMs later."""
    ends, noted = set(), set()
    for when, worker, event, task, run, how in fleet.ledger():
        if event == "end" and since <= when <= until:
            ends.add((worker, task, run))
        elif event == "noted":
            noted.add((worker, task, run))
    missing = len(ends - noted)
    fleet.log("ends listed in the calm stretch:", len(ends), "not taken note of:", missing)
    return missing if missing * 5 > len(ends) else 0


def starts_after_done(fleet):
    """TWICE: a start after a run has ended `done`, if that end is taken note of then or later."""
    rows = fleet.ledger()
    noted = {(row[3], row[4]) for row in rows if row[2] == "noted" and row[5] == "done"}
    done, twice = set(), set()
    starts = 0
    for _, _, event, task, run, how in rows:
        if event == "end" and how == "done" and (task, run) in noted:
            done.add(task)
        elif event == "start" and task in done:
            twice.add(task)
            starts += 1
    fleet.log("tasks started after they had ended done:", len(twice), "starts:", starts)
    return len(twice)


def cpu_of(task):
    return CPU if task.startswith(f"{0xC000:016x}") else 100


def hand_in(fleet, until):
    accepted = []
    number = 0
    while time.time() < until:
        job = f"{0xD000 + number:016x}"
        code, _ = fleet.ask(INSTANCES[number % 3], "POST", "quotes", job, json.dumps({
            "Spec": json.dumps({"ms": 200, "cpu": 100}),
            "Steps": [{"Count": 2, "Cpu": 100, "MemMb": 1, "EstimateMs": 200},
                      {"Count": 1, "Cpu": 100, "MemMb": 1, "EstimateMs": 200, "After": [0]}]}))
        if code == 200:
            accepted.append(job)
        number += 1
        time.sleep(0.5)
    fleet.log(len(accepted), "of", number, "small jobs accepted")
    return accepted


def log_sizes(fleet):
    _, text = call(fleet.ports["store"], "GET", "/ctl/refused")
    sizes = json.loads(text)
    fleet.log("largest record sent to the store:", sizes["largest_record"], "bytes; appends refused "
              "for their size:", len(sizes["refused"]))


run_case(Path(__file__).resolve().parent, case)
