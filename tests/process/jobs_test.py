"""Jobs on real processes during kills, freezes and outages: each task is done once."""

import json
import signal
import socket
import sys
import time

from harness import ROOT, run_all
from job_fleet import HOST, JobFleet

POOLS = {"alpha": 4, "beta": 2}
QUEUES = {"letters": "alpha", "bills": "alpha", "scans": "beta"}


def job_id(number):
    return f"{number:016x}"


def job_spec(millis=60, fails=0, steps=((3, ()), (2, (0,)))):
    """Returns a job of `steps`, each a number of tasks and the steps that it depends on."""
    return {"Spec": json.dumps({"ms": millis, "fails": fails}),
            "Steps": [{"Count": count, "Cpu": 500, "MemMb": 64, "EstimateMs": max(millis, 1),
                       **({"After": list(after)} if after else {})} for count, after in steps]}


def start_site(fleet, instances=3):
    fleet.start_store(POOLS)
    fleet.set_queues(QUEUES)
    fleet.start_instances(instances)
    fleet.wait_ready()


def submit_jobs(fleet, first, count, **spec_options):
    """Submits jobs to all queues in turn; returns them as pairs of queue and id."""
    names = list(QUEUES)
    jobs = [(names[number % len(names)], job_id(first + number)) for number in range(count)]
    for queue, job in jobs:
        fleet.submit(queue, job, job_spec(**spec_options))
    return jobs


def check_jobs(fleet, jobs, expected="completed"):
    """Requires that all jobs reach the expected state, that no task ran twice at the same time or
    again after it was done, and that every task of completed jobs is done."""
    states = fleet.wait_finished(jobs)
    wrong = {job: state for job, state in states.items() if state != expected}
    assert not wrong, wrong
    ledger = fleet.ledger()
    assert not ledger["at_once"], ledger["at_once"]
    assert not ledger["after_done"], ledger["after_done"]
    submitted = {job for _, job in jobs}
    for task, runs in ledger["tasks"].items():
        assert task.split(".")[0] in submitted, f"no submitted job has the task {task}"
        if expected == "completed":
            assert runs["done"] >= 1 and runs["running"] == 0, (task, runs)
    if expected == "completed":
        assert len(ledger["tasks"]) == 5 * len(jobs), len(ledger["tasks"])


def test_jobs_complete_without_faults(fleet):
    start_site(fleet)
    jobs = submit_jobs(fleet, 0x1000, 30)
    jobs += submit_jobs(fleet, 0x2000, 6, fails=2)
    check_jobs(fleet, jobs)
    assert all(task["done"] == 1 for task in fleet.ledger()["tasks"].values())


def test_job_fails_after_its_last_attempt(fleet):
    start_site(fleet)
    jobs = submit_jobs(fleet, 0x1000, 6, fails=3)
    check_jobs(fleet, jobs, expected="failed")
    for name, task in fleet.ledger()["tasks"].items():
        assert task["failed"] <= 3 and task["starts"] <= 3, (name, task)


def test_attempts_are_counted_across_a_change_of_owner(fleet):
    start_site(fleet)
    jobs = submit_jobs(fleet, 0x1000, 6, millis=300, fails=3)
    fleet.control("/rebalance")
    check_jobs(fleet, jobs, expected="failed")
    for name, task in fleet.ledger()["tasks"].items():
        assert task["failed"] <= 3, (name, task)


def test_repeated_submissions_create_one_job(fleet):
    start_site(fleet)
    jobs = submit_jobs(fleet, 0x1000, 9)
    for queue, job in jobs:
        for entry in fleet.entries.values():
            code, _ = fleet.call("POST", queue, job, json.dumps(job_spec()), instance=entry)
            assert code == 200, code
    check_jobs(fleet, jobs)


def test_cancelled_jobs_stop_running(fleet):
    start_site(fleet)
    jobs = submit_jobs(fleet, 0x1000, 6, millis=-1)
    time.sleep(0.5)
    for queue, job in jobs:
        assert fleet.call("DELETE", queue, job)[0] == 200
    check_jobs(fleet, jobs, expected="cancelled")
    time.sleep(1)
    running = [name for name, task in fleet.ledger()["tasks"].items() if task["running"]]
    assert not running, running


