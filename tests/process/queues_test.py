"""Queues whose routes are renamed and moved to other services under the same address: an id that
was accepted there stays one job."""

import json
import sys

from harness import run_all, wait_until
from jobs_test import job_id, job_spec, start_site
from job_fleet import JobFleet

WAIT_SECONDS = 15


def starts(fleet):
    return {name: task["starts"] for name, task in fleet.ledger()["tasks"].items()}


def publish(fleet, queues):
    """Publishes the queues and waits until every instance has read them."""
    fleet.set_queues(queues)
    version = f"event=config from={fleet.version - 1} to={fleet.version} "
    started_with = f"event=config from=0 to={fleet.version} "

    def is_read(entry):
        return version in entry.log() or started_with in entry.log()
    wait_until(lambda: all(map(is_read, fleet.entries.values())), WAIT_SECONDS,
               f"version {fleet.version} read")


def call(fleet, method, queue, job, entry, body=None):
    """Repeats a request while it is refused for now, as callers do: just after a start, instances
    and owners may not have the same configuration yet. Returns the code and the body."""
    answers = []

    def is_answered():
        answers.append(fleet.call(method, queue, job, body, instance=entry))
        return answers[-1][0] != 503
    wait_until(is_answered, WAIT_SECONDS, f"{entry.name} answers {method} of {job} at {queue}")
    return answers[-1]


def check_known(fleet, queue, job, spec):
    """Requires that every instance finds the completed job, and that its repeated request makes no
    second one."""
    expected = starts(fleet)
    for entry in fleet.entries.values():
        answer = call(fleet, "GET", queue, job, entry)
        assert answer == (200, {"State": "completed"}), (entry.name, answer)
        answer = call(fleet, "POST", queue, job, entry, json.dumps(spec))
        assert answer[0] == 200, (entry.name, answer)
        answer = call(fleet, "DELETE", queue, job, entry)
        assert answer[0] == 200, (entry.name, answer)
    ledger = fleet.ledger()
    assert starts(fleet) == expected and not ledger["after_done"], ledger


def test_job_of_a_renamed_and_moved_queue_is_found_and_not_run_again(fleet):
    """Fails if a job is looked for by the name of its queue, which callers never see."""
    start_site(fleet)
    job, spec = job_id(0x1000), job_spec()
    fleet.submit("letters", job, spec)
    fleet.wait_finished([("letters", job)])
    others = {"bills": "alpha", "scans": "beta"}
    for queue in ({"Service": "beta", "Name": "renamed"}, {"Service": "beta", "Name": "letters"},
                  {"Service": "alpha", "Name": "again"}):
        publish(fleet, {"letters": queue, **others})
        check_known(fleet, "letters", job, spec)
    publish(fleet, others)
    publish(fleet, {"letters": {"Service": "beta", "Name": "back"}, **others})
    check_known(fleet, "letters", job, spec)
    for entry in fleet.entries.values():
        entry.kill()
    fleet.set_queues({"letters": {"Service": "alpha", "Name": "last"}, **others})
    for entry in fleet.entries.values():
        entry.start()
    fleet.wait_ready()
    check_known(fleet, "letters", job, spec)


def test_jobs_of_two_swapped_queues_are_found_at_their_own_address(fleet):
    """Fails if the jobs follow the name or the service when two queues exchange both."""
    start_site(fleet)
    spec = job_spec()
    jobs = {"letters": job_id(0x1000), "scans": job_id(0x2000)}
    for queue, job in jobs.items():
        fleet.submit(queue, job, spec)
    fleet.wait_finished(list(jobs.items()))
    publish(fleet, {"letters": {"Service": "beta", "Name": "scans"}, "bills": "alpha",
                    "scans": {"Service": "alpha", "Name": "letters"}})
    for queue, job in jobs.items():
        check_known(fleet, queue, job, spec)
    entry = next(iter(fleet.entries.values()))
    assert call(fleet, "GET", "letters", jobs["scans"], entry)[0] == 410
    assert call(fleet, "GET", "scans", jobs["letters"], entry)[0] == 410


if __name__ == "__main__":
    run_all(sys.modules[__name__], JobFleet)
