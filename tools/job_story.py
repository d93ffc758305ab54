"""Second part of the main job: jobs on a store and runners, their owner killed in the middle."""

import time

from fleet import ROOT
from job_fleet import JobFleet

POOLS = {"taller": 4, "boutique": 2}
QUEUES = {"day-books": "taller", "quotes": "taller", "catalog": "boutique"}
DOCUMENT = ROOT / "examples/quito/job/day-books.json"
TASKS = 6  # Of that document.
JOBS = 30
SHOWN = f"{1:016x}"


def run(build):
    """Returns how many promises were broken."""
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
        owner = fleet.owner_of(SHOWN)
        fleet.entries[owner].kill()
        killed = time.monotonic()
        print(f"handed in {JOBS} jobs of {TASKS} tasks; killed {owner}, which owns the first")
        states = fleet.wait_finished(jobs)
        print(f"all finished {time.monotonic() - killed:.1f} s later; the first one's story:\n")
        logs = [entry.log_path for entry in fleet.entries.values()]
        print(fleet.tool("explain", SHOWN, *logs)[1])
        return show(states, fleet.ledger())


def show(states, ledger):
    completed = sum(state == "completed" for state in states.values())
    done = sum(task["done"] for task in ledger["tasks"].values())
    rows = [("accepted jobs completed", completed, JOBS),
            ("tasks done", len(ledger["tasks"]), JOBS * TASKS),
            ("ends done listed by runners", done, JOBS * TASKS),
            ("tasks with two runs at once", len(ledger["at_once"]), 0),
            ("tasks started after they were done", len(ledger["after_done"]), 0)]
    print(f"{'jobs':38}{'seen':>8}{'promised':>10}")
    for name, seen, promised in rows:
        print(f"{name:38}{seen:>8}{promised:>10}")
    return sum(seen != promised for _, seen, promised in rows)


if __name__ == "__main__":
    import sys
    sys.exit(1 if run(sys.argv[1] if len(sys.argv) > 1 else "build") else 0)
