"""Malformed, oversized, slow and unknown input to the running programs."""

import json
import os
import signal
import socket
import subprocess
import sys
import time

from harness import BUILD, fetch, run_all, wait_until


def start_small_site(fleet, **profile):
    fleet.start_platform()
    fleet.start_site(["quotes"], runners=2, entries=1)
    entry = fleet.entries["entry0"]
    wait_until(lambda: fetch(entry.ports["admin"], "/readyz")[0] == 200, 30,
               "entry0 is ready")
    fleet.publish_service("quotes", 2, **profile)
    fleet.wait_serving(2)
    return entry.ports["http"]


def send_raw(port, data, timeout=10):
    """Sends the bytes and returns all that the entry instance responds until it closes."""
    with socket.create_connection(("127.0.0.1", port), timeout=timeout) as sock:
        sock.sendall(data)
        response = b""
        while True:
            chunk = sock.recv(65536)
            if not chunk:
                return response.decode()
            response += chunk


def request(method, path, headers="", body=b""):
    return f"{method} {path} HTTP/1.1\r\nHost: x\r\nConnection: close\r\n{headers}\r\n".encode() + body


def test_requests_over_limits_or_malformed_get_final_responses(fleet):
    port = start_small_site(fleet, body_bytes=1000)
    huge = request("GET", "/v1/services/quotes/x", f"X-Big: {'a' * 1_000_000}\r\n")
    try:
        response = send_raw(port, huge)
        assert response.startswith("HTTP/1.1 431"), response[:200]
    except ConnectionError:
        pass  # The response came while the caller was sending; the next request checks the code.
    assert send_raw(port, huge[:30_000]).startswith("HTTP/1.1 431")
    large = send_raw(port, request("POST", "/v1/services/quotes/x", "Content-Length: 2000\r\n"))
    assert large.startswith("HTTP/1.1 413") and "Wigeonlane-Verdict: not-run" in large, large
    chunked = b"".join(b"190\r\n" + b"a" * 400 + b"\r\n" for _ in range(3)) + b"0\r\n\r\n"
    over = send_raw(port, request("POST", "/v1/services/quotes/x",
                                  "Transfer-Encoding: chunked\r\n", chunked))
    assert over.startswith("HTTP/1.1 413"), over
    unknown = send_raw(port, request("GET", "/v1/services/nowhere/x"))
    assert unknown.startswith("HTTP/1.1 404") and "Wigeonlane-Verdict: not-run" in unknown
    assert send_raw(port, request("GET", "/elsewhere")).startswith("HTTP/1.1 404")
    assert send_raw(port, b"what is this\r\n\r\n").startswith("HTTP/1.1 400")
    two_lengths = "Content-Length: 3\r\nTransfer-Encoding: chunked\r\n"
    ambiguous = send_raw(port, request("POST", "/v1/services/quotes/x", two_lengths))
    assert ambiguous.startswith("HTTP/1.1 400"), ambiguous
    bad = send_raw(port, request("GET", "/v1/services/quotes/x",
                                 "Wigeonlane-Deadline-Ms: soon\r\n"))
    assert bad.startswith("HTTP/1.1 400") and "Wigeonlane-Deadline-Ms" in bad, bad
    bad = send_raw(port, request("GET", "/v1/services/quotes/x", "Wigeonlane-Urgency: now\r\n"))
    assert bad.startswith("HTTP/1.1 400"), bad


def test_bodies_of_every_framing_arrive_complete(fleet):
    port = start_small_site(fleet)
    chunked = send_raw(port, request("POST", "/v1/services/quotes/x",
                                     "Transfer-Encoding: chunked\r\n",
                                     b"3\r\nabc\r\n2;x=y\r\nde\r\n0\r\n\r\n"))
    assert chunked.startswith("HTTP/1.1 200") and chunked.endswith("abcde"), chunked
    empty = send_raw(port, request("POST", "/v1/services/quotes/x", "Content-Length: 0\r\n"))
    assert empty.startswith("HTTP/1.1 200") and "Wigeonlane-Verdict: ran" in empty, empty
    head = send_raw(port, request("HEAD", "/v1/services/quotes/x"))
    assert head.startswith("HTTP/1.1 200") and head.endswith("\r\n\r\n"), head
    two_requests = (b"GET /v1/services/quotes/a HTTP/1.1\r\nHost: x\r\n\r\n"
                    + request("GET", "/v1/services/quotes/b"))
    assert send_raw(port, two_requests).count("HTTP/1.1 200") == 2


