"""Cancels beside an instance that is cut off from the store or frozen: no task of a job starts
later than CANCEL_SECONDS after its cancel was acknowledged."""

import itertools
import json
import re
import signal
import socket
import sys
import threading
import time
from dataclasses import dataclass

from harness import fetch, run_all, wait_until
from job_fleet import HOST
from jobs_test import job_id, job_spec, start_site
from store_gate import GatedFleet

QUEUE = "letters"
CANCEL_SECONDS = 3  # cancel_ms of the rules.
VISIBLE_SECONDS = 3  # visible_ms of the rules.
CUT_SECONDS = 7.5
WAIT_SECONDS = 15
CALLER_TIMEOUT_SECONDS = 1
CANCEL_CODES = (200, 202, 204, 410)

# Each step has one task of 0.5 s and waits for the one before, so tasks start for at least 11.5 s.
CHAIN = job_spec(millis=500, steps=[(1, ())] + [(1, (step,)) for step in range(23)])
SHORT = job_spec(millis=20, steps=((1, ()),))


@dataclass
class Cancel:
    """A cancel that was acknowledged."""
    code: int
    instance: str
    acknowledged_at: float
    refusals: list


def cancel(fleet, job, instances):
    """Sends the cancel to the instances in turn until one acknowledges it."""
    refusals = []
    deadline = time.monotonic() + WAIT_SECONDS
    for entry in itertools.cycle(instances):
        code, _ = fleet.call("DELETE", QUEUE, job, instance=entry)
        if code in CANCEL_CODES:
            return Cancel(code, entry.name, time.monotonic(), refusals)
        refusals.append((entry.name, code))
        assert time.monotonic() < deadline, f"cancel of {job} not acknowledged: {refusals}"
        time.sleep(0.1)


def submit_at(fleet, job, spec, entry):
    """Submits a job at one instance and repeats the request until the job is accepted."""
    body = json.dumps(spec)
    wait_until(lambda: fleet.call("POST", QUEUE, job, body, instance=entry)[0] == 200,
               WAIT_SECONDS, f"{job} accepted by {entry.name}")


def starts_of(fleet, job):
    return sum(task["starts"] for name, task in fleet.ledger()["tasks"].items()
               if name.startswith(f"{job}."))


def sleep_until(moment):
    time.sleep(max(0, moment - time.monotonic()))


def starts_within_bound(fleet, cancels):
    """Waits until CANCEL_SECONDS after each acknowledgement; returns the starts of each job, which
    must be its last."""
    starts = {}
    for job, done in sorted(cancels.items(), key=lambda item: item[1].acknowledged_at):
        sleep_until(done.acknowledged_at + CANCEL_SECONDS)
        starts[job] = starts_of(fleet, job)
    return starts


def check_no_late_starts(fleet, cancels, starts_before):
    """Requires that no cancelled job has started a task since `starts_before` was counted."""
    late = []
    for job, done in cancels.items():
        starts = starts_of(fleet, job)
        if starts > starts_before[job]:
            late.append(f"{job}: {starts - starts_before[job]} starts, shown as "
                        f"{fleet.state(QUEUE, job)}, {done}")
    assert not late, f"starts later than {CANCEL_SECONDS} s after the acknowledgement: {late}"


def store_owners(fleet):
    """Returns the name of the instance that owns each cell according to the store."""
    code, _, text = fetch(fleet.store_port, "/log-owners?group=wigeonlane")
    assert code == 200, text
    return {cell: member.split("|")[0] for _, cell, member, _ in json.loads(text)["parts"]}


def wait_settled(fleet):
    """Waits until every cell has had the same owner for a second."""
    def settled():
        before = store_owners(fleet)
        time.sleep(1)
        return len(before) == fleet.parts and store_owners(fleet) == before
    wait_until(settled, WAIT_SECONDS, "owners of the cells settled")


def find_cell(fleet, number):
    """Submits a job to QUEUE; returns its cell and the cell's owner once nothing runs."""
    probe = job_id(number)
    fleet.submit(QUEUE, probe, SHORT)
    fleet.wait_finished([(QUEUE, probe)])
    name = fleet.owner_of(probe)
    accept = re.search(f"event=accept job={probe} cell=([0-9]+)", fleet.entries[name].log())
    return int(accept[1]), fleet.entries[name]


def start_gated_site(fleet):
    """Starts a site whose instances have all served calls on QUEUE."""
    start_site(fleet)
    wait_settled(fleet)
    for entry in fleet.entries.values():
        code, _ = fleet.call("GET", QUEUE, job_id(1), instance=entry)
        assert code == 410, (entry.name, code)


def others_than(fleet, excluded):
    return [entry for entry in fleet.entries.values() if entry is not excluded]


