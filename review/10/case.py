"""Case 10: a job runs twice after its queue got another name and another service.

The operator replaces the route of a queue: the new one has the same address, another name and
another service. A request that comes again after its 2xx response makes a second job.
"""

import asyncio
import sys
from pathlib import Path

FOLDER = Path(__file__).resolve().parent
sys.path.insert(0, str(FOLDER.parent / "standin-2"))

from standin import main  # noqa: E402

JOB = "00000000000000b1"
TASKS = 4
STEPS = [{"Count": TASKS, "Cpu": 2000, "MemMb": 400, "EstimateMs": 500}]
CONFIG_APPLY_SECONDS = 2
VISIBLE_SECONDS = 3


def started_again(site):
    """Starts of tasks after their runs ended `done` and these ends were taken note of."""
    noted = {}
    again = []
    for at, kind, task, run, runner, how in site.work.events:
        if kind == "noted" and how == "done":
            noted[task] = runner
        elif kind == "start" and task in noted:
            again.append(f"{task} on {runner} at {at:.3f} s, done on {noted[task]} before")
    return again


async def case(site, trouble):
    await site.add_runners("press", 9)
    await site.add_runners("fold", 9)
    routes = {"desk": {"Service": "press"}, "other": {"Service": "fold"}}
    site.configure(routes, ["press", "fold"])
    await site.start_instances(6)
    await site.wait_ready("desk")
    await asyncio.sleep(2)
    await site.submit("desk", JOB, STEPS, {"ms": 500})

    async def completed():
        return await site.state("desk", JOB) == "completed"
    await site.until(completed, 10, "the job is completed")
    if trouble:
        routes["desk"] = {"Service": "fold", "Name": "r-desk-new"}
        site.configure(routes, ["press", "fold"])
    await asyncio.sleep(CONFIG_APPLY_SECONDS + VISIBLE_SECONDS)
    codes = [(await each.call("GET", f"/desk/{JOB}"))[0] for each in site.instances.values()]
    site.record.note(f"GET for the accepted job at each instance: {codes}")
    # The request comes again, as it occasionally does.
    await next(iter(site.instances.values())).call("POST", f"/desk/{JOB}", site.work.jobs[JOB])
    await asyncio.sleep(6)
    again = started_again(site)
    if again:
        return (f"TWICE: {len(again)} of {TASKS} tasks run a second time, first {again[0]}; GET was "
                f"answered {codes}")
    return None


if __name__ == "__main__":
    sys.exit(main(case, FOLDER))