def test_command_line_tool_submits_shows_and_cancels_jobs(fleet):
    start_site(fleet)
    document = ROOT / "examples/quito/job/day-books.json"
    code, output = fleet.job_tool("submit", "/bills/", job_id(1), document)
    assert (code, output) == (0, "accepted\n"), (code, output)
    code, output = fleet.job_tool("--wait", "show", "/bills/", job_id(1))
    assert code == 0 and output.endswith("completed\n"), (code, output)
    code, output = fleet.job_tool("--wait", "submit", "/scans/", job_id(2), document)
    assert code == 0 and output.endswith("completed\n"), (code, output)
    endless = fleet.directory / "endless.json"
    endless.write_text(json.dumps({"payload": json.dumps({"ms": -1}),
                                   "steps": [{"tasks": 2, "cpu_milli": 100}]}))
    assert fleet.job_tool("submit", "/bills/", job_id(3), endless)[0] == 0
    assert fleet.job_tool("cancel", "/bills/", job_id(3))[0] == 0
    code, output = fleet.job_tool("--wait", "show", "/bills/", job_id(3))
    assert code == 1 and output.endswith("cancelled\n"), (code, output)
    assert fleet.job_tool("pending", "/letters/") == (0, "0\n")
    assert fleet.job_tool("show", "/bills/", job_id(4))[0] == 1
    assert fleet.job_tool("show", "/nowhere/", job_id(1))[0] == 1
    for words in (("submit", "/bills/", "12", document), ("submit", "bills", job_id(5), document),
                  ("submit", "/bills/", job_id(5), "/nowhere"), ("what",), ("show", "/bills/")):
        assert fleet.job_tool(*words)[0] == 2, words
    fleet.control("/faults", json.dumps({"down": 1}))
    code, output = fleet.job_tool("submit", "/bills/", job_id(6), document)
    assert code in (1, 3), (code, output)
    fleet.control("/faults", json.dumps({"down": 0}))
    if code == 1:
        time.sleep(2)
        assert fleet.state("bills", job_id(6)) == 410, "a refused job exists"


def test_unknown_jobs_queues_and_invalid_bodies_are_refused(fleet):
    start_site(fleet, instances=1)
    assert fleet.call("GET", "letters", job_id(1))[0] == 410
    assert fleet.call("DELETE", "letters", job_id(1))[0] == 410
    assert fleet.call("GET", "nowhere", job_id(1))[0] == 404
    assert fleet.call("GET", "letters") == (200, {"Pending": 0})
    for job, body in (("12345", json.dumps(job_spec())), (job_id(2), "{"), (job_id(2), "[]"),
                      (job_id(2), json.dumps(job_spec(steps=((0, ()),)))),
                      (job_id(2), json.dumps(job_spec(steps=((3_000_000_000, ()),)))),
                      (job_id(2), json.dumps(job_spec(steps=((1, (1,)), (1, ()))))),
                      (job_id(2), json.dumps({"Spec": 7, "Steps": [{"Count": 1}]}))):
        code, answer = fleet.call("POST", "letters", job, body)
        assert code == 400, (job, body, code, answer)
    assert fleet.call("GET", "letters", job_id(2))[0] == 410
    # An incomplete request and a connection without a request must not block other callers.
    port = fleet.entries["instance0"].ports["http"]
    with socket.create_connection(("127.0.0.1", port)) as incomplete, \
            socket.create_connection(("127.0.0.1", port)):
        incomplete.sendall(f"POST /letters/{job_id(3)} HTTP/1.1\r\nHost: {HOST}\r\n".encode())
        check_jobs(fleet, submit_jobs(fleet, 0x1000, 3))


def test_accepted_jobs_complete_when_all_instances_are_killed(fleet):
    start_site(fleet)
    jobs = submit_jobs(fleet, 0x1000, 24, millis=150)
    for entry in fleet.entries.values():
        entry.kill()
    for entry in fleet.entries.values():
        entry.start()
    check_jobs(fleet, jobs)


def test_jobs_complete_when_instances_are_killed_in_turn(fleet):
    start_site(fleet)
    jobs = []
    for number, entry in enumerate(fleet.entries.values()):
        jobs += submit_jobs(fleet, 0x1000 + 0x100 * number, 12, millis=100)
        entry.kill()
        jobs += submit_jobs(fleet, 0x1080 + 0x100 * number, 6, millis=100)
        entry.start()
        fleet.wait_ready()
    check_jobs(fleet, jobs)


