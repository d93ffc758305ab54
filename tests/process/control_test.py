"""Operator commands, drains, moves, maintenance waves and starts during outages and kills."""

import json
import sys
import threading
import time

from harness import LOAD_TIMES, check_orders, fetch, run_all, wait_until

RUNNERS = 6


def start_site(fleet, entry_options=(), platform_options=()):
    fleet.start_platform(*platform_options)
    fleet.start_site(["quotes", "spare"], runners=RUNNERS, entries=3, entry_options=entry_options)
    wait_until(lambda: fetch(fleet.entries["entry0"].ports["admin"], "/readyz")[0] == 200, 30,
               "entry0 is ready")
    for service in ("quotes", "spare"):
        fleet.publish("pool", {"name": service, "min_serving": RUNNERS - 2})
    fleet.publish("profile", {"name": "counter", "floor_slots": 16, "queue_places": 200})
    for service in ("quotes", "spare"):
        fleet.publish("service", {"name": service, "pool": service, "profile": "counter"})
    fleet.wait_serving(2 * RUNNERS)


def list_instances(entry):
    """Returns the rows of the instance list that `entry` serves, by name."""
    rows = json.loads(fetch(entry.ports["admin"], "/v1/admin/instances")[2])["instances"]
    return {row["name"]: row for row in rows}


def running_entry(fleet):
    return next(e for e in fleet.entries.values() if e.child.poll() is None)


def load_plan(seed, seconds):
    return {"seed": seed, "duration": f"{seconds}s", "threads": 128, "streams": [
        {"service": "quotes", "per_second": 100, "work": "20ms", "deadline": "5s"},
        {"service": "quotes", "method": "POST", "per_second": 50, "work": "20ms",
         "deadline": "5s", "keys": True, "repeats": 5}]}


def test_drains_and_moves_under_load_interrupt_no_request(fleet):
    start_site(fleet)
    load = fleet.start_load(load_plan(1, 8 * LOAD_TIMES))
    time.sleep(1)
    code, output = fleet.tool("instance", "drain", "quotes-0")
    assert code == 0, output
    code, output = fleet.tool("instance", "move", "spare-1", "quotes")
    assert code == 0, output
    entry = running_entry(fleet)
    wait_until(lambda: list_instances(entry)["quotes-0"]["generation"] >= 6
               and list_instances(entry)["quotes-0"]["lifecycle"] == "serving", 60,
               "quotes-0 is rebooted and serving")
    wait_until(lambda: list_instances(entry)["spare-1"]["pool"] == "quotes"
               and list_instances(entry)["spare-1"]["lifecycle"] == "serving", 60,
               "spare-1 is moved and serving")
    check_orders(fleet.finish_load(load), min_ran=1)


def test_draining_runner_gets_no_new_requests_and_finishes_running_ones(fleet):
    start_site(fleet)
    port = running_entry(fleet).ports["http"]
    codes = []

    def long_request():
        codes.append(fetch(port, "/v1/services/quotes/x?work_us=6000000", timeout=30,
                           headers={"Wigeonlane-Deadline-Ms": "20000"})[0])
    threads = [threading.Thread(target=long_request) for _ in range(2 * RUNNERS)]
    for thread in threads:
        thread.start()
    control = fleet.backends["quotes-0"].ports["control"]

    def ledger():
        return json.loads(fetch(control, "/ledger")[2])
    wait_until(lambda: ledger()["running"] > 0, 20, "a long request runs on quotes-0")
    code, output = fleet.tool("--wait", "instance", "drain", "quotes-0")
    assert code == 0, output
    time.sleep(0.5)  # A request assigned just before the drain may still arrive.
    executions_in_drain = ledger()["executions"]
    for entry in fleet.entries.values():
        for _ in range(60):
            assert fetch(entry.ports["http"], "/v1/services/quotes/x?work_us=100")[0] == 200
    final = ledger()
    if final["running"] > 0:  # On a slow machine the reboot may have started already.
        assert final["executions"] == executions_in_drain, (executions_in_drain, final)
    for thread in threads:
        thread.join()
    assert codes == [200] * len(threads), codes
    entry = running_entry(fleet)
    wait_until(lambda: list_instances(entry)["quotes-0"]["lifecycle"] == "serving"
               and list_instances(entry)["quotes-0"]["generation"] >= 6, 60,
               "quotes-0 is rebooted and serving")
    assert ledger()["cut_off"] == 0


def test_maintenance_plan_reboots_each_instance_once_within_the_budget(fleet):
    start_site(fleet)
    load = fleet.start_load(load_plan(2, 10 * LOAD_TIMES))
    fleet.publish("plan", {"name": "spring", "pools": ["quotes", "spare"], "most_out": 2})
    entry = running_entry(fleet)
    min_serving = {"quotes": RUNNERS, "spare": RUNNERS}

    def finished():
        pools = json.loads(fetch(entry.ports["admin"], "/v1/admin/pools")[2])["pools"]
        for pool in pools:
            min_serving[pool["name"]] = min(min_serving[pool["name"]], pool["serving"])
        rows = list_instances(entry).values()
        return all(r["maintained"] == "spring@1" and r["lifecycle"] == "serving" for r in rows)
    wait_until(finished, 120, "every instance is maintained")
    assert min(min_serving.values()) >= RUNNERS - 2, min_serving
    boots = json.loads(fetch(fleet.platform.ports["http"], "/instances")[2])["instances"]
    assert {row["name"]: row["boots"] for row in boots} == {n: 2 for n in fleet.backends}, boots
    check_orders(fleet.finish_load(load), min_ran=1)


