"""Case 7: tasks that last are never started on a queue with `Advice`.

The operator adds a route with `Advice`, and a client hands a job of lasting tasks in there. Without
the change of the configuration the job goes to the route that exists.
"""

import asyncio
import sys
from pathlib import Path

FOLDER = Path(__file__).resolve().parent
sys.path.insert(0, str(FOLDER.parent / "standin-2"))

from standin import main  # noqa: E402

SHORT_JOB = "00000000000000d0"
JOB = "00000000000000d1"
TASKS = 5
LASTING = [{"Count": TASKS, "Cpu": 2600, "MemMb": 8700, "EstimateMs": 1000, "AntiAffinity": 1,
            "LongRunning": True, "MayMiss": 1}]
SHORT = [{"Count": 2, "Cpu": 2600, "MemMb": 1024, "EstimateMs": 300}]
ADVICE = {"DecisionMs": 20, "IntervalMs": 2, "ValidMs": 3000}
CONFIG_APPLY_SECONDS = 2
FINISH_SECONDS = 14
WITHOUT_RUN_SECONDS = 3


async def case(site, trouble):
    await site.start_advisor(ADVICE)
    await site.add_runners("press", 9)
    routes = {"watch": {"Service": "press", "MaxAttempts": 3}}
    site.configure(routes, ["press"])
    await site.start_instances(6)
    await site.wait_ready("watch")
    await asyncio.sleep(2)
    queue = "watch"
    if trouble:
        queue = "guarded"
        routes[queue] = {"Service": "press", "MaxAttempts": 3, "Advice": ADVICE}
        site.configure(routes, ["press"])
        site.work.advised_jobs.update([SHORT_JOB, JOB])
        await asyncio.sleep(CONFIG_APPLY_SECONDS + 1)
    # A short job shows that the queue, and the advisor where it has one, work.
    await site.submit(queue, SHORT_JOB, SHORT, {"ms": 300})
    await site.submit(queue, JOB, LASTING, {})
    await asyncio.sleep(FINISH_SECONDS + WITHOUT_RUN_SECONDS + 1)
    short_state = await site.state(queue, SHORT_JOB)
    state = await site.state(queue, JOB)
    starts = len(site.work.starts(JOB))
    site.record.note(f"the short job is shown as {short_state}, the lasting one as {state} after "
                     f"{starts} starts")
    if short_state == "completed" and starts == 0:
        return (f"LOST: the job of {TASKS} lasting tasks was accepted "
                f"{FINISH_SECONDS + WITHOUT_RUN_SECONDS + 1} s ago and no task has ever been "
                f"started, with nine idle runners that the advisor allows; it is shown as {state}")
    return None


if __name__ == "__main__":
    sys.exit(main(case, FOLDER))
