"""Malformed, oversized, slow and unknown input to the programs themselves."""

import json
import os
import signal
import socket
import subprocess
import sys
import time

from harness import BUILD, fetch, run_all, wait_until


def small_site(fleet, **profile):
    fleet.start_platform()
    fleet.start_site(["quotes"], runners=2, entries=1)
    entry = fleet.entries["entry0"]
    wait_until(lambda: fetch(entry.ports["admin"], "/readyz")[0] == 200, 30, "ready")
    fleet.publish_service("quotes", 2, **profile)
    fleet.wait_serving(2)
    return entry.ports["http"]


def raw(port, data, wait=10):
    """Everything that the entry instance answers to these bytes before it closes."""
    with socket.create_connection(("127.0.0.1", port), timeout=wait) as sock:
        sock.sendall(data)
        answer = b""
        while True:
            chunk = sock.recv(65536)
            if not chunk:
                return answer.decode()
            answer += chunk


def request(method, path, headers="", body=b""):
    return f"{method} {path} HTTP/1.1\r\nHost: x\r\nConnection: close\r\n{headers}\r\n".encode() + body


def test_limits_and_unknown_paths_get_final_answers(fleet):
    port = small_site(fleet, body_bytes=1000)
    huge = request("GET", "/v1/services/quotes/x", f"X-Big: {'a' * 1_000_000}\r\n")
    try:
        answer = raw(port, huge)
        assert answer.startswith("HTTP/1.1 431"), answer[:200]
    except ConnectionError:
        pass  # The caller was still sending when its answer came; the next one shows the code.
    assert raw(port, huge[:30_000]).startswith("HTTP/1.1 431")
    large = raw(port, request("POST", "/v1/services/quotes/x", "Content-Length: 2000\r\n"))
    assert large.startswith("HTTP/1.1 413") and "Wigeonlane-Verdict: not-run" in large, large
    chunked = b"".join(b"190\r\n" + b"a" * 400 + b"\r\n" for _ in range(3)) + b"0\r\n\r\n"
    over = raw(port, request("POST", "/v1/services/quotes/x", "Transfer-Encoding: chunked\r\n",
                             chunked))
    assert over.startswith("HTTP/1.1 413"), over
    unknown = raw(port, request("GET", "/v1/services/nowhere/x"))
    assert unknown.startswith("HTTP/1.1 404") and "Wigeonlane-Verdict: not-run" in unknown
    assert raw(port, request("GET", "/elsewhere")).startswith("HTTP/1.1 404")
    assert raw(port, b"what is this\r\n\r\n").startswith("HTTP/1.1 400")
    both = "Content-Length: 3\r\nTransfer-Encoding: chunked\r\n"
    assert raw(port, request("POST", "/v1/services/quotes/x", both)).startswith("HTTP/1.1 400")
    bad = raw(port, request("GET", "/v1/services/quotes/x", "Wigeonlane-Deadline-Ms: soon\r\n"))
    assert bad.startswith("HTTP/1.1 400") and "Wigeonlane-Deadline-Ms" in bad, bad
    bad = raw(port, request("GET", "/v1/services/quotes/x", "Wigeonlane-Urgency: now\r\n"))
    assert bad.startswith("HTTP/1.1 400"), bad


def test_bodies_of_every_shape_arrive_whole(fleet):
    port = small_site(fleet)
    chunked = raw(port, request("POST", "/v1/services/quotes/x", "Transfer-Encoding: chunked\r\n",
                                b"3\r\nabc\r\n2;x=y\r\nde\r\n0\r\n\r\n"))
    assert chunked.startswith("HTTP/1.1 200") and chunked.endswith("abcde"), chunked
    empty = raw(port, request("POST", "/v1/services/quotes/x", "Content-Length: 0\r\n"))
    assert empty.startswith("HTTP/1.1 200") and "Wigeonlane-Verdict: ran" in empty, empty
    head = raw(port, request("HEAD", "/v1/services/quotes/x"))
    assert head.startswith("HTTP/1.1 200") and head.endswith("\r\n\r\n"), head
    two = (b"GET /v1/services/quotes/a HTTP/1.1\r\nHost: x\r\n\r\n"
           + request("GET", "/v1/services/quotes/b"))
    assert raw(port, two).count("HTTP/1.1 200") == 2


def test_slow_and_leaving_callers_take_nothing_from_others(fleet):
    port = small_site(fleet)
    slow = []
    for _ in range(700):  # More than the threads of the entry instance.
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


def test_wrong_settings_and_documents_stop_with_one_line(fleet):
    def daemon(*arguments, **environment):
        done = subprocess.run([f"{BUILD}/daemon/wigeonlaned", *arguments], capture_output=True,
                              text=True, timeout=20, env={**os.environ, **environment})
        return done.returncode, done.stderr
    base = ["--name", "a", "--data-centre", "d"]
    for arguments, named in [
            ([*base, "--nonsense"], "nonsense"), ([*base, "--listen", "localhost:1"], "--listen"),
            ([*base, "--admin", "127.0.0.1:70000"], "--admin"),
            ([*base, "--shutdown-wait", "5"], "--shutdown-wait"),
            ([*base, "--io-threads", "0"], "--io-threads"), (["--name", "a"], "--data-centre"),
            ([*base, "--log-format", "xml"], "--log-format"), ([*base, "word"], "word")]:
        code, error = daemon(*arguments)
        assert code == 2 and named in error and error.count("\n") == 1, (arguments, code, error)
    code, error = daemon(*base, WIGEONLANE_PLATFORM="nowhere")
    assert code == 2 and "--platform" in error, error
    assert daemon(*base, "--check-settings")[0] == 0
    small_site(fleet)
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


def test_sigterm_finishes_what_is_in_flight(fleet):
    port = small_site(fleet)
    entry = fleet.entries["entry0"]
    sock = socket.create_connection(("127.0.0.1", port))
    sock.sendall(request("GET", "/v1/services/quotes/x?work_us=1500000"))
    time.sleep(0.3)
    entry.signal(signal.SIGTERM)
    wait_until(lambda: fetch(entry.ports["admin"], "/readyz")[0] == 503, 5, "not ready at once")
    answer = b""
    while chunk := sock.recv(65536):
        answer += chunk
    assert answer.startswith(b"HTTP/1.1 200"), answer
    assert entry.child.wait(timeout=20) == 0


def test_a_second_sigterm_ends_it_at_once(fleet):
    port = small_site(fleet)
    entry = fleet.entries["entry0"]
    sock = socket.create_connection(("127.0.0.1", port))
    sock.sendall(request("GET", "/v1/services/quotes/x?work_us=5000000",
                         "Wigeonlane-Deadline-Ms: 9000\r\n"))
    time.sleep(0.3)
    entry.signal(signal.SIGTERM)
    wait_until(lambda: fetch(entry.ports["admin"], "/readyz")[0] == 503, 5, "shutting down")
    entry.signal(signal.SIGTERM)
    assert entry.child.wait(timeout=20) == 1, "requests were cut off, which the exit code tells"


if __name__ == "__main__":
    run_all(sys.modules[__name__])
