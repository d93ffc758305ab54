"""Case 6: a gang that ended `done`, and whose end was taken note of, runs again.

The owner of the job is cut off from the store; the gang ends; one of its two runners crashes.
"""

import asyncio
import sys
from pathlib import Path

FOLDER = Path(__file__).resolve().parent
sys.path.insert(0, str(FOLDER.parent / "standin-2"))

from standin import main  # noqa: E402

JOB = "00000000000000a1"
GANG = [{"Count": 2, "Cpu": 20000, "MemMb": 1024, "EstimateMs": 3000, "Gang": True}]
CUT_SECONDS = 5.5  # core_cut of the site files.
CRASH_SECONDS = 4.5  # srv_crash of the site files.
# The second runner of the gang learns of its end a little later than the first.
LAG_SECONDS = 0.03
WATCH_SECONDS = 20


def noted_ends(site):
    return [event for event in site.work.events if event[1] == "noted" and event[5] == "done"]


def started_again(site):
    """A start of a task after its run ended `done`, if that end was taken note of then or later."""
    for end in noted_ends(site):
        done = next(event for event in site.work.events
                    if event[1] == "end" and event[2:5] == end[2:5])
        for start in site.work.starts(JOB):
            if start[2] == end[2] and start[0] > done[0]:
                return (f"TWICE: {start[2]} run {start[3]} starts on {start[4]} at {start[0]:.3f} s; "
                        f"its run {done[3]} ended done on {done[4]} at {done[0]:.3f} s, which was "
                        f"taken note of at {end[0]:.3f} s")
    return None


async def case(site, trouble):
    await site.add_runners("press", 9)
    site.configure({"press": {"Service": "press"}}, ["press"])
    await site.start_instances(6)
    await site.wait_ready("press")
    await asyncio.sleep(2)
    await site.submit("press", JOB, GANG, {})
    await site.until(lambda: len(site.work.starts(JOB)) == 2, 10, "the gang runs")
    await asyncio.sleep(1)
    first, second = (event[4] for event in site.work.starts(JOB)[:2])
    _, owner = site.store.owner_of(JOB)
    others = [each for name, each in site.instances.items() if name != owner]
    if trouble:
        await site.store.cut(owner)
        await asyncio.sleep(0.2)
    site.work.finish(JOB, lag={second: LAG_SECONDS})
    cut_at = site.record.now()
    if trouble:
        await site.until(lambda: any(event[4] == second for event in noted_ends(site)), 0.6,
                         "the end at the second runner is taken note of")
        await site.runners[first].crash()
        await asyncio.sleep(CRASH_SECONDS)
        await site.runners[first].start()
        await asyncio.sleep(max(0, cut_at + CUT_SECONDS - 0.2 - site.record.now()))
        await site.store.heal(owner)
    while site.record.now() < cut_at + WATCH_SECONDS and not started_again(site):
        await asyncio.sleep(0.1)
    site.record.note(f"the job is shown as {await site.state('press', JOB, others[0])}")
    return started_again(site)


if __name__ == "__main__":
    sys.exit(main(case, FOLDER))
