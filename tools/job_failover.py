"""Second part of run-main-job: jobs on a store and runners, during which an owner is killed."""

import time

from fleet import ROOT
from job_fleet import JobFleet

POOLS = {"taller": 4, "boutique": 2}
QUEUES = {"day-books": "taller", "quotes": "taller", "catalog": "boutique"}
DOCUMENT = ROOT / "examples/quito/job/day-books.json"
TASKS_PER_JOB = 6  # In DOCUMENT.
JOBS = 30
FIRST_JOB = f"{1:016x}"


def run(build):
    """Runs the jobs, prints the results and returns the number of failed checks."""
    with JobFleet(build) as fleet:
        print(f"\nstarting a store with {sum(POOLS.values())} runners and 3 instances for jobs")
        fleet.start_store(POOLS)
        fleet.set_queues(QUEUES)
        fleet.start_instances(3)
        fleet.wait_ready()
        jobs = [(list(QUEUES)[number % len(QUEUES)], f"{number + 1:016x}") for number in range(JOBS)]
        for queue, job in jobs:
            code, output = fleet.job_tool("submit", f"/{queue}/", job, DOCUMENT)
            assert code == 0, output
        owner = fleet.owner_of(FIRST_JOB)
        fleet.entries[owner].kill()
        killed_at = time.monotonic()
        print(f"submitted {JOBS} jobs of {TASKS_PER_JOB} tasks; "
              f"killed {owner}, owner of the first job")
        states = fleet.wait_finished(jobs)
        print(f"all jobs finished {time.monotonic() - killed_at:.1f} s later; "
              "timeline of the first job:\n")
        logs = [entry.log_path for entry in fleet.entries.values()]
        print(fleet.tool("explain", FIRST_JOB, *logs)[1])
        return show(states, fleet.ledger())


def show(states, ledger):
    """Prints each figure with its expected value; returns how many differ."""
    completed = sum(state == "completed" for state in states.values())
    successes = sum(task["done"] for task in ledger["tasks"].values())
    rows = [("accepted jobs completed", completed, JOBS),
            ("tasks done", len(ledger["tasks"]), JOBS * TASKS_PER_JOB),
            ("successful results listed by runners", successes, JOBS * TASKS_PER_JOB),
            ("tasks with two concurrent runs", len(ledger["at_once"]), 0),
            ("tasks started after completion", len(ledger["after_done"]), 0)]
    print(f"{'jobs':38}{'actual':>8}{'expected':>10}")
    for name, actual, expected in rows:
        print(f"{name:38}{actual:>8}{expected:>10}")
    return sum(actual != expected for _, actual, expected in rows)


if __name__ == "__main__":
    import sys
    sys.exit(1 if run(sys.argv[1] if len(sys.argv) > 1 else "build") else 0)
