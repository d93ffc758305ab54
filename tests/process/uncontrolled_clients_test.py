"""Clients, instances and a store that send without end, hold bodies open or read no answers.

Each test fails if an instance buffers what its peers send without a bound. Checked are only facts that
do not depend on the machine's speed: the process lives, the peak of its resident memory and the number
of its descriptors stay under a bound, and one ordinary request is answered afterwards.
"""

import json
import os
import resource
import selectors
import socket
import sys
import threading

from harness import fetch, run_all, wait_until
from jobs_test import QUEUES, job_id, job_spec
from job_fleet import HOST, JobFleet
from fleet import Fleet

MEMORY_MB = 160
MAX_RESIDENT_MB = 100
MAX_DESCRIPTORS = 4100
REQUEST_BUFFER_MB = 24  # Of the instances without jobs, whose settings name no memory.
SENDERS = 24
SENDER_BYTES = 12 << 20  # Together 288 MB, which exceeds the bound if they are kept.
HOLDERS = 1500
BODY_BYTES = 262_144  # The largest body that the configuration allows.
WAITERS = 1000
UNREAD_REQUESTS = 400
WAIT_SECONDS = 60

POST = f"POST /letters/{job_id(0x77)} HTTP/1.1\r\nHost: {HOST}\r\n".encode()
CHUNKED = POST + b"Transfer-Encoding: chunked\r\n\r\n"


def allow_many_sockets():
    _, hard = resource.getrlimit(resource.RLIMIT_NOFILE)
    resource.setrlimit(resource.RLIMIT_NOFILE, (min(hard, 2 * MAX_DESCRIPTORS), hard))


class Crowd:
    """Connections that each send a beginning and then, if given, a piece over and over."""

    def __init__(self, port, count, beginning, piece=b"", limit=None):
        self.selector = selectors.DefaultSelector()
        self.limit = limit or len(beginning)
        self.piece = piece
        self.sockets = []
        for _ in range(count):
            sock = socket.create_connection(("127.0.0.1", port), timeout=WAIT_SECONDS)
            sock.setblocking(False)
            self.selector.register(sock, selectors.EVENT_WRITE, [beginning, 0])
            self.sockets.append(sock)

    def send(self):
        """Returns once each connection has sent all its bytes, was closed or is not read."""
        while self.selector.get_map():
            ready = self.selector.select(timeout=2)
            if not ready:
                return
            for key, _ in ready:
                self._send_some(key)

    def _send_some(self, key):
        rest, sent = key.data
        try:
            count = key.fileobj.send(rest)
        except (BlockingIOError, InterruptedError):
            return
        except OSError:
            self.selector.unregister(key.fileobj)
            return
        key.data[0], key.data[1] = rest[count:] or self.piece, sent + count
        if key.data[1] >= self.limit or not key.data[0]:
            self.selector.unregister(key.fileobj)

    def close(self):
        for sock in self.sockets:
            sock.close()
        self.selector.close()


def peak_resident_mb(entry):
    with open(f"/proc/{entry.child.pid}/status", encoding="ascii") as status:
        line = next(line for line in status if line.startswith("VmHWM:"))
    return int(line.split()[1]) // 1024


def check_bounds(entry):
    assert entry.child.poll() is None, f"the process ended with {entry.child.returncode}"
    peak = peak_resident_mb(entry)
    assert peak < MAX_RESIDENT_MB, f"resident memory reached {peak} MB"
    descriptors = len(os.listdir(f"/proc/{entry.child.pid}/fd"))
    assert descriptors < MAX_DESCRIPTORS, f"{descriptors} descriptors"
    print(f"  peak {peak} MB, {descriptors} descriptors", flush=True)


def start_jobs_instance(fleet):
    allow_many_sockets()
    fleet.further_settings = (f"Limits.MemoryMb={MEMORY_MB}\n"
                              f"Limits.MaxFds={MAX_DESCRIPTORS}\n")
    fleet.start_store({"alpha": 2, "beta": 1})
    fleet.set_queues(QUEUES)
    fleet.start_instances(1)
    fleet.wait_ready()
    return fleet.entries["instance0"]


def check_job_is_served(fleet, number):
    job = job_id(number)
    fleet.submit("letters", job, job_spec(millis=10))
    assert fleet.wait_finished([("letters", job)]) == {job: "completed"}


def run_jobs_crowd(fleet, *crowds):
    entry = start_jobs_instance(fleet)
    for number, (count, beginning, piece, limit) in enumerate(crowds):
        crowd = Crowd(entry.ports["http"], count, beginning, piece, limit)
        crowd.send()
        check_bounds(entry)
        check_job_is_served(fleet, 0x100 + number)
        crowd.close()
    check_bounds(entry)
    check_job_is_served(fleet, 0x200)