def test_of_concurrent_publications_one_succeeds_and_the_others_are_refused(fleet):
    start_site(fleet)
    results = []

    def publish(places):
        file = fleet.directory / f"race-{places}.json"
        file.write_text(json.dumps({"name": "counter", "floor_slots": 16, "queue_places": places}))
        results.append(fleet.tool("--replaces", "1", "profile", "publish", file))
    threads = [threading.Thread(target=publish, args=(300 + n,)) for n in range(4)]
    for thread in threads:
        thread.start()
    for thread in threads:
        thread.join()
    assert sorted(code for code, _ in results) == [0, 1, 1, 1], results
    assert all("version" in output for code, output in results if code == 1), results


def test_publishing_survives_lost_responses_outages_and_rollbacks(fleet):
    start_site(fleet)
    file = fleet.directory / "counter.json"
    file.write_text(json.dumps({"name": "counter", "floor_slots": 24, "queue_places": 250}))
    fleet.faults(fleet.platform, lose_append_answers=3)
    code, output = fleet.tool("--wait", "--id", "mine", "profile", "publish", file)
    assert code == 0 and "in force on 3" in output, output
    code, output = fleet.tool("outcome", "mine")
    assert code == 0 and "accepted" in output, output
    # A repeated command with the same id changes nothing and reports the first outcome.
    code, output = fleet.tool("--id", "mine", "profile", "publish", file)
    assert code == 0, output
    code, output = fleet.tool("profile", "rollback", "counter", "1")
    assert code == 0, output
    code, output = fleet.tool("profile", "diff", "counter", "2", "3")
    assert "floor_slots: 24 -> 16" in output, output
    fleet.faults(fleet.platform, log_down=1)
    started = time.monotonic()
    code, output = fleet.tool("--replaces", "3", "profile", "publish", file)
    assert code == 1 and "not-run" in output, output
    assert time.monotonic() - started < 10, "an outage must be reported within 10 seconds"


def test_killed_planner_is_replaced_and_its_drain_finishes(fleet):
    start_site(fleet)
    code, output = fleet.tool("instance", "drain", "quotes-0")
    assert code == 0, output
    fleet.entries["entry0"].kill()
    fleet.entries["entry1"].kill()
    entry = fleet.entries["entry2"]
    wait_until(lambda: list_instances(entry)["quotes-0"]["lifecycle"] == "serving"
               and list_instances(entry)["quotes-0"]["generation"] >= 6, 60,
               "another planner finishes the drain")


def test_new_instance_starts_from_a_snapshot_when_the_log_is_trimmed(fleet):
    start_site(fleet, entry_options=("--snapshot-every", "20"))
    entry = running_entry(fleet)
    for version in range(1, 60):
        code, output = fleet.tool("--id", f"many-{version}", "pool", "rollback", "quotes", str(version))
        if code != 0:
            break
        status = json.loads(fetch(entry.ports["admin"], "/v1/admin/status")[2])
        if "snapshot-written" in "".join(e.log() for e in fleet.entries.values()):
            break
    wait_until(lambda: "snapshot-written" in "".join(e.log() for e in fleet.entries.values()), 30,
               "a snapshot is on the log")
    time.sleep(0.5)
    log = "".join(e.log() for e in fleet.entries.values())
    covers = max(int(line.split("covers=")[1].split()[0]) for line in log.splitlines()
                 if "snapshot-written" in line)
    fetch(fleet.platform.ports["http"], f"/log/trim?to={covers}", "{}")
    new_entry = fleet.start_entry("entry3", "dc0")
    wait_until(lambda: fetch(new_entry.ports["admin"], "/readyz")[0] == 200, 30,
               "the new instance is ready")

    def same_digest():
        digests = [json.loads(fetch(e.ports["admin"], "/v1/admin/digest")[2])
                   for e in fleet.entries.values()]
        return len({(d["next_offset"], d["digest"]) for d in digests}) == 1
    wait_until(same_digest, 20, "all instances have equal offsets and digests")
    assert "snapshot-loaded" in new_entry.log()


def test_new_instance_starts_from_a_peer_while_the_log_is_down(fleet):
    start_site(fleet)
    fleet.faults(fleet.platform, log_down=1)
    new_entry = fleet.start_entry("entry3", "dc0")
    wait_until(lambda: fetch(new_entry.ports["admin"], "/readyz")[0] == 200, 30,
               "the new instance is ready from a peer")
    assert fetch(new_entry.ports["http"], "/v1/services/quotes/x")[0] == 200
    isolated = fleet.start_entry("isolated", "dc0", "--platform", "127.0.0.1:9", seeds=[])
    time.sleep(2)
    assert fetch(isolated.ports["admin"], "/readyz")[0] == 503
    code, headers, _ = fetch(isolated.ports["http"], "/v1/services/quotes/x")
    assert code == 503 and headers["Wigeonlane-Verdict"] == "not-run"


if __name__ == "__main__":
    run_all(sys.modules[__name__])
