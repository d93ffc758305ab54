"""Runners that crash silently, start again under their ids and are cut off, behind relays whose
connections outlive them: calls that were meant for one incarnation are executed by the next one. No
task runs twice at the same time, nor again after it was done."""

import functools
import json
import os
import random
import re
import sys
import time
from concurrent.futures import ThreadPoolExecutor
from pathlib import Path

from harness import LOAD_TIMES, run_all, wait_until
from jobs_test import job_id
from runner_relay import RelayedFleet

WAIT_SECONDS = 15
CUT_SECONDS = 9
FINISH_SECONDS = 90

# Directed cases: one runner in trouble and another one where its tasks may start.
TROUBLED = "runner-0"
OTHER = "runner-1"
# Shorter than the time after which an instance gives a call up (600 ms).
SHORT_DARK_SECONDS = 0.3
# Longer than the lease that the owner counts (5 s), shorter than the longest one (10 s).
LONG_TASK_MILLIS = 8_000
# A deadline on the clock of an incarnation of this age is a lease of nearly 10 s for the next one.
AGE_SECONDS = 8
# Number of connections over which an instance sends starts to one runner.
COMMAND_CONNECTIONS = 3
# Time in which an owner learns over a new connection which incarnation responds.
CONTACT_SECONDS = 0.05

# Cases by seed.
SEEDS = (4,)
INSTANCES = 6
POOLS = {"alpha": 6, "beta": 6}
QUEUES = {"letters": "alpha", "scans": "beta"}
ROUNDS = 3
RUNNERS_IN_TROUBLE = 5
TASKS_PER_JOB = 8
LASTING_JOB = 0x10000
TRACE_LINES = 80


def job_spec(millis, tasks=TASKS_PER_JOB, cpu=400):
    """Returns a job of tasks that last `millis`, or until they are stopped if that is negative."""
    return {"Spec": json.dumps({"ms": millis}),
            "Steps": [{"Count": tasks, "Cpu": cpu, "MemMb": 64, "EstimateMs": max(millis, 1),
                       "LongRunning": millis < 0}]}


def trace(fleet, task):
    """Returns the lines about a task in all logs, and those about the losses of its runners."""
    logs = [(path.stem, path.read_text(errors="replace").splitlines())
            for path in Path(fleet.directory).glob("*.log")]
    of_task = f"task={task} "
    runners = {runner for _, lines in logs for line in lines if of_task in line
               for runner in re.findall(r"runner=(\S+)", line)}
    losses = re.compile(r"event=(?:runner_lost|claim|poll_failed) .*runner=(\S+)")

    def is_relevant(line):
        loss = losses.search(line)
        return of_task in line or (loss is not None and loss.group(1) in runners)
    found = sorted((line.split()[0], name, line) for name, lines in logs for line in lines
                   if is_relevant(line))
    return "\n".join(f"{name}: {line}" for _, name, line in found[:TRACE_LINES])


def check_no_task_ran_twice(fleet):
    ledger = fleet.ledger()
    for how, tasks in (("ran twice at the same time", ledger["at_once"]),
                       ("ran again after it was done", ledger["after_done"])):
        assert not tasks, (f"{tasks} {how}; {ledger['tasks'][tasks[0]]}; logs in "
                           f"{fleet.directory}\n{trace(fleet, tasks[0])}")


def running_tasks(fleet, job):
    return sum(runs["running"] for task, runs in fleet.ledger()["tasks"].items()
               if task.startswith(job))


def restart(fleet, runner):
    fleet.restart_runner(runner)
    fleet.relays[runner].open()


def start_troubled_runner(fleet):
    """Starts an owner with one runner and lets it open its connections; the other one is down."""
    fleet.parts = 1
    fleet.start_store({"alpha": 2})
    fleet.crash(OTHER)
    fleet.set_queues({"letters": "alpha"})
    fleet.start_instances(1)
    fleet.wait_ready()
    fleet.submit("letters", job_id(1), job_spec(50, cpu=500))
    assert fleet.wait_finished([("letters", job_id(1))]) == {job_id(1): "completed"}


def restart_while_starts_wait(fleet, job):
    """Lets the runner crash, sends it starts of a job and lets its next incarnation execute them.
    The directory does not list that incarnation yet, and no poll reaches it."""
    relay = fleet.relays[TROUBLED]
    fleet.crash(TROUBLED)
    fleet.submit("letters", job, job_spec(LONG_TASK_MILLIS, tasks=COMMAND_CONNECTIONS, cpu=500))
    time.sleep(SHORT_DARK_SECONDS)
    fleet.runner_faults(TROUBLED, unlisted=1)
    fleet.restart_runner(TROUBLED)
    relay.hold_polls(True)


