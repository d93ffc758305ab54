"""Case 10: tasks of a gang share a runner beyond the `AntiAffinity` of their step.

A runner is lost for good, and fewer runners than the gang needs have room left."""

import asyncio
import sys
from pathlib import Path

FOLDER = Path(__file__).resolve().parent
sys.path.insert(0, str(FOLDER.parent / "standin-2"))

from standin import main  # noqa: E402

JOB = "00000000000000b1"
GANG = [{"Count": 3, "Cpu": 9000, "MemMb": 1024, "EstimateMs": 2000, "Gang": True,
         "AntiAffinity": 1}]


def crowded(site):
    """A start on a runner that already runs a task of the same step and occurrence."""
    running = {}
    for at, kind, task, run, runner, _ in site.work.events:
        if not task.startswith(JOB):
            continue
        if kind == "start":
            others = [each for each, host in running.items() if host == runner]
            running[task, run] = runner
            if others:
                return (f"ROUTE: {task} run {run} starts on {runner} at {at:.3f} s, which runs "
                        f"{others[0][0]} of the same step; AntiAffinity is 1")
        elif kind == "end":
            running.pop((task, run), None)
    return None


async def case(site, trouble):
    await site.add_runners("press", 9)
    site.configure({"press": {"Service": "press"}}, ["press"])
    await site.start_instances(6)
    await site.wait_ready("press")
    await asyncio.sleep(2)
    # Six of nine runners get a task that leaves too little room for a task of the gang.
    for number in range(6):
        await site.submit("press", f"00000000000000f{number}",
                          [{"Count": 1, "Cpu": 25000, "MemMb": 1024, "EstimateMs": 60000}], {})
    await site.until(lambda: sum(len(each.runs) for each in site.runners.values()) == 6, 10,
                     "six runners are busy")
    idle = [each for each in site.runners.values() if not each.runs]
    if trouble:
        await idle[0].crash()
    crashed_at = site.record.now()
    await site.submit("press", JOB, GANG, {"ms": 2000})
    while site.record.now() < crashed_at + 20 and not crowded(site):
        await asyncio.sleep(0.1)
        if await site.state("press", JOB) == "completed":
            break
    site.record.note(f"the job is shown as {await site.state('press', JOB)}")
    return crowded(site)


if __name__ == "__main__":
    sys.exit(main(case, FOLDER))
