"""Operators, planners, drains, waves and starts through outages and kills."""

import json
import sys
import threading
import time

from harness import TIMES, check_orders, fetch, run_all, wait_until

RUNNERS = 6


def site(fleet, entry_options=(), platform_options=()):
    fleet.start_platform(*platform_options)
    fleet.start_site(["quotes", "spare"], runners=RUNNERS, entries=3, entry_options=entry_options)
    wait_until(lambda: fetch(fleet.entries["entry0"].ports["admin"], "/readyz")[0] == 200, 30,
               "ready")
    for service in ("quotes", "spare"):
        fleet.publish("pool", {"name": service, "min_serving": RUNNERS - 2})
    fleet.publish("profile", {"name": "counter", "floor_slots": 16, "queue_places": 200})
    for service in ("quotes", "spare"):
        fleet.publish("service", {"name": service, "pool": service, "profile": "counter"})
    fleet.wait_serving(2 * RUNNERS)


def instances(entry):
    rows = json.loads(fetch(entry.ports["admin"], "/v1/admin/instances")[2])["instances"]
    return {row["name"]: row for row in rows}


def live_entry(fleet):
    return next(e for e in fleet.entries.values() if e.child.poll() is None)


def load_plan(seed, seconds):
    return {"seed": seed, "duration": f"{seconds}s", "threads": 128, "streams": [
        {"service": "quotes", "per_second": 100, "work": "20ms", "deadline": "5s"},
        {"service": "quotes", "method": "POST", "per_second": 50, "work": "20ms",
         "deadline": "5s", "keys": True, "repeats": 5}]}


def test_drains_and_moves_under_load_cut_nothing_off(fleet):
    site(fleet)
    load = fleet.start_load(load_plan(1, 8 * TIMES))
    time.sleep(1)
    code, output = fleet.tool("instance", "drain", "quotes-0")
    assert code == 0, output
    code, output = fleet.tool("instance", "move", "spare-1", "quotes")
    assert code == 0, output
    entry = live_entry(fleet)
    wait_until(lambda: instances(entry)["quotes-0"]["generation"] >= 6
               and instances(entry)["quotes-0"]["lifecycle"] == "serving", 60, "drained and back")
    wait_until(lambda: instances(entry)["spare-1"]["pool"] == "quotes"
               and instances(entry)["spare-1"]["lifecycle"] == "serving", 60, "moved and serving")
    check_orders(fleet.finish_load(load), least_ran=1)