def wait_reassigned(fleet, cell, former):
    """Waits until the store has assigned the cell to another instance, and the others know it. A
    submission that they forward to the former owner would make the job known there."""
    def reassigned(entry):
        owners = [line for line in entry.log().splitlines() if "event=owners " in line]
        return f" {cell}:" in owners[-1] and f" {cell}:{former.name}|" not in owners[-1]
    wait_until(lambda: all(map(reassigned, others_than(fleet, former))), WAIT_SECONDS,
               f"cell {cell} assigned to another instance than {former.name}")


def cut_off_owner(fleet):
    """Cuts the owner of QUEUE's cell off from the store and waits until another instance owns the
    cell. Returns the former owner and the time of the cut."""
    cell, former = find_cell(fleet, 2)
    fleet.gates[former.name].close()
    cut_at = time.monotonic()
    wait_reassigned(fleet, cell, former)
    return former, cut_at


def check_cancel_at_former_owner(fleet, seconds_after_cut):
    start_gated_site(fleet)
    former, cut_at = cut_off_owner(fleet)
    others = others_than(fleet, former)
    job, cancelled_elsewhere, uncancelled = (job_id(0x1000 + number) for number in range(3))
    for each in (job, cancelled_elsewhere, uncancelled):
        submit_at(fleet, each, CHAIN, others[0])
    sleep_until(cut_at + seconds_after_cut)
    cancels = {job: cancel(fleet, job, [former, *others]),
               cancelled_elsewhere: cancel(fleet, cancelled_elsewhere, others)}
    assert cancels[cancelled_elsewhere].code == 200, cancels
    starts = starts_within_bound(fleet, cancels)
    uncancelled_starts = starts_of(fleet, uncancelled)
    sleep_until(cut_at + CUT_SECONDS)
    fleet.gates[former.name].open()
    time.sleep(2)
    assert starts_of(fleet, uncancelled) > uncancelled_starts, "nothing starts on this site"
    check_no_late_starts(fleet, cancels, starts)


def test_cancel_at_former_owner_just_after_the_loss_of_its_cell_is_final(fleet):
    """Fails if an instance answers 410 from the memory of a cell that the store has given away,
    while its authority by the last renewal (3 s) outlasts its ownership (1 s)."""
    check_cancel_at_former_owner(fleet, seconds_after_cut=0)


def test_cancel_at_former_owner_without_authority_is_final(fleet):
    """Fails if an instance answers 410 from the memory of a cell after the end of its authority."""
    check_cancel_at_former_owner(fleet, seconds_after_cut=4)


def test_show_at_former_owner_of_accepted_job_is_not_gone(fleet):
    """Fails if an instance answers 410 to a GET from the memory of a cell that it lost."""
    start_gated_site(fleet)
    former, _ = cut_off_owner(fleet)
    other = others_than(fleet, former)[0]
    job = job_id(0x1000)
    submit_at(fleet, job, CHAIN, other)
    time.sleep(VISIBLE_SECONDS)
    assert fleet.call("GET", QUEUE, job, instance=other)[0] == 200
    code, body = fleet.call("GET", QUEUE, job, instance=former)
    assert code != 410, f"{former.name} answers {code} {body} for a job accepted by {other.name}"


def send_request(entry, method, job, body=""):
    """Sends a request on a new connection, whether the instance reads it or not."""
    sock = socket.create_connection(("127.0.0.1", entry.ports["http"]), timeout=WAIT_SECONDS)
    sock.sendall(f"{method} /{QUEUE}/{job} HTTP/1.1\r\nHost: {HOST}\r\n"
                 f"X-Wigeonlane-Deadline-Ms: {CALLER_TIMEOUT_SECONDS * 1000}\r\n"
                 f"Content-Type: application/json\r\nContent-Length: {len(body)}\r\n\r\n"
                 f"{body}".encode())
    return sock


def receive_code(sock):
    """Returns the status code of the response, and closes the connection."""
    with sock:
        return int(re.match(rb"HTTP/1.1 ([0-9]{3}) ", sock.recv(65536))[1])


def check_cancel_read_by_resumed_owner(fleet, frozen_seconds):
    """Cancels a job at an instance that owned its cell before it was frozen."""
    start_gated_site(fleet)
    cell, former = find_cell(fleet, 2)
    former.signal(signal.SIGSTOP)
    frozen_at = time.monotonic()
    wait_reassigned(fleet, cell, former)
    others = others_than(fleet, former)
    job, uncancelled = job_id(0x1000), job_id(0x1001)
    for each in (job, uncancelled):
        submit_at(fleet, each, CHAIN, others[0])
    sock = send_request(former, "DELETE", job)
    sleep_until(frozen_at + frozen_seconds)
    former.signal(signal.SIGCONT)
    code = receive_code(sock)
    if code in CANCEL_CODES:
        done = Cancel(code, former.name, time.monotonic(), [])
    else:
        done = cancel(fleet, job, others)
        done.refusals.insert(0, (former.name, code))
    starts = starts_within_bound(fleet, {job: done})
    uncancelled_starts = starts_of(fleet, uncancelled)
    time.sleep(2)
    assert starts_of(fleet, uncancelled) > uncancelled_starts, "nothing starts on this site"
    check_no_late_starts(fleet, {job: done}, starts)