def end_cut(fleet, cut_at, jobs):
    """Ends the cut 9 s after its start and checks the jobs."""
    time.sleep(max(0.0, cut_at + CUT_SECONDS - time.monotonic()))
    relay = fleet.relays[TROUBLED]
    fleet.runner_faults(TROUBLED, unlisted=0)
    relay.hold_polls(False)
    relay.open()
    try:
        states = fleet.wait_finished([("letters", job) for job in jobs], FINISH_SECONDS)
    finally:
        check_no_task_ran_twice(fleet)
    assert set(states.values()) == {"completed"}, states
    fleet.check_running()


def test_starts_that_a_later_incarnation_answered_wait_when_their_runner_is_given_up(fleet):
    """Fails if an owner frees starts that were answered with 200 once another start finds a new
    incarnation at the address: the new incarnation gave these answers and runs the tasks."""
    start_troubled_runner(fleet)
    relay = fleet.relays[TROUBLED]
    job, further_job = job_id(2), job_id(3)
    restart_while_starts_wait(fleet, job)
    relay.open()
    wait_until(lambda: running_tasks(fleet, job) == COMMAND_CONNECTIONS, WAIT_SECONDS,
               "the next incarnation runs the tasks")
    time.sleep(CONTACT_SECONDS)
    assert relay.reset_commands(1) == 1
    time.sleep(CONTACT_SECONDS)
    fleet.submit("letters", further_job, job_spec(LONG_TASK_MILLIS, cpu=500))
    time.sleep(CONTACT_SECONDS)
    relay.cut()
    cut_at = time.monotonic()
    restart(fleet, OTHER)
    end_cut(fleet, cut_at, [job, further_job])


def check_starts_wait_for_a_silent_runner(fleet, answers_arrive):
    begin = time.monotonic()
    start_troubled_runner(fleet)
    time.sleep(max(0.0, begin + AGE_SECONDS - time.monotonic()))
    relay = fleet.relays[TROUBLED]
    job = job_id(2)
    restart_while_starts_wait(fleet, job)
    if answers_arrive:
        relay.open()
    else:
        relay.lose_answers()
    wait_until(lambda: running_tasks(fleet, job) == COMMAND_CONNECTIONS, WAIT_SECONDS,
               "the next incarnation runs the tasks")
    if answers_arrive:
        time.sleep(CONTACT_SECONDS)
    relay.cut()
    cut_at = time.monotonic()
    restart(fleet, OTHER)
    end_cut(fleet, cut_at, [job])


def test_starts_that_a_later_incarnation_answered_outlast_the_lease_of_the_former_one(fleet):
    """Fails if an owner that hears no more of a runner counts only the lease by the clock of the
    incarnation that it knew: a later one answered the starts and grants itself 10 s."""
    check_starts_wait_for_a_silent_runner(fleet, answers_arrive=True)


def test_starts_whose_answers_were_lost_outlast_the_lease_of_the_former_incarnation(fleet):
    """Fails for the same with starts that were not answered."""
    check_starts_wait_for_a_silent_runner(fleet, answers_arrive=False)


class Trouble:
    """A series of crashes, restarts and cuts, of owners that are killed, and of jobs, all chosen by
    a seed, as events with a time in seconds."""

    def __init__(self, seed):
        self._random = random.Random(seed)
        self.events = []  # Each is (seconds, number, method of `Play`, arguments).
        self._troubled_until = {f"runner-{index}": 0.0 for index in range(sum(POOLS.values()))}
        self.overlaps = self._random.random() < 0.6
        self.kills = self._random.random() < 0.5
        round_at = 2.0
        for _ in range(ROUNDS):
            end = self._add_round(round_at)
            round_at = round_at + self._random.uniform(3, 5) if self.overlaps else end + 1
        self._add_jobs(max(at for at, *_ in self.events) - CUT_SECONDS / 2)

    def _add(self, at, method, *arguments):
        self.events.append((at, len(self.events), method, arguments))

    def _add_round(self, at):
        """Adds the trouble of about five runners from `at` on; returns when it ends."""
        choose = self._random
        free = [runner for runner, until in self._troubled_until.items() if until < at]
        runners = choose.sample(free, min(RUNNERS_IN_TROUBLE, len(free)))
        dark = choose.choice((0.6, choose.uniform(0.25, 2)))
        until_cut = choose.choice((choose.uniform(1, 2), choose.uniform(0.25, 2)))
        loses_answers = choose.random() < 0.25
        cut_at = at + dark + until_cut
        end = cut_at + CUT_SECONDS
        for runner in runners:
            restart_at = at + dark + choose.uniform(0, 0.05)
            unlisted = choose.choice((0, choose.uniform(0.2, 1.5), choose.uniform(0.5, 3)))
            self._add(at + choose.uniform(0, 0.05), "crash", runner)
            self._add(restart_at, "restart", runner, unlisted > 0)
            if unlisted > 0:
                self._add(restart_at + unlisted, "list", runner)
            if choose.random() < 0.5:
                self._add(restart_at + choose.uniform(0.05, until_cut), "reset", runner)
            self._add(cut_at, "lose_answers" if loses_answers else "cut", runner)
            self._add(end, "open", runner)
            self._troubled_until[runner] = end + 1
        if self.kills and choose.random() < 0.7:
            killed_at = at + dark + choose.uniform(0.3, 1) * until_cut
            self._add(killed_at, "kill_owner", choose.choice(list(QUEUES)))
            self._add(killed_at + choose.uniform(3, 8), "start_killed")
        return end

    def _add_jobs(self, end):
        choose = self._random
        at = 0.0
        number = 1
        while at < end:
            millis = choose.choice((choose.randint(300, 1500), choose.randint(300, 1500),
                                    choose.randint(1500, 5000), choose.randint(5000, 12000)))
            self._add(at, "submit", choose.choice(list(QUEUES)), job_id(number), millis)
            at += choose.uniform(0.05, 0.3)
            number += 1