def test_a_draining_runner_gets_no_new_work_and_is_waited_for(fleet):
    site(fleet)
    port = live_entry(fleet).ports["http"]
    answers = []

    def long_request():
        answers.append(fetch(port, "/v1/services/quotes/x?work_us=6000000", timeout=30,
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
    time.sleep(0.5)  # A request chosen just before the drain may still be on its way.
    before = ledger()["executions"]
    for entry in fleet.entries.values():
        for _ in range(60):
            assert fetch(entry.ports["http"], "/v1/services/quotes/x?work_us=100")[0] == 200
    after = ledger()
    if after["running"] > 0:  # Else the machine was so slow that the reboot has begun.
        assert after["executions"] == before, (before, after)
    for thread in threads:
        thread.join()
    assert answers == [200] * len(threads), answers
    entry = live_entry(fleet)
    wait_until(lambda: instances(entry)["quotes-0"]["lifecycle"] == "serving"
               and instances(entry)["quotes-0"]["generation"] >= 6, 60, "rebooted and back")
    assert ledger()["cut_off"] == 0


def test_a_maintenance_plan_reboots_each_instance_once_inside_the_budget(fleet):
    site(fleet)
    load = fleet.start_load(load_plan(2, 10 * TIMES))
    fleet.publish("plan", {"name": "spring", "pools": ["quotes", "spare"], "most_out": 2})
    entry = live_entry(fleet)
    lowest = {"quotes": RUNNERS, "spare": RUNNERS}

    def finished():
        pools = json.loads(fetch(entry.ports["admin"], "/v1/admin/pools")[2])["pools"]
        for pool in pools:
            lowest[pool["name"]] = min(lowest[pool["name"]], pool["serving"])
        rows = instances(entry).values()
        return all(r["maintained"] == "spring@1" and r["lifecycle"] == "serving" for r in rows)
    wait_until(finished, 120, "every instance maintained")
    assert min(lowest.values()) >= RUNNERS - 2, lowest
    boots = json.loads(fetch(fleet.platform.ports["http"], "/instances")[2])["instances"]
    assert {row["name"]: row["boots"] for row in boots} == {n: 2 for n in fleet.backends}, boots
    check_orders(fleet.finish_load(load), least_ran=1)


def test_two_operators_racing_one_wins_and_the_other_is_told(fleet):
    site(fleet)
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


def test_publishing_through_lost_answers_outages_and_rollbacks(fleet):
    site(fleet)
    file = fleet.directory / "counter.json"
    file.write_text(json.dumps({"name": "counter", "floor_slots": 24, "queue_places": 250}))
    fleet.faults(fleet.platform, lose_append_answers=3)
    code, output = fleet.tool("--wait", "--id", "mine", "profile", "publish", file)
    assert code == 0 and "in force on 3" in output, output
    code, output = fleet.tool("outcome", "mine")
    assert code == 0 and "accepted" in output, output
    # The same id again changes nothing and tells the first outcome.
    code, output = fleet.tool("--id", "mine", "profile", "publish", file)
    assert code == 0, output
    code, output = fleet.tool("profile", "rollback", "counter", "1")
    assert code == 0, output
    code, output = fleet.tool("profile", "diff", "counter", "2", "3")
    assert "floor_slots: 24 -> 16" in output, output
    fleet.faults(fleet.platform, log_down=1)
    began = time.monotonic()
    code, output = fleet.tool("--replaces", "3", "profile", "publish", file)
    assert code == 1 and "not-run" in output, output
    assert time.monotonic() - began < 10, "an outage must be told promptly"


def test_a_killed_planner_is_replaced_and_its_drain_finished(fleet):
    site(fleet)
    code, output = fleet.tool("instance", "drain", "quotes-0")
    assert code == 0, output
    fleet.entries["entry0"].kill()
    fleet.entries["entry1"].kill()
    entry = fleet.entries["entry2"]
    wait_until(lambda: instances(entry)["quotes-0"]["lifecycle"] == "serving"
               and instances(entry)["quotes-0"]["generation"] >= 6, 60, "taken over and finished")


def test_a_new_instance_starts_from_a_snapshot_on_a_trimmed_log(fleet):
    site(fleet, entry_options=("--snapshot-every", "20"))
    entry = live_entry(fleet)
    for version in range(1, 60):
        code, output = fleet.tool("--id", f"many-{version}", "pool", "rollback", "quotes", str(version))
        if code != 0:
            break
        status = json.loads(fetch(entry.ports["admin"], "/v1/admin/status")[2])
        if "snapshot-written" in "".join(e.log() for e in fleet.entries.values()):
            break
    wait_until(lambda: "snapshot-written" in "".join(e.log() for e in fleet.entries.values()), 30,
               "a snapshot on the log")
    time.sleep(0.5)
    log = "".join(e.log() for e in fleet.entries.values())
    covers = max(int(line.split("covers=")[1].split()[0]) for line in log.splitlines()
                 if "snapshot-written" in line)
    fetch(fleet.platform.ports["http"], f"/log/trim?to={covers}", "{}")
    fresh = fleet.start_entry("entry3", "dc0")
    wait_until(lambda: fetch(fresh.ports["admin"], "/readyz")[0] == 200, 30, "fresh instance ready")

    def same_digest():
        digests = [json.loads(fetch(e.ports["admin"], "/v1/admin/digest")[2])
                   for e in fleet.entries.values()]
        return len({(d["next_offset"], d["digest"]) for d in digests}) == 1
    wait_until(same_digest, 20, "equal offsets have equal digests")
    assert "snapshot-loaded" in fresh.log()


def test_a_new_instance_starts_from_a_peer_while_the_log_is_down(fleet):
    site(fleet)
    fleet.faults(fleet.platform, log_down=1)
    fresh = fleet.start_entry("entry3", "dc0")
    wait_until(lambda: fetch(fresh.ports["admin"], "/readyz")[0] == 200, 30, "ready from a peer")
    assert fetch(fresh.ports["http"], "/v1/services/quotes/x")[0] == 200
    lonely = fleet.start_entry("lonely", "dc0", "--platform", "127.0.0.1:9", seeds=[])
    time.sleep(2)
    assert fetch(lonely.ports["admin"], "/readyz")[0] == 503
    code, headers, _ = fetch(lonely.ports["http"], "/v1/services/quotes/x")
    assert code == 503 and headers["Wigeonlane-Verdict"] == "not-run"


if __name__ == "__main__":
    run_all(sys.modules[__name__])
