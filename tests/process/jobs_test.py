"""Jobs on real processes through kills, freezes and outages: each task is done once."""

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


def spec(millis=60, fails=0, steps=((3, ()), (2, (0,)))):
    """A job of `steps`, each a number of tasks and the steps before it."""
    return {"Spec": json.dumps({"ms": millis, "fails": fails}),
            "Steps": [{"Count": count, "Cpu": 500, "MemMb": 64, "EstimateMs": max(millis, 1),
                       **({"After": list(after)} if after else {})} for count, after in steps]}


def site(fleet, instances=3):
    fleet.start_store(POOLS)
    fleet.set_queues(QUEUES)
    fleet.start_instances(instances)
    fleet.wait_ready()


def hand_in(fleet, first, count, **how):
    """Hands jobs in on all queues in turn; returns them as pairs of queue and id."""
    names = list(QUEUES)
    jobs = [(names[number % len(names)], job_id(first + number)) for number in range(count)]
    for queue, job in jobs:
        fleet.submit(queue, job, spec(**how))
    return jobs


def check(fleet, jobs, expected="completed"):
    """All jobs end as expected, with each of their tasks done exactly once where they complete."""
    states = fleet.wait_finished(jobs)
    wrong = {job: state for job, state in states.items() if state != expected}
    assert not wrong, wrong
    ledger = fleet.ledger()
    assert not ledger["at_once"], ledger["at_once"]
    assert not ledger["after_done"], ledger["after_done"]
    known = {job for _, job in jobs}
    for task, seen in ledger["tasks"].items():
        assert task.split(".")[0] in known, f"nobody asked for {task}"
        if expected == "completed":
            assert seen["done"] >= 1 and seen["running"] == 0, (task, seen)
    if expected == "completed":
        assert len(ledger["tasks"]) == 5 * len(jobs), len(ledger["tasks"])


def test_jobs_complete_on_a_calm_site(fleet):
    site(fleet)
    jobs = hand_in(fleet, 0x1000, 30)
    jobs += hand_in(fleet, 0x2000, 6, fails=2)
    check(fleet, jobs)
    assert all(task["done"] == 1 for task in fleet.ledger()["tasks"].values())


def test_a_job_fails_after_its_attempts(fleet):
    site(fleet)
    jobs = hand_in(fleet, 0x1000, 6, fails=3)
    check(fleet, jobs, expected="failed")
    for name, task in fleet.ledger()["tasks"].items():
        assert task["failed"] <= 3 and task["starts"] <= 3, (name, task)


def test_attempts_are_counted_across_a_change_of_owner(fleet):
    site(fleet)
    jobs = hand_in(fleet, 0x1000, 6, millis=300, fails=3)
    fleet.control("/rebalance")
    check(fleet, jobs, expected="failed")
    for name, task in fleet.ledger()["tasks"].items():
        assert task["failed"] <= 3, (name, task)


def test_a_repeated_submission_is_one_job(fleet):
    site(fleet)
    jobs = hand_in(fleet, 0x1000, 9)
    for queue, job in jobs:
        for entry in fleet.entries.values():
            code, _ = fleet.call("POST", queue, job, json.dumps(spec()), instance=entry)
            assert code == 200, code
    check(fleet, jobs)


def test_cancelled_jobs_stop(fleet):
    site(fleet)
    jobs = hand_in(fleet, 0x1000, 6, millis=-1)
    time.sleep(0.5)
    for queue, job in jobs:
        assert fleet.call("DELETE", queue, job)[0] == 200
    check(fleet, jobs, expected="cancelled")
    time.sleep(1)
    running = [name for name, task in fleet.ledger()["tasks"].items() if task["running"]]
    assert not running, running


def test_operators_tool_hands_in_shows_and_cancels(fleet):
    site(fleet)
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
        assert fleet.state("bills", job_id(6)) == 410, "refused, and yet it is there"


def test_unknown_jobs_queues_and_bad_bodies_are_refused_clearly(fleet):
    site(fleet, instances=1)
    assert fleet.call("GET", "letters", job_id(1))[0] == 410
    assert fleet.call("DELETE", "letters", job_id(1))[0] == 410
    assert fleet.call("GET", "nowhere", job_id(1))[0] == 404
    assert fleet.call("GET", "letters") == (200, {"Pending": 0})
    for job, body in (("12345", json.dumps(spec())), (job_id(2), "{"), (job_id(2), "[]"),
                      (job_id(2), json.dumps(spec(steps=((0, ()),)))),
                      (job_id(2), json.dumps(spec(steps=((3_000_000_000, ()),)))),
                      (job_id(2), json.dumps(spec(steps=((1, (1,)), (1, ()))))),
                      (job_id(2), json.dumps({"Spec": 7, "Steps": [{"Count": 1}]}))):
        code, answer = fleet.call("POST", "letters", job, body)
        assert code == 400, (job, body, code, answer)
    assert fleet.call("GET", "letters", job_id(2))[0] == 410
    # Half a request, and one that never comes, hold nobody up.
    port = fleet.entries["instance0"].ports["http"]
    with socket.create_connection(("127.0.0.1", port)) as half, \
            socket.create_connection(("127.0.0.1", port)):
        half.sendall(f"POST /letters/{job_id(3)} HTTP/1.1\r\nHost: {HOST}\r\n".encode())
        check(fleet, hand_in(fleet, 0x1000, 3))


