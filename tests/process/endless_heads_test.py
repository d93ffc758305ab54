"""Heads over the limit, heads and empty lines without end, and slow senders of them, at every port; and
servers that answer so.

Each test fails if a program keeps what it reads of a head without a bound, holds connections without a
bound, or lets such clients take the place of ordinary ones. Checked are only facts that do not depend on
the machine's speed, as in uncontrolled_clients_test.py, whose crowd and bounds are used.
"""

import json
import os
import sys
import threading
import time
from types import SimpleNamespace

from harness import fetch, run_all, wait_until
from jobs_test import QUEUES, job_id, job_spec
from job_fleet import HOST, JobFleet
from fleet import Fleet, free_ports
from advice_test import ADVICE
from uncontrolled_clients_test import (
    MAX_DESCRIPTORS, MEMORY_MB, REQUEST_BUFFER_MB, SENDERS, SENDER_BYTES, WAIT_SECONDS, Crowd, EndlessServer,
    allow_many_sockets, check_bounds, check_job_is_served, endless, start_jobs_instance)

HEADER_BYTES = 8192
FIELD = b"X-Field: 0123456789abcdef\r\n"
SHORT_FIELD = b"a:\r\n"  # Takes the most memory for a byte of the head.
HOLDERS = 1500
HELD_HEAD = SHORT_FIELD * ((HEADER_BYTES - 512) // len(SHORT_FIELD))
SLOW_SENDERS = 8  # For each kind and port.
SLOW_ROUNDS = 6
MAX_SLOW_ROUNDS = 60
ANSWERS = 4  # For each kind, by a server that answers without end.
FEW_DESCRIPTORS = 1000
IDLE_CLIENTS = 800  # At each port.


def head_kinds(line):
    """Returns crowds by the kind of what they send. `line` is a request line with a Host field."""
    return {
        "whole heads over the limit": (SENDERS, memoryview(line + FIELD * (SENDER_BYTES // len(FIELD)) + b"\r\n"),
                                       b"", None),
        "whole heads of twice the limit": (HOLDERS, line + FIELD * (2 * HEADER_BYTES // len(FIELD)) + b"\r\n",
                                           b"", None),
        "unfinished heads within the limit": (HOLDERS, line + HELD_HEAD, b"", None),
        "a field without end": endless(line + b"X: ", b"y" * 1024),
        "fields without end": endless(line, FIELD),
        "short fields without end": endless(line, SHORT_FIELD),
        "request line without end": endless(b"GET /", b"a" * 1024),
    }


def empty_line_kinds(line):
    return {
        "CRLF without end": endless(b"", b"\r\n"),
        "LF without end": endless(b"", b"\n"),
        "CRLF without end after a served request": endless(line + b"\r\n", b"\r\n"),
        "LF without end after a served request": endless(line + b"\r\n", b"\n"),
    }


def trailer_kinds(line):
    return {"trailers without end": endless(
        line.replace(b"GET ", b"POST ") + b"Transfer-Encoding: chunked\r\n\r\n2\r\n{}\r\n0\r\n", FIELD)}


def slow_kinds(line):
    """Returns a beginning and a line for each kind."""
    kinds = {**head_kinds(line), **empty_line_kinds(line), **trailer_kinds(line)}
    lines = {"a field without end": b"y", "fields without end": FIELD, "request line without end": b"a",
             "CRLF without end": b"\r\n", "LF without end": b"\n",
             "CRLF without end after a served request": b"\r\n",
             "LF without end after a served request": b"\n", "trailers without end": FIELD}
    return [(kinds[kind][1], line) for kind, line in lines.items()]


def measure(entry, kind):
    """Checks the bounds and starts the next measurement of the peak."""
    print(f"  {kind}:", end="", flush=True)
    try:
        check_bounds(entry)
    finally:
        if entry.child.poll() is None:
            with open(f"/proc/{entry.child.pid}/clear_refs", "w", encoding="ascii") as refs:
                refs.write("5")


def run_kinds(entry, port, kinds, check_served):
    """Sends each kind to `port` of a program. Tries all kinds, also if one fails."""
    failures = []
    for number, (kind, crowd_options) in enumerate(kinds.items()):
        crowd = Crowd(port, *crowd_options)
        try:
            crowd.send()
            check_served(0x100 + number)  # By then the program has read what was sent before.
            measure(entry, kind)
        except (AssertionError, OSError) as error:
            print(f"  {kind}: {error}", flush=True)
            failures.append(f"{kind}: {error}")
        finally:
            crowd.close()
        assert entry.child.poll() is None, failures
    assert not failures, failures


class SlowCrowd:
    """Connections that each send a line a second until they are closed."""

    def __init__(self, ports_and_kinds):
        self.senders = []
        self.rounds = 0
        self.stopped = threading.Event()
        for port, kinds in ports_and_kinds:
            for beginning, line in kinds:
                crowd = Crowd(port, SLOW_SENDERS, beginning or line)
                crowd.send()
                self.senders.extend((sock, line) for sock in crowd.sockets)
        self.thread = threading.Thread(target=self._send, daemon=True)
        self.thread.start()

    def _send(self):
        while self.rounds < MAX_SLOW_ROUNDS and not self.stopped.wait(1):
            for sock, line in self.senders:
                try:
                    sock.send(line)
                except OSError:
                    pass  # Closed by the program, or not read.
            self.rounds += 1

    def close(self):
        self.stopped.set()
        self.thread.join()
        for sock, _ in self.senders:
            sock.close()


def run_slow_senders(entry, ports_and_lines, check_served):
    """An ordinary request is answered while the crowd goes on."""
    crowd = SlowCrowd([(port, slow_kinds(line)) for port, line in ports_and_lines])
    wait_until(lambda: crowd.rounds >= SLOW_ROUNDS, WAIT_SECONDS, "lines sent")
    measure(entry, "slow senders")
    try:
        check_served(0x100)
        assert crowd.rounds < MAX_SLOW_ROUNDS, "answered only after the senders had stopped"
    finally:
        crowd.close()
    measure(entry, "after slow senders")
    check_served(0x101)


def run_idle_clients(entry, ports_and_lines, check_served, max_descriptors):
    """More connections than the limit of descriptors, at all ports together."""
    crowds = [Crowd(port, IDLE_CLIENTS // 2, beginning)
              for port, line in ports_and_lines for beginning in (b"", line)]
    for crowd in crowds:
        crowd.send()
    try:
        time.sleep(0.2)  # The crowd is accepted after it has been sent.
        measure(entry, "idle clients and unfinished heads")
        descriptors = len(os.listdir(f"/proc/{entry.child.pid}/fd"))
        assert descriptors < max_descriptors, f"{descriptors} descriptors"
        check_served(0x100)
    finally:
        for crowd in crowds:
            crowd.close()


JOB_LINE = f"GET /letters/{job_id(0x77)} HTTP/1.1\r\nHost: {HOST}\r\n".encode()
READY_LINE = b"GET /ready HTTP/1.1\r\nHost: x\r\n"
METRICS_LINE = b"GET /metrics HTTP/1.1\r\nHost: x\r\n"
FRAMES = {"frames of no bytes without end": endless(b"", bytes(12))}


def start_jobs(fleet):
    fleet.further_config = lambda: {"Limits": {"MaxHeaderBytes": HEADER_BYTES}}
    return start_jobs_instance(fleet)


def jobs_ports(entry):
    return [(entry.ports["http"], JOB_LINE), (entry.ports["ready"], READY_LINE),
            (entry.ports["metrics"], METRICS_LINE), (entry.ports["metrics"] - 1, JOB_LINE)]


def jobs_served(fleet, entry):
    def check(number):
        for port, path in ((entry.ports["ready"], "/ready"), (entry.ports["metrics"], "/metrics")):
            wait_until(lambda port=port, path=path: fetch(port, path)[0] == 200, WAIT_SECONDS,
                       f"{path} is answered")
        check_job_is_served(fleet, number)
    return check


def run_jobs_port(fleet, place, make_kinds):
    entry = start_jobs(fleet)
    port, line = jobs_ports(entry)[place]
    kinds = {}
    for make in make_kinds:
        kinds.update(make(line))
    run_kinds(entry, port, kinds, jobs_served(fleet, entry))


def test_callers_port_heads_over_the_limit_do_not_exhaust_memory(fleet):
    run_jobs_port(fleet, 0, [head_kinds])


def test_callers_port_empty_lines_without_end_do_not_exhaust_memory(fleet):
    run_jobs_port(fleet, 0, [empty_line_kinds])


def test_readiness_port_heads_over_the_limit_do_not_exhaust_memory(fleet):
    run_jobs_port(fleet, 1, [head_kinds, trailer_kinds])


def test_readiness_port_empty_lines_without_end_do_not_exhaust_memory(fleet):
    run_jobs_port(fleet, 1, [empty_line_kinds])


def test_metrics_port_heads_over_the_limit_do_not_exhaust_memory(fleet):
    run_jobs_port(fleet, 2, [head_kinds, trailer_kinds])


def test_metrics_port_empty_lines_without_end_do_not_exhaust_memory(fleet):
    run_jobs_port(fleet, 2, [empty_line_kinds])


def test_port_between_instances_heads_and_empty_lines_without_end_do_not_exhaust_memory(fleet):
    run_jobs_port(fleet, 3, [head_kinds, empty_line_kinds, lambda _: FRAMES])


def test_jobs_slow_senders_at_all_ports_do_not_block_callers(fleet):
    entry = start_jobs(fleet)
    run_slow_senders(entry, jobs_ports(entry), jobs_served(fleet, entry))


def test_jobs_clients_at_all_ports_do_not_exceed_the_descriptors(fleet):
    entry = start_jobs(fleet)
    entry.terminate()
    fleet.entries.clear()
    fleet.further_settings = f"Limits.MemoryMb={MEMORY_MB}\nLimits.MaxFds={FEW_DESCRIPTORS}\n"
    entry = fleet.start_instance("instance1")
    fleet.wait_ready()
    run_idle_clients(entry, jobs_ports(entry), jobs_served(fleet, entry), FEW_DESCRIPTORS)


# The instances without jobs, for requests to backend servers.

SERVICE_LINE = b"GET /v1/services/quotes/x HTTP/1.1\r\nHost: x\r\n"
ADMIN_LINE = b"GET /readyz HTTP/1.1\r\nHost: x\r\n"


class RequestSite(Fleet):
    """A request service with one instance."""

    def start(self, *options):
        allow_many_sockets()
        os.environ["WIGEONLANE_BUFFER_MB"] = str(REQUEST_BUFFER_MB)
        self.start_platform()
        self.start_site(["quotes"], runners=2, entries=1, entry_options=options)
        entry = self.entries["entry0"]
        wait_until(lambda: fetch(entry.ports["admin"], "/readyz")[0] == 200, 30, "entry0 is ready")
        self.publish_service("quotes", 2)
        self.wait_serving(2)
        return entry

    def ports_and_lines(self):
        ports = self.entries["entry0"].ports
        return [(ports["http"], SERVICE_LINE), (ports["admin"], ADMIN_LINE), (ports["peer"], SERVICE_LINE)]

    def check_served(self, _):
        ports = self.entries["entry0"].ports
        wait_until(lambda: fetch(ports["http"], "/v1/services/quotes/x")[0] == 200, WAIT_SECONDS,
                   "an ordinary request is served")
        wait_until(lambda: fetch(ports["admin"], "/readyz")[0] == 200, WAIT_SECONDS,
                   "an ordinary request of operators is served")


def run_service_port(fleet, place, make_kinds):
    with RequestSite(fleet.build) as site:
        entry = site.start()
        port, line = site.ports_and_lines()[place]
        kinds = {}
        for make in make_kinds:
            kinds.update(make(line))
        run_kinds(entry, port, kinds, site.check_served)


def test_request_service_heads_over_the_limit_do_not_exhaust_memory(fleet):
    run_service_port(fleet, 0, [head_kinds])


def test_request_service_empty_lines_without_end_do_not_exhaust_memory(fleet):
    run_service_port(fleet, 0, [empty_line_kinds])


def test_admin_port_heads_over_the_limit_do_not_exhaust_memory(fleet):
    run_service_port(fleet, 1, [head_kinds, trailer_kinds])


def test_admin_port_empty_lines_without_end_do_not_exhaust_memory(fleet):
    run_service_port(fleet, 1, [empty_line_kinds])


def test_peer_port_heads_and_empty_lines_without_end_do_not_exhaust_memory(fleet):
    run_service_port(fleet, 2, [head_kinds, empty_line_kinds])


def test_request_service_slow_senders_at_all_ports_do_not_block_callers(fleet):
    with RequestSite(fleet.build) as site:
        entry = site.start()
        run_slow_senders(entry, site.ports_and_lines(), site.check_served)


def test_request_service_clients_at_all_ports_do_not_exceed_the_descriptors(fleet):
    with RequestSite(fleet.build) as site:
        entry = site.start("--most-connections", str(FEW_DESCRIPTORS // 2))
        run_idle_clients(entry, site.ports_and_lines(), site.check_served, FEW_DESCRIPTORS)


# Servers that answer without end.

OK = b"HTTP/1.1 200 OK\r\n"
RESPONSES = {
    "status line without end": (b"HTTP/1.1 200 ", b"y" * 1024),
    "a status line of 32 KB": (b"HTTP/1.1 200 " + b"y" * 32768 + b"\r\n", FIELD),
    "a field without end": (OK + b"X: ", b"y" * 1024),
    "fields without end": (OK, FIELD),
    "short fields without end": (OK, SHORT_FIELD),
    "CRLF without end": (b"", b"\r\n"),
    "LF without end": (b"", b"\n"),
    "interim responses without end": (b"", b"HTTP/1.1 100 Continue\r\n\r\n"),
    "trailers without end": (EndlessServer.RESPONSE, FIELD),
}


class EndlessHeadServer(EndlessServer):
    """Answers each request with the current kind of response. `answered` counts its answers."""

    def __init__(self):
        self.kind = next(iter(RESPONSES))
        self.answered = dict.fromkeys(RESPONSES, 0)
        super().__init__()

    def _serve(self, sock):
        kind = self.kind
        beginning, piece = RESPONSES[kind]
        piece *= 65536 // len(piece)
        try:
            while sock.recv(65536):
                sock.sendall(beginning)
                for _ in range(16 * SENDER_BYTES // len(piece)):
                    sock.sendall(piece)
        except OSError:
            pass
        finally:
            self.answered[kind] += 1
            sock.close()


def run_responses(entry, server, check_served, provoke=lambda _: None):
    """Lets the server answer with each kind. Tries all kinds, also if one fails."""
    failures = []
    for number, kind in enumerate(RESPONSES):
        server.kind = kind
        try:
            provoke(number)
            wait_until(lambda kind=kind: server.answered[kind] >= ANSWERS, WAIT_SECONDS, "answered")
            check_served(0x300 + number)
            measure(entry, kind)
        except (AssertionError, OSError) as error:
            print(f"  {kind}: {error}", flush=True)
            failures.append(f"{kind}: {error}")
        assert entry.child.poll() is None, failures
    server.listener.close()
    assert not failures, failures


def test_store_that_answers_with_heads_without_end_does_not_exhaust_memory(fleet):
    allow_many_sockets()
    server = EndlessHeadServer()
    fleet.further_settings = f"Limits.MemoryMb={MEMORY_MB}\nLimits.MaxFds={MAX_DESCRIPTORS}\n"
    entry = fleet.start_instance("instance0", store_port=server.port)

    def check(number):
        wait_until(lambda: fetch(entry.ports["ready"], "/ready")[0] == 503, WAIT_SECONDS, "answered")
        code, _, _ = fetch(entry.ports["http"], f"/letters/{job_id(number)}", json.dumps(job_spec()),
                           {"Host": HOST}, method="POST")
        assert code == 503, code
    run_responses(entry, server, check)


def test_runner_that_answers_with_heads_without_end_does_not_exhaust_memory(fleet):
    server = EndlessHeadServer()
    ports = []
    fleet.published_port = lambda port: (ports.append(port), server.port if len(ports) == 3 else port)[1]
    entry = start_jobs(fleet)  # The third runner is that of `beta`.

    def provoke(number):
        fleet.submit("scans", job_id(0x400 + number), job_spec())
    run_responses(entry, server, jobs_served(fleet, entry), provoke)


def test_advisor_that_answers_with_heads_without_end_does_not_exhaust_memory(fleet):
    server = EndlessHeadServer()
    entry = start_jobs(fleet)
    entry.terminate()
    fleet.entries.clear()
    fleet.further_settings += f"Advice=127.0.0.1:{server.port}\n"
    fleet.set_queues({**QUEUES, "guarded": {"Service": "beta", "Advice": ADVICE}})
    entry = fleet.start_instance("instance1")
    fleet.wait_ready()

    def provoke(number):
        fleet.submit("guarded", job_id(0x400 + number), job_spec())
    run_responses(entry, server, jobs_served(fleet, entry), provoke)


def test_platform_that_answers_with_heads_without_end_does_not_exhaust_memory(fleet):
    """The request service without jobs, whose log and list of instances are at the platform."""
    server = EndlessHeadServer()
    with RequestSite(fleet.build) as site:
        site.platform = SimpleNamespace(ports={"http": server.port})
        entry = site.start_entry("entry0", "dc0")
        run_responses(entry, server, lambda _: wait_until(
            lambda: fetch(entry.ports["admin"], "/healthz")[0] == 200, WAIT_SECONDS, "answered"))


def test_backend_that_answers_with_heads_without_end_does_not_exhaust_memory(fleet):
    """The request service without jobs."""
    server = EndlessHeadServer()
    with RequestSite(fleet.build) as site:
        entry = site.start()
        register = {"name": "endless-0", "role": "worker", "pool": "endless", "rack": "endless-rack",
                    "data_centre": "dc0", "host": "127.0.0.1", "port": server.port,
                    "control_port": free_ports(1)[0]}
        code, _, text = fetch(site.platform.ports["http"], "/instances/register", json.dumps(register))
        assert code == 200, text
        site.publish_service("endless", 1)
        site.wait_serving(3)

        def provoke(_):
            for _ in range(ANSWERS):
                assert fetch(entry.ports["http"], "/v1/services/endless/x", timeout=30)[0] >= 500
        run_responses(entry, server, site.check_served, provoke)


if __name__ == "__main__":
    run_all(sys.modules[__name__], JobFleet)
