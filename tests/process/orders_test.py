"""Orders during kills, freezes, outages and runner faults: the audit must find no violation."""

import signal
import sys
import time

from harness import LOAD_TIMES, check_orders, fetch, run_all, wait_until

SECONDS = 6 * LOAD_TIMES


def order_load(seed, per_second=120, **stream_fields):
    return {"seed": seed, "duration": f"{SECONDS}s", "threads": 256, "streams": [
        {"service": "orders", "method": "POST", "per_second": per_second, "work": "3ms",
         "deadline": "1500ms", "keys": True, "repeats": 6, **stream_fields}]}


def start_site(fleet, runners=3, entries=3, **profile):
    fleet.start_platform()
    fleet.start_site(["orders"], runners=runners, entries=entries)
    wait_until(lambda: fetch(fleet.entries["entry0"].ports["admin"], "/readyz")[0] == 200, 30,
               "entry0 is ready")
    fleet.publish_service("orders", runners, **profile)
    fleet.wait_serving(runners)


def test_entry_instances_killed_and_restarted_violate_no_order(fleet):
    start_site(fleet)
    load = fleet.start_load(order_load(1))
    for index in range(2):
        time.sleep(SECONDS / 4)
        entry = fleet.entries[f"entry{index}"]
        entry.kill()
        time.sleep(0.3)
        entry.start()
    check_orders(fleet.finish_load(load), min_ran=1)


def test_entry_instances_frozen_and_resumed_violate_no_order(fleet):
    start_site(fleet)
    load = fleet.start_load(order_load(2))
    for index in range(2):
        time.sleep(SECONDS / 6)
        fleet.entries[f"entry{index}"].signal(signal.SIGSTOP)
        time.sleep(SECONDS / 4)
        fleet.entries[f"entry{index}"].signal(signal.SIGCONT)
    check_orders(fleet.finish_load(load), min_ran=1)


def test_runners_frozen_and_resumed_violate_no_order(fleet):
    # The audit needs the ledger of each runner, which a killed runner loses, so this test only
    # freezes runners.
    start_site(fleet, runners=4)
    load = fleet.start_load(order_load(3))
    time.sleep(SECONDS / 4)
    frozen = fleet.backends["orders-0"]
    frozen.signal(signal.SIGSTOP)
    time.sleep(SECONDS / 4)
    frozen.signal(signal.SIGCONT)
    check_orders(fleet.finish_load(load), min_ran=1)


def test_runners_with_faults_violate_no_order(fleet):
    start_site(fleet)
    load = fleet.start_load(order_load(4))
    for _ in range(4):
        time.sleep(SECONDS / 8)
        fleet.faults(fleet.backends["orders-0"], half_answers=5, wrong_ids=5)
        fleet.faults(fleet.backends["orders-1"], double_answers=5, refuse=20)
        fleet.faults(fleet.backends["orders-2"], slow_ms=30)
    check_orders(fleet.finish_load(load), min_ran=1)


def test_runner_that_fails_all_requests_gets_few_requests(fleet):
    start_site(fleet)
    fleet.faults(fleet.backends["orders-0"], fail_all=1)
    load = fleet.start_load(order_load(5, method="GET", keys=False, repeats=0))
    report = fleet.finish_load(load)
    stream = report["streams"][0]
    # Only the few requests before the ejection of the runner and its probes may fail.
    assert stream["ran"] - stream["good"] <= 0.03 * stream["sent"], stream


def test_log_down_slow_or_losing_responses_violates_no_order(fleet):
    start_site(fleet)
    load = fleet.start_load(order_load(6))
    time.sleep(SECONDS / 6)
    fleet.faults(fleet.platform, lose_append_answers=20, duplicate_appends=20)
    time.sleep(SECONDS / 6)
    fleet.faults(fleet.platform, log_down=1)
    time.sleep(SECONDS / 4)
    fleet.faults(fleet.platform, log_down=0, log_delay_ms=150)
    time.sleep(SECONDS / 6)
    fleet.faults(fleet.platform, log_delay_ms=0)
    check_orders(fleet.finish_load(load), min_ran=1)


def test_log_down_affects_no_idempotent_request(fleet):
    start_site(fleet)
    fleet.faults(fleet.platform, log_down=1)
    time.sleep(1)
    load = fleet.start_load(order_load(7, method="GET", keys=False, repeats=0, deadline="30s"))
    stream = fleet.finish_load(load)["streams"][0]
    assert stream["good"] == stream["sent"], stream
    port = fleet.entries["entry0"].ports["http"]
    # The first order is refused when its deadline passes, later orders are refused at once.
    for _ in range(2):
        code, headers, _ = fetch(port, "/v1/services/orders/x", "a", {
            "Idempotency-Key": "during-outage", "Wigeonlane-Deadline-Ms": "800"})
        assert code == 503 and headers["Wigeonlane-Verdict"] == "not-run", (code, headers)
        assert int(headers["Retry-After"]) >= 1
    fleet.faults(fleet.platform, log_down=0)

    def same_key_runs():
        return fetch(port, "/v1/services/orders/x", "a",
                     {"Idempotency-Key": "during-outage"})[1]["Wigeonlane-Verdict"] == "ran"
    wait_until(same_key_runs, 20, "the same key runs after the outage")


def test_orders_to_an_idempotent_backend_run_during_a_log_outage(fleet):
    start_site(fleet, backend_idempotent=True)
    fleet.faults(fleet.platform, log_down=1)
    load = fleet.start_load(order_load(8, deadline="30s"))
    stream = fleet.finish_load(load)["streams"][0]
    assert stream["ran"] == stream["sent"], stream


def test_same_key_at_every_instance_runs_once(fleet):
    start_site(fleet)
    ports = [entry.ports["http"] for entry in fleet.entries.values()]
    for number in range(20):
        responses = [fetch(port, "/v1/services/orders/x?work_us=1000", "pair",
                           {"Idempotency-Key": f"shared-{number}"}) for port in ports]
        assert {headers["Wigeonlane-Verdict"] for _, headers, _ in responses} == {"ran"}, responses
        assert len({body for _, _, body in responses}) == 1, responses
        code, headers, _ = fetch(ports[-1], "/v1/services/orders/x", "other",
                                 {"Idempotency-Key": f"shared-{number}"})
        assert code == 422 and headers["Wigeonlane-Verdict"] == "not-run"
    code, output = fleet.tool("order", "show", "orders", "shared-0")
    assert code == 0 and "claimed" in output, output


if __name__ == "__main__":
    run_all(sys.modules[__name__])
