"""An entry instance that is frozen while a runner drains. Its routes are outdated when it resumes,
so it could send requests to the draining runner."""

import json
import signal
import socket
import sys
import threading
import time

from control_test import RUNNERS, start_site
from harness import fetch, run_all, wait_until


def test_resumed_instance_sends_nothing_to_a_runner_drained_meanwhile(fleet):
    start_site(fleet)
    frozen, other = fleet.entries["entry0"], fleet.entries["entry1"]
    control = fleet.backends["quotes-0"].ports["control"]

    def ledger():
        return json.loads(fetch(control, "/ledger")[2])
    # Long requests of another instance delay the reboot, so that the runner stays reachable.
    long_requests = [threading.Thread(target=lambda: fetch(
        other.ports["http"], "/v1/services/quotes/x?work_us=9000000", timeout=30,
        headers={"Wigeonlane-Deadline-Ms": "25000"})) for _ in range(2 * RUNNERS)]
    for thread in long_requests:
        thread.start()
    wait_until(lambda: ledger()["running"] > 0, 20, "a long request runs on quotes-0")
    frozen.signal(signal.SIGSTOP)
    code, output = fleet.tool("instance", "drain", "quotes-0",
                              admins=f"127.0.0.1:{other.ports['admin']}")
    assert code == 0, output
    time.sleep(1.5)
    sockets = []
    for number in range(40):  # These requests wait in the sockets of the frozen process.
        sock = socket.create_connection(("127.0.0.1", frozen.ports["http"]))
        sock.sendall(f"GET /v1/services/quotes/{number}?work_us=100 HTTP/1.1\r\nHost: x\r\n"
                     "Connection: close\r\nWigeonlane-Deadline-Ms: 20000\r\n\r\n".encode())
        sockets.append(sock)
    executions_in_drain = ledger()["executions"]
    frozen.signal(signal.SIGCONT)
    for sock in sockets:
        assert sock.recv(65536).startswith(b"HTTP/1.1 200")
    final = ledger()
    if final["running"] > 0:  # On a slow machine the reboot may have started already.
        assert final["executions"] == executions_in_drain, (executions_in_drain, final)
    for thread in long_requests:
        thread.join()


if __name__ == "__main__":
    run_all(sys.modules[__name__])
