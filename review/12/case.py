"""Jobs whose starts a runner refused are left out of the number of jobs that have not begun.

Nine of ten runners are full. The tenth is unhealthy for some seconds and refuses each start with
503. Jobs that are handed in meanwhile wait; none of their tasks has begun anywhere."""

import asyncio
import json
import sys
from pathlib import Path

sys.path.insert(0, str(Path(__file__).resolve().parents[1] / "standin-3"))

from platform3 import CannotRun, as_json, main  # noqa: E402

HOST = "queue.example"
PREFIX = "/desk/"
INSTANCES = ("front-a-1", "front-b-1", "front-c-1")
RUNNERS = 10
JOBS = 10
UNHEALTHY_SECONDS = 6.5
# `visible_ms` of the settings and 2 s, for which `Pending` may be out of date.
COUNTED_AFTER_SECONDS = 5.0


def job(millis, cpu):
    return {"Spec": json.dumps({"ms": millis}),
            "Steps": [{"Count": 1, "Cpu": cpu, "MemMb": 256, "EstimateMs": abs(millis)}]}


async def start(platform):
    """Starts the deployment and fills all runners but one, which is returned."""
    for number in range(RUNNERS):
        await platform.add_runner(f"runner-{number}", "desk", f"rack-{number // 4}")
    for name in INSTANCES:
        await platform.add_instance(name)
    platform.configure(1, [("desk", HOST, PREFIX, "desk", {})])
    for instance in platform.instances.values():
        await platform.wait(instance.is_ready, 20, f"{instance.name} is ready")
    await asyncio.sleep(3)
    first = platform.instances[INSTANCES[0]]
    for number in range(RUNNERS - 1):
        code, _ = await first.call("POST", HOST, f"{PREFIX}{0xf00 + number:016x}", job(60_000, 8000))
        if code != 200:
            raise CannotRun("a job was not accepted")
    runners = platform.runners.values()
    await platform.wait(lambda: sum(len(r.runs) for r in runners) == RUNNERS - 1, 5, "nine run")
    return next(r for r in runners if not r.runs)


def begun(platform, name):
    return any(row[0].startswith(name) for r in platform.runners.values() for row in r.history)


async def case(platform, trouble):
    record, loop = platform.record, asyncio.get_running_loop()
    runner = await start(platform)
    instances = list(platform.instances.values())
    if trouble:
        def refuse(path, fields):
            return as_json(503, {"ClockMs": int(runner.clock())}) if path == "/run-start" else None
        runner.answer = refuse
        record.add(f"{runner.id} is unhealthy: it refuses starts")
    begin = loop.time()
    accepted = {}
    for number in range(JOBS):
        name = f"{0xa00 + number:016x}"
        code, _ = await instances[number % len(instances)].call(
            "POST", HOST, PREFIX + name, job(300, 700))
        if code == 200:
            accepted[name] = loop.time()
    if len(accepted) < JOBS:
        raise CannotRun("a job was not accepted")
    broken = []
    while loop.time() < begin + UNHEALTHY_SECONDS - 0.2:
        for instance in instances:
            sent = loop.time()
            code, text = await instance.call("GET", HOST, PREFIX)
            waiting = [name for name, at in accepted.items()
                       if sent - at > COUNTED_AFTER_SECONDS and not begun(platform, name)]
            if code == 200 and json.loads(text)["Pending"] * 2 < len(waiting):
                broken.append((instance.name, json.loads(text)["Pending"], len(waiting)))
        await asyncio.sleep(0.5)
    for name in list(accepted)[:2]:
        await instances[0].call("GET", HOST, PREFIX + name)
    runner.answer = lambda path, fields: None
    await platform.wait(lambda: all(begun(platform, name) for name in accepted), 10,
                        "all jobs begin in the end")
    if not broken:
        return ""
    name, said, waiting = broken[0]
    return (f"MIXED: {len(broken)} answers; the first, by {name}: {said} jobs are said to wait; "
            f"{waiting} have waited for over {COUNTED_AFTER_SECONDS} s")


main(case, Path(__file__).parent)