def test_cancel_read_by_owner_resumed_before_the_end_of_its_authority_is_final(fleet):
    """Fails if an instance answers 410 from the memory of a cell that it lost while it was frozen,
    before its next renewal tells it so."""
    check_cancel_read_by_resumed_owner(fleet, frozen_seconds=2.5)


def test_cancel_read_by_owner_resumed_after_the_end_of_its_authority_is_final(fleet):
    """The same, when the authority by its last renewal (3 s) has ended meanwhile."""
    check_cancel_read_by_resumed_owner(fleet, frozen_seconds=5)


def test_call_is_logged_by_the_name_of_its_request(fleet):
    """Fails if a caller's request cannot be found in the logs by the name that the caller gave it."""
    start_gated_site(fleet)
    entry = next(iter(fleet.entries.values()))
    fetch(entry.ports["http"], f"/{QUEUE}/{job_id(0x3000)}",
          headers={"Host": HOST, "Request-Id": "9f48a95f134305da"}, method="DELETE")
    expected = f"event=call job={job_id(0x3000)} request=9f48a95f134305da method=DELETE"
    wait_until(lambda: expected in entry.log(), WAIT_SECONDS, f"{entry.name} logs {expected}")


def check_submission_that_arrives_late(fleet, jobs, connections_stay_open):
    """Submits `jobs` at a frozen instance, cancels them at others, and resumes the instance after
    CANCEL_SECONDS."""
    cell, owner = find_cell(fleet, 2)
    # The stand-in store keeps the owners of the first cells when the last member expires.
    frozen = others_than(fleet, owner)[-1]
    running = others_than(fleet, frozen)
    cancelled_elsewhere, uncancelled = job_id(0x2000), job_id(0x2001)
    frozen.signal(signal.SIGSTOP)
    sockets = [send_request(frozen, "POST", job, json.dumps(CHAIN)) for job in jobs]
    time.sleep(CALLER_TIMEOUT_SECONDS)
    if not connections_stay_open:
        for sock in sockets:
            sock.close()
    for job in (cancelled_elsewhere, uncancelled):
        submit_at(fleet, job, CHAIN, running[0])
    cancels = {job: cancel(fleet, job, running) for job in (*jobs, cancelled_elsewhere)}
    assert cancels[cancelled_elsewhere].code == 200, (cell, cancels)
    starts = starts_within_bound(fleet, cancels)
    assert not any(starts[job] for job in jobs), "a submission arrived before its cancel"
    uncancelled_starts = starts_of(fleet, uncancelled)
    time.sleep(0.5)
    frozen.signal(signal.SIGCONT)
    wait_until(lambda: fleet.call("GET", QUEUE, instance=frozen)[0] == 200, WAIT_SECONDS,
               f"{frozen.name} serves calls after it was resumed")
    if connections_stay_open:
        for sock in sockets:
            receive_code(sock)
    time.sleep(3)
    assert starts_of(fleet, uncancelled) > uncancelled_starts, "nothing starts on this site"
    check_no_late_starts(fleet, cancels, starts)


def test_submission_that_arrives_after_its_cancel_starts_nothing(fleet):
    """Fails if a cancel that was answered 410 is forgotten, so that the job runs when a frozen
    instance reads its submission."""
    start_gated_site(fleet)
    check_submission_that_arrives_late(fleet, [job_id(0x1000 + number) for number in range(3)],
                                       connections_stay_open=True)


def test_submission_on_closed_connection_that_arrives_after_its_cancel_starts_nothing(fleet):
    """The same, after the caller has closed the connection of the submission."""
    start_gated_site(fleet)
    check_submission_that_arrives_late(fleet, [job_id(0x1000 + number) for number in range(3)],
                                       connections_stay_open=False)


def test_repeated_submission_of_refused_job_that_arrives_after_its_cancel_starts_nothing(fleet):
    """Fails if a job that was refused with 503 and then cancelled runs when a frozen instance reads
    a repetition of its submission."""
    start_gated_site(fleet)
    _, owner = find_cell(fleet, 3)
    job = job_id(0x1000)
    fleet.control("/faults", json.dumps({"down": 1}))
    # The job of an append in flight is not refused, but those that wait behind it are.
    in_flight = threading.Thread(target=fleet.call, args=("POST", QUEUE, job_id(4),
                                                          json.dumps(SHORT), owner))
    in_flight.start()
    time.sleep(1)
    code, _ = fleet.call("POST", QUEUE, job, json.dumps(CHAIN), instance=owner)
    fleet.control("/faults", json.dumps({"down": 0}))
    in_flight.join()
    assert code == 503, code
    fleet.wait_ready()
    wait_settled(fleet)
    check_submission_that_arrives_late(fleet, [job], connections_stay_open=True)


if __name__ == "__main__":
    run_all(sys.modules[__name__], GatedFleet)
