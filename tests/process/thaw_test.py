"""An instance that was frozen while a runner left."""

import json
import signal
import socket
import sys
import threading
import time

from control_test import RUNNERS, site
from harness import fetch, run_all, wait_until


def test_a_thawed_instance_sends_nothing_to_a_runner_that_left_meanwhile(fleet):
    site(fleet)
    frozen, other = fleet.entries["entry0"], fleet.entries["entry1"]
    control = fleet.backends["quotes-0"].ports["control"]

    def ledger():
        return json.loads(fetch(control, "/ledger")[2])
    # Long requests of another instance hold the reboot off, so that the runner stays reachable.
    holders = [threading.Thread(target=lambda: fetch(
        other.ports["http"], "/v1/services/quotes/x?work_us=9000000", timeout=30,
        headers={"Wigeonlane-Deadline-Ms": "25000"})) for _ in range(2 * RUNNERS)]
    for thread in holders:
        thread.start()
    wait_until(lambda: ledger()["running"] > 0, 20, "a long request runs on quotes-0")
    frozen.signal(signal.SIGSTOP)
    code, output = fleet.tool("instance", "drain", "quotes-0",
                              admins=f"127.0.0.1:{other.ports['admin']}")
    assert code == 0, output
    time.sleep(1.5)
    waiting = []
    for number in range(40):  # Already in the sockets of the frozen process when it is thawed.
        sock = socket.create_connection(("127.0.0.1", frozen.ports["http"]))
        sock.sendall(f"GET /v1/services/quotes/{number}?work_us=100 HTTP/1.1\r\nHost: x\r\n"
                     "Connection: close\r\nWigeonlane-Deadline-Ms: 20000\r\n\r\n".encode())
        waiting.append(sock)
    before = ledger()["executions"]
    frozen.signal(signal.SIGCONT)
    for sock in waiting:
        assert sock.recv(65536).startswith(b"HTTP/1.1 200")
    after = ledger()
    if after["running"] > 0:  # Else the machine was so slow that the reboot has begun.
        assert after["executions"] == before, (before, after)
    for thread in holders:
        thread.join()


if __name__ == "__main__":
    run_all(sys.modules[__name__])