class Play:
    """Carries out the events of a `Trouble` on a fleet."""

    def __init__(self, fleet):
        self._fleet = fleet
        self._submitters = ThreadPoolExecutor(max_workers=8)
        self._submissions = []
        self._killed = []
        self.jobs = []

    def run(self, trouble):
        begin = time.monotonic()
        for at, _, method, arguments in sorted(trouble.events):
            time.sleep(max(0.0, begin + at - time.monotonic()))
            getattr(self, method)(*arguments)
        for submission in self._submissions:
            submission.result()
        self._submitters.shutdown()

    def submit(self, queue, job, millis):
        self.jobs.append((queue, job))
        self._submissions.append(
            self._submitters.submit(self._fleet.submit, queue, job, job_spec(millis)))

    def crash(self, runner):
        self._fleet.crash(runner)

    def restart(self, runner, is_unlisted):
        self._fleet.runner_faults(runner, unlisted=int(is_unlisted))
        restart(self._fleet, runner)

    def list(self, runner):
        self._fleet.runner_faults(runner, unlisted=0)

    def reset(self, runner):
        self._fleet.relays[runner].reset_commands(1)

    def cut(self, runner):
        self._fleet.relays[runner].cut()

    def lose_answers(self, runner):
        self._fleet.relays[runner].lose_answers()

    def open(self, runner):
        self._fleet.relays[runner].open()

    def kill_owner(self, queue):
        """Kills the instance that accepted a job of the queue last."""
        accepted = {}
        for name, entry in self._fleet.entries.items():
            for at, job in re.findall(r"time=(\S+) .*event=accept job=(\S+)", entry.log()):
                accepted[job] = (at, name)
        last = [accepted[job] for of_queue, job in self.jobs
                if of_queue == queue and job in accepted]
        owner = self._fleet.entries[max(last)[1]]
        if owner.child.poll() is None:
            owner.kill()
            self._killed.append(owner)

    def start_killed(self):
        for owner in self._killed:
            owner.start()
        self._killed = []


def check_seed(seed, fleet):
    """Fails if a task runs twice while runners restart and are cut off, and if a job is lost."""
    print(f"seed {seed}", flush=True)
    fleet.start_store(POOLS)
    fleet.set_queues(QUEUES)
    fleet.start_instances(INSTANCES)
    fleet.wait_ready()
    lasting = [(queue, job_id(LASTING_JOB + index)) for index, queue in enumerate(QUEUES)]
    for queue, job in lasting:
        fleet.submit(queue, job, job_spec(-1))
    play = Play(fleet)
    play.run(Trouble(seed))
    try:
        states = fleet.wait_finished(play.jobs, FINISH_SECONDS)
    finally:
        check_no_task_ran_twice(fleet)
    assert set(states.values()) == {"completed"}, states
    for queue, job in lasting:
        assert fleet.call("DELETE", queue, job)[0] == 200
    assert set(fleet.wait_finished(lasting).values()) == {"cancelled"}
    wait_until(lambda: not any(running_tasks(fleet, job) for _, job in lasting), WAIT_SECONDS,
               "cancelled tasks have ended")
    check_no_task_ran_twice(fleet)
    tasks = fleet.ledger()["tasks"]
    assert len(tasks) == TASKS_PER_JOB * len(play.jobs + lasting), len(tasks)
    for task, runs in tasks.items():
        is_lasting = any(task.startswith(job) for _, job in lasting)
        assert runs["running"] == 0 and (is_lasting or runs["done"] >= 1), (task, runs)
    fleet.check_running()


def chosen_seeds():
    if "WIGEONLANE_FUZZ_SEED" in os.environ:
        return [int(os.environ["WIGEONLANE_FUZZ_SEED"])]
    further = range(max(SEEDS) + 1, max(SEEDS) + 1 + len(SEEDS) * (LOAD_TIMES - 1))
    return [*SEEDS, *further]


for chosen_seed in chosen_seeds():
    globals()[f"test_seed_{chosen_seed}"] = functools.partial(check_seed, chosen_seed)


if __name__ == "__main__":
    run_all(sys.modules[__name__], RelayedFleet)