def test_all_instances_killed_after_acceptance(fleet):
    site(fleet)
    jobs = hand_in(fleet, 0x1000, 24, millis=150)
    for entry in fleet.entries.values():
        entry.kill()
    for entry in fleet.entries.values():
        entry.start()
    check(fleet, jobs)


def test_instances_killed_one_after_the_other(fleet):
    site(fleet)
    jobs = []
    for number, entry in enumerate(fleet.entries.values()):
        jobs += hand_in(fleet, 0x1000 + 0x100 * number, 12, millis=100)
        entry.kill()
        jobs += hand_in(fleet, 0x1080 + 0x100 * number, 6, millis=100)
        entry.start()
        fleet.wait_ready()
    check(fleet, jobs)


def test_ended_owner_is_put_out_by_those_who_notice(fleet):
    site(fleet)
    jobs = hand_in(fleet, 0x1000, 12, millis=200)
    name = fleet.owner_of(jobs[0][1])
    ended = fleet.entries[name]
    ended.kill()
    jobs += hand_in(fleet, 0x2000, 12, millis=200)
    check(fleet, jobs)
    logs = [entry.log() for entry in fleet.entries.values() if entry is not ended]
    assert any(f"event=evict member={name}|" in log for log in logs)
    ended.start()
    fleet.wait_ready()
    check(fleet, jobs + hand_in(fleet, 0x3000, 12))


def test_instances_stopped_in_turn_hand_over(fleet):
    site(fleet)
    jobs = []
    for number, entry in enumerate(fleet.entries.values()):
        jobs += hand_in(fleet, 0x1000 + 0x100 * number, 12, millis=300)
        assert entry.terminate() == 0, entry.log()[-400:]
        entry.start()
        fleet.wait_ready()
    check(fleet, jobs)


def test_owner_frozen_and_thawed(fleet):
    site(fleet)
    jobs = []
    for number, entry in enumerate(fleet.entries.values()):
        jobs += hand_in(fleet, 0x1000 + 0x100 * number, 9, millis=200)
        entry.signal(signal.SIGSTOP)
        time.sleep(4)
        entry.signal(signal.SIGCONT)
    check(fleet, jobs)


def test_store_down_and_losing_answers(fleet):
    site(fleet)
    jobs = hand_in(fleet, 0x1000, 12, millis=400)
    fleet.control("/faults", json.dumps({"down": 1}))
    time.sleep(3)
    fleet.control("/faults", json.dumps({"down": 0, "lose_append_answers": 6}))
    jobs += hand_in(fleet, 0x2000, 12)
    fleet.control("/faults", json.dumps({"silent": 1}))
    time.sleep(3)
    fleet.control("/faults", json.dumps({"silent": 0, "delay_ms": 100}))
    jobs += hand_in(fleet, 0x3000, 6)
    check(fleet, jobs)


def test_runners_crash_fall_silent_and_carry_orders_out_late(fleet):
    site(fleet)
    jobs = hand_in(fleet, 0x1000, 12, millis=300)
    fleet.restart_runner("runner-0")
    fleet.runner_faults("runner-1", silent=1)
    fleet.runner_faults("runner-2", late_starts=4, lose_answers=4)
    fleet.runner_faults("runner-4", refuse=10)
    jobs += hand_in(fleet, 0x2000, 12, millis=300)
    time.sleep(4)
    fleet.runner_faults("runner-1", silent=0)
    fleet.restart_runner("runner-4")
    check(fleet, jobs)


def test_cells_dealt_out_anew_while_history_is_deleted(fleet):
    site(fleet)
    jobs = []
    for number in range(4):
        jobs += hand_in(fleet, 0x1000 + 0x100 * number, 9, millis=150)
        for part in range(fleet.parts):
            fleet.control(f"/compact?topic=keyed.jobs&part={part}")
        fleet.control("/compact?topic=keyed.servers&part=0")
        fleet.control("/compact?topic=keyed.op&part=0")
        fleet.control("/rebalance")
        time.sleep(0.5)
    check(fleet, jobs)


def test_queue_moved_to_another_pool_keeps_its_jobs(fleet):
    site(fleet)
    jobs = hand_in(fleet, 0x1000, 12, millis=300)
    fleet.set_queues({**QUEUES, "scans": "alpha"})
    time.sleep(1)
    for queue, job in jobs:
        assert fleet.call("POST", queue, job, json.dumps(spec()))[0] == 200
    check(fleet, jobs)


if __name__ == "__main__":
    run_all(sys.modules[__name__], JobFleet)