def test_slow_and_disconnecting_callers_do_not_block_others(fleet):
    port = start_small_site(fleet)
    slow = []
    for _ in range(700):  # More connections than the entry instance has threads.
        sock = socket.create_connection(("127.0.0.1", port))
        sock.sendall(b"POST /v1/services/quotes/x HTTP/1.1\r\nHost: x\r\nContent-Length: 100\r\n\r\nab")
        slow.append(sock)
    for _ in range(50):
        with socket.create_connection(("127.0.0.1", port)) as sock:
            sock.sendall(request("GET", "/v1/services/quotes/x?work_us=50000"))
    for _ in range(5):
        assert fetch(port, "/v1/services/quotes/x")[0] == 200
    for sock in slow:
        sock.close()
    assert fetch(port, "/v1/services/quotes/x")[0] == 200


def test_invalid_settings_and_documents_are_refused_with_one_line(fleet):
    def run_daemon(*arguments, **environment):
        process = subprocess.run([f"{BUILD}/daemon/wigeonlaned", *arguments], capture_output=True,
                                 text=True, timeout=20, env={**os.environ, **environment})
        return process.returncode, process.stderr
    base = ["--name", "a", "--data-centre", "d"]
    for arguments, expected in [
            ([*base, "--nonsense"], "nonsense"), ([*base, "--listen", "localhost:1"], "--listen"),
            ([*base, "--admin", "127.0.0.1:70000"], "--admin"),
            ([*base, "--shutdown-wait", "5"], "--shutdown-wait"),
            ([*base, "--io-threads", "0"], "--io-threads"), (["--name", "a"], "--data-centre"),
            ([*base, "--log-format", "xml"], "--log-format"), ([*base, "word"], "word")]:
        code, error = run_daemon(*arguments)
        assert code == 2 and expected in error and error.count("\n") == 1, (arguments, code, error)
    code, error = run_daemon(*base, WIGEONLANE_PLATFORM="nowhere")
    assert code == 2 and "--platform" in error, error
    assert run_daemon(*base, "--check-settings")[0] == 0
    start_small_site(fleet)
    for kind, document, path in [
            ("pool", {"name": "a", "min_serving": -1}, "pool.min_serving"),
            ("profile", {"name": "a", "floor_slots": "1", "queue_places": 1}, "profile.floor_slots"),
            ("service", {"name": "a", "pool": "quotes"}, "service.profile"),
            ("pool", {"name": "a", "min_serving": 1, "colour": "red"}, "pool.colour")]:
        file = fleet.directory / "bad.json"
        file.write_text(json.dumps(document))
        code, output = fleet.tool(kind, "publish", file)
        assert code == 1 and path in output and output.count("\n") == 1, output
    file.write_text(json.dumps({"name": "quotes", "floor_slots": 1000, "queue_places": 1}))
    code, output = fleet.tool("profile", "publish", file)
    assert code == 1 and "exceed" in output, output
    assert fleet.tool("nonsense")[0] == 2


def test_sigterm_lets_requests_in_flight_finish(fleet):
    port = start_small_site(fleet)
    entry = fleet.entries["entry0"]
    sock = socket.create_connection(("127.0.0.1", port))
    sock.sendall(request("GET", "/v1/services/quotes/x?work_us=1500000"))
    time.sleep(0.3)
    entry.signal(signal.SIGTERM)
    wait_until(lambda: fetch(entry.ports["admin"], "/readyz")[0] == 503, 5,
               "the instance is not ready while it shuts down")
    response = b""
    while chunk := sock.recv(65536):
        response += chunk
    assert response.startswith(b"HTTP/1.1 200"), response
    assert entry.child.wait(timeout=20) == 0


def test_second_sigterm_exits_at_once(fleet):
    port = start_small_site(fleet)
    entry = fleet.entries["entry0"]
    sock = socket.create_connection(("127.0.0.1", port))
    sock.sendall(request("GET", "/v1/services/quotes/x?work_us=5000000",
                         "Wigeonlane-Deadline-Ms: 9000\r\n"))
    time.sleep(0.3)
    entry.signal(signal.SIGTERM)
    wait_until(lambda: fetch(entry.ports["admin"], "/readyz")[0] == 503, 5,
               "the instance is not ready while it shuts down")
    entry.signal(signal.SIGTERM)
    assert entry.child.wait(timeout=20) == 1, "the exit code must report interrupted requests"


if __name__ == "__main__":
    run_all(sys.modules[__name__])
