"""Results of runs whose owner is cut off from the store: what an owner acknowledges to a runner is
stored, so that its successor does not start the task again."""

import re
import sys
import time

from harness import run_all, wait_until
from jobs_test import job_id, start_site
from store_gate import GatedFleet

QUEUE = "letters"
WAIT_SECONDS = 15
CUT_SECONDS = 5.5
# The second runner of the gang reports its result a little later than the first.
LAG_SECONDS = 0.03
# An owner that takes the second result for stored acknowledges it within this time.
ACKNOWLEDGEMENT_SECONDS = 0.6
GANG = {"Spec": '{"ms":-1}',
        "Steps": [{"Count": 2, "Cpu": 5000, "MemMb": 64, "EstimateMs": 3000, "Gang": True}]}


def last_runners_of(fleet, owner, job):
    """Returns the runners of the last two starts of a job's tasks, by the owner's log."""
    return re.findall(rf"event=start job={job} .*?runner=(\S+)", fleet.entries[owner].log())[-2:]


def starts(fleet):
    return {name: task["starts"] for name, task in fleet.ledger()["tasks"].items()}


def test_gang_that_ended_while_its_owner_had_no_store_is_not_started_again(fleet):
    """Fails if the second result of a gang is acknowledged while the record that the gang is done
    is not stored: the first runner crashes, and a new owner starts the gang again."""
    start_site(fleet)
    job = job_id(0x6000)
    fleet.submit(QUEUE, job, GANG)
    wait_until(lambda: sum(task["running"] for task in fleet.ledger()["tasks"].values()) == 2,
               WAIT_SECONDS, "the gang runs")
    owner = fleet.owner_of(job)
    first, second = last_runners_of(fleet, owner, job)
    assert first != second, first
    starts_before = starts(fleet)
    fleet.gates[owner].close()
    time.sleep(0.2)
    cut_at = time.monotonic()
    assert fleet.control(f"/runner/complete?id={first}")[0] == 200
    time.sleep(LAG_SECONDS)
    assert fleet.control(f"/runner/complete?id={second}")[0] == 200
    time.sleep(ACKNOWLEDGEMENT_SECONDS)
    fleet.restart_runner(first)
    others = [entry for name, entry in fleet.entries.items() if name != owner]

    def completed():
        return all(fleet.call("GET", QUEUE, job, instance=entry) == (200, {"State": "completed"})
                   for entry in others)
    try:
        wait_until(completed, WAIT_SECONDS, f"{job} completed")
    finally:
        time.sleep(max(0.0, cut_at + CUT_SECONDS - time.monotonic()))
        fleet.gates[owner].open()
        ledger = fleet.ledger()
        assert not ledger["after_done"], ledger
    time.sleep(1)
    ledger = fleet.ledger()
    assert not ledger["after_done"], ledger
    assert starts(fleet) == starts_before, ledger


if __name__ == "__main__":
    run_all(sys.modules[__name__], GatedFleet)
