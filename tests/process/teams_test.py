"""API keys of teams on real processes: unknown and revoked keys, instances out of touch."""

import json
import sys

from harness import run_all, wait_until
from jobs_test import job_id, job_spec
from job_fleet import HOST
from fleet import fetch
from store_gate import GatedFleet

POOLS = {"alpha": 3}
ROUTES = {"letters": {"Service": "alpha"}, "news": {"Service": "alpha", "Public": True}}
WAIT_SECONDS = 20
SETTINGS = """Bounds.StrictRevoke=true
Bounds.RevokeMs=3000
Bounds.ConfigApplyMs=2000
"""
KEYS = {"red": ["red-key-1", "red-key-2"], "blue": ["blue-key-1"]}


class TeamFleet(GatedFleet):
    """A fleet whose configuration has teams."""

    def __init__(self, build):
        super().__init__(build)
        self.teams = KEYS

    def further_config(self):
        return {"Tenants": [{"Name": name, "ApiKeys": keys, "Priority": 1, "Weight": 50,
                             "Cap": {"Cpu": 0, "MemMb": 0, "Gpus": 0}}
                            for name, keys in self.teams.items()]}

    def wait_ready(self, seconds=30):
        for entry in self.entries.values():
            wait_until(lambda entry=entry: fetch(entry.ports["ready"], "/ready")[0] == 200, seconds,
                       f"{entry.name} ready")


def call(fleet, method, job, key=None, instance="instance0", queue="letters"):
    entry = fleet.entries[instance]
    headers = {"Host": HOST, **({"Authorization": f"Bearer {key}"} if key else {})}
    body = json.dumps(job_spec(millis=10)) if method == "POST" else None
    try:
        return fetch(entry.ports["http"], f"/{queue}/{job}", body, headers, method=method)[0]
    except OSError:
        return 0


def start_site(fleet, instances=2):
    fleet.further_settings = SETTINGS
    fleet.start_store(POOLS)
    fleet.set_queues(ROUTES)
    fleet.start_instances(instances)
    fleet.wait_ready()


def submit(fleet, job, key):
    wait_until(lambda: call(fleet, "POST", job, key) == 200, WAIT_SECONDS, f"{job} accepted")


def test_every_call_needs_a_known_key_unless_its_queue_is_public(fleet):
    start_site(fleet)
    job = job_id(0x1000)
    submit(fleet, job, "red-key-1")
    for method in ("POST", "GET", "DELETE"):
        assert call(fleet, method, job) == 401, method
        assert call(fleet, method, job, "unknown-key") == 401, method
    assert call(fleet, "GET", "", "unknown-key") == 401
    assert call(fleet, "GET", job, "red-key-2") == 200
    wait_until(lambda: call(fleet, "POST", job_id(0x2000), queue="news") == 200, WAIT_SECONDS,
               "public queue served")
    logs = "".join(entry.log() for entry in fleet.entries.values())
    metrics = "".join(fetch(entry.ports["metrics"], "/metrics")[2]
                      for entry in fleet.entries.values())
    for key in ("red-key", "blue-key", "unknown-key"):
        assert key not in logs and key not in metrics, key


def test_revoked_key_is_rejected_and_its_jobs_go_on(fleet):
    start_site(fleet)
    job = job_id(0x1000)
    submit(fleet, job, "red-key-1")
    fleet.teams = {"red": ["red-key-2"], "blue": ["blue-key-1"]}
    fleet.set_queues(ROUTES)
    for name in fleet.entries:
        wait_until(lambda name=name: call(fleet, "GET", job, "red-key-1", name) == 401,
                   WAIT_SECONDS, f"{name} rejects the revoked key")
    wait_until(lambda: call(fleet, "GET", job, "red-key-2") == 200, WAIT_SECONDS, "job is shown")


def test_configuration_with_one_key_in_two_teams_is_refused(fleet):
    start_site(fleet)
    submit(fleet, job_id(0x1000), "red-key-1")
    fleet.teams = {"red": ["red-key-1"], "blue": ["red-key-1"]}
    fleet.set_queues(ROUTES)
    for entry in fleet.entries.values():
        wait_until(lambda entry=entry: "unreadable_config" in entry.log(), WAIT_SECONDS, "refused")
        assert "red-key-1" not in entry.log()
    assert call(fleet, "GET", job_id(0x1000), "red-key-2") == 200


def test_instance_without_the_store_accepts_no_key(fleet):
    """Fails if an instance that cannot read a revocation goes on to accept the key."""
    start_site(fleet, 3)
    job = job_id(0x1000)
    submit(fleet, job, "red-key-1")
    wait_until(lambda: call(fleet, "GET", job, "red-key-1", "instance2") == 200, WAIT_SECONDS, "served")
    fleet.gates["instance2"].close()
    fleet.teams = {"red": ["red-key-2"], "blue": ["blue-key-1"]}
    fleet.set_queues(ROUTES)
    wait_until(lambda: call(fleet, "GET", job, "red-key-1", "instance2") == 503, WAIT_SECONDS,
               "the key is refused for now")
    assert call(fleet, "GET", job, "red-key-2", "instance2") == 503
    assert call(fleet, "GET", job, "unknown-key", "instance2") == 503
    assert call(fleet, "GET", job, None, "instance2") == 401
    fleet.gates["instance2"].open()
    wait_until(lambda: call(fleet, "GET", job, "red-key-2", "instance2") == 200, WAIT_SECONDS,
               "served again")
    assert call(fleet, "GET", job, "red-key-1", "instance2") == 401


if __name__ == "__main__":
    run_all(sys.modules[__name__], TeamFleet)