def endless(beginning, piece):
    return SENDERS, beginning, piece * (65536 // len(piece)), SENDER_BYTES


def test_trailers_without_end_do_not_exhaust_memory(fleet):
    run_jobs_crowd(fleet, endless(CHUNKED + b"2\r\n{}\r\n0\r\n", b"X-Trailer: 0123456789abcdef\r\n"))


def test_chunk_extension_without_end_does_not_exhaust_memory(fleet):
    run_jobs_crowd(fleet, endless(CHUNKED + b"2;x=", b"y" * 1024))


def test_digits_of_a_chunk_size_without_end_do_not_exhaust_memory(fleet):
    run_jobs_crowd(fleet, endless(CHUNKED, b"0" * 1024))


def test_request_line_and_headers_without_end_do_not_exhaust_memory(fleet):
    run_jobs_crowd(fleet, endless(b"POST /letters/", b"a" * 1024),
                   endless(POST, b"X-Header: 0123456789abcdef\r\n"),
                   endless(b"POST / HTTP/1.1\r\n" + b"X", b"-Header: abcd\r\nX"))


def test_many_bodies_held_open_do_not_exhaust_memory(fleet):
    header = POST + f"Content-Length: {BODY_BYTES}\r\n\r\n".encode()
    run_jobs_crowd(fleet, (HOLDERS, header + b"x" * (BODY_BYTES - 2), b"", None))


def test_many_clients_waiting_after_continue_do_not_exhaust_memory(fleet):
    header = POST + (f"Expect: 100-continue\r\nContent-Length: {BODY_BYTES}\r\n\r\n").encode()
    run_jobs_crowd(fleet, (WAITERS, header, b"", None))


def test_clients_that_read_no_answers_do_not_exhaust_memory(fleet):
    request = f"GET /letters/{job_id(0x78)} HTTP/1.1\r\nHost: {HOST}\r\n\r\n".encode()
    run_jobs_crowd(fleet, (UNREAD_REQUESTS, request * 8, request * 512, SENDER_BYTES))


def test_unfinished_frames_of_instances_do_not_exhaust_memory(fleet):
    """The port between instances: each connection announces a frame of 4 MB and sends a part of it."""
    entry = start_jobs_instance(fleet)
    peers = entry.ports["metrics"] - 1
    announced = (4 << 20).to_bytes(4, "little") + (1).to_bytes(8, "little")
    for beginning in (announced, announced + b"x" * ((4 << 20) - 1)):
        crowd = Crowd(peers, 64, beginning)
        crowd.send()
        check_bounds(entry)
        check_job_is_served(fleet, 0x100 + len(beginning) % 7)
        crowd.close()


class EndlessServer:
    """Answers each request with a chunked response whose trailers never end."""

    RESPONSE = (b"HTTP/1.1 200 OK\r\nContent-Type: application/json\r\n"
                b"Transfer-Encoding: chunked\r\n\r\n2\r\n{}\r\n0\r\n")

    def __init__(self):
        self.listener = socket.create_server(("127.0.0.1", 0), backlog=256)
        self.port = self.listener.getsockname()[1]
        self.sent = 0
        threading.Thread(target=self._accept, daemon=True).start()

    def _accept(self):
        while True:
            try:
                sock, _ = self.listener.accept()
            except OSError:
                return
            threading.Thread(target=self._serve, args=(sock,), daemon=True).start()

    def _serve(self, sock):
        piece = b"X-Trailer: 0123456789abcdef\r\n" * 2000
        try:
            sock.recv(65536)
            sock.sendall(self.RESPONSE)
            for _ in range(16 * SENDER_BYTES // len(piece)):
                sock.sendall(piece)
                self.sent += len(piece)
        except OSError:
            pass
        finally:
            sock.close()


def test_store_that_answers_without_end_does_not_exhaust_memory(fleet):
    allow_many_sockets()
    server = EndlessServer()
    fleet.further_settings = f"Limits.MemoryMb={MEMORY_MB}\nLimits.MaxFds={MAX_DESCRIPTORS}\n"
    entry = fleet.start_instance("instance0", store_port=server.port)
    wait_until(lambda: server.sent > 2 * SENDER_BYTES or "watch_lost" in entry.log(), WAIT_SECONDS,
               "the store has answered")
    wait_until(lambda: fetch(entry.ports["ready"], "/ready")[0] == 503, WAIT_SECONDS, "answered")
    check_bounds(entry)
    code, _, _ = fetch(entry.ports["http"], f"/letters/{job_id(1)}", json.dumps(job_spec()),
                       {"Host": HOST}, method="POST")
    assert code == 503, code
    server.listener.close()


def test_request_service_does_not_exhaust_memory(fleet):
    """The instances without jobs, for requests to backend servers."""
    allow_many_sockets()
    os.environ["WIGEONLANE_BUFFER_MB"] = str(REQUEST_BUFFER_MB)
    site = Fleet(fleet.build)
    with site:
        site.start_platform()
        site.start_site(["quotes"], runners=2, entries=1)
        entry = site.entries["entry0"]
        wait_until(lambda: fetch(entry.ports["admin"], "/readyz")[0] == 200, 30, "entry0 is ready")
        site.publish_service("quotes", 2, body_bytes=BODY_BYTES)
        site.wait_serving(2)
        port = entry.ports["http"]
        head = b"POST /v1/services/quotes/x HTTP/1.1\r\nHost: x\r\n"
        chunked = head + b"Transfer-Encoding: chunked\r\n\r\n"
        header = head + f"Content-Length: {BODY_BYTES}\r\n\r\n".encode()
        for count, beginning, piece, limit in (
                endless(chunked + b"2\r\n{}\r\n0\r\n", b"X-Trailer: 0123456789abcdef\r\n"),
                endless(chunked + b"2;x=", b"y" * 1024), endless(chunked, b"0" * 1024),
                endless(head, b"X-Header: 0123456789abcdef\r\n"),
                endless(b"POST /healthz HTTP/1.1\r\nContent-Length: 99999999999\r\n\r\n", b"x" * 1024),
                (HOLDERS, header + b"x" * (BODY_BYTES - 2), b"", None)):
            crowd = Crowd(port, count, beginning, piece, limit)
            crowd.send()
            check_bounds(entry)
            wait_until(lambda: fetch(port, "/v1/services/quotes/x")[0] == 200, WAIT_SECONDS,
                       "an ordinary request is served")
            crowd.close()


if __name__ == "__main__":
    run_all(sys.modules[__name__], JobFleet)