def test_killed_owner_is_evicted_by_its_peers(fleet):
    start_site(fleet)
    jobs = submit_jobs(fleet, 0x1000, 12, millis=200)
    name = fleet.owner_of(jobs[0][1])
    killed = fleet.entries[name]
    killed.kill()
    jobs += submit_jobs(fleet, 0x2000, 12, millis=200)
    check_jobs(fleet, jobs)
    logs = [entry.log() for entry in fleet.entries.values() if entry is not killed]
    assert any(f"event=evict member={name}|" in log for log in logs)
    killed.start()
    fleet.wait_ready()
    check_jobs(fleet, jobs + submit_jobs(fleet, 0x3000, 12))


def test_instances_stopped_in_turn_hand_over_their_jobs(fleet):
    start_site(fleet)
    jobs = []
    for number, entry in enumerate(fleet.entries.values()):
        jobs += submit_jobs(fleet, 0x1000 + 0x100 * number, 12, millis=300)
        assert entry.terminate() == 0, entry.log()[-400:]
        entry.start()
        fleet.wait_ready()
    check_jobs(fleet, jobs)


def test_jobs_complete_when_owners_are_frozen_and_resumed(fleet):
    start_site(fleet)
    jobs = []
    for number, entry in enumerate(fleet.entries.values()):
        jobs += submit_jobs(fleet, 0x1000 + 0x100 * number, 9, millis=200)
        entry.signal(signal.SIGSTOP)
        time.sleep(4)
        entry.signal(signal.SIGCONT)
    check_jobs(fleet, jobs)


def test_jobs_complete_when_the_store_is_down_or_loses_responses(fleet):
    start_site(fleet)
    jobs = submit_jobs(fleet, 0x1000, 12, millis=400)
    fleet.control("/faults", json.dumps({"down": 1}))
    time.sleep(3)
    fleet.control("/faults", json.dumps({"down": 0, "lose_append_answers": 6}))
    jobs += submit_jobs(fleet, 0x2000, 12)
    fleet.control("/faults", json.dumps({"silent": 1}))
    time.sleep(3)
    fleet.control("/faults", json.dumps({"silent": 0, "delay_ms": 100}))
    jobs += submit_jobs(fleet, 0x3000, 6)
    check_jobs(fleet, jobs)


def test_jobs_complete_when_runners_crash_do_not_respond_or_start_late(fleet):
    start_site(fleet)
    jobs = submit_jobs(fleet, 0x1000, 12, millis=300)
    fleet.restart_runner("runner-0")
    fleet.runner_faults("runner-1", silent=1)
    fleet.runner_faults("runner-2", late_starts=4, lose_answers=4)
    fleet.runner_faults("runner-4", refuse=10)
    jobs += submit_jobs(fleet, 0x2000, 12, millis=300)
    time.sleep(4)
    fleet.runner_faults("runner-1", silent=0)
    fleet.restart_runner("runner-4")
    check_jobs(fleet, jobs)


def test_jobs_complete_when_cells_are_reassigned_and_records_deleted(fleet):
    start_site(fleet)
    jobs = []
    for number in range(4):
        jobs += submit_jobs(fleet, 0x1000 + 0x100 * number, 9, millis=150)
        for part in range(fleet.parts):
            fleet.control(f"/compact?topic=keyed.jobs&part={part}")
        fleet.control("/compact?topic=keyed.servers&part=0")
        fleet.control("/compact?topic=keyed.op&part=0")
        fleet.control("/rebalance")
        time.sleep(0.5)
    check_jobs(fleet, jobs)


def test_queue_moved_to_another_pool_keeps_its_jobs(fleet):
    start_site(fleet)
    jobs = submit_jobs(fleet, 0x1000, 12, millis=300)
    fleet.set_queues({**QUEUES, "scans": "alpha"})
    time.sleep(1)
    for queue, job in jobs:
        assert fleet.call("POST", queue, job, json.dumps(job_spec()))[0] == 200
    check_jobs(fleet, jobs)


if __name__ == "__main__":
    run_all(sys.modules[__name__], JobFleet)
