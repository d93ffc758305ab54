"""Tests of the fleet module: its choice of ports and its report of a process that exited."""

import socket
import sys

from harness import free_ports, run_all

PORT_REQUESTS = 700


def test_free_ports_are_returned_once(_):
    ports = [port for _ in range(PORT_REQUESTS) for port in free_ports(3)]
    assert len(set(ports)) == len(ports), \
        f"{len(ports) - len(set(ports))} of {len(ports)} are duplicates"


def test_free_ports_are_below_those_of_outgoing_connections(_):
    with socket.create_server(("127.0.0.1", 0)) as server:
        connections = [socket.create_connection(server.getsockname()) for _ in range(50)]
        outgoing = [connection.getsockname()[1] for connection in connections]
        for connection in connections:
            connection.close()
    assert min(outgoing) > max(free_ports(PORT_REQUESTS)), outgoing


def test_process_that_exited_unexpectedly_is_named(fleet):
    platform = fleet.start_platform()
    entry = fleet.start_entry("entry0", "dc0")
    entry.arguments[entry.arguments.index("--peer") + 1] = f"127.0.0.1:{platform.ports['http']}"
    entry.kill()
    entry.start()
    try:
        fleet.wait_serving(0)
    except AssertionError as error:
        assert "entry0 ended" in str(error) and "cannot listen" in str(error), error
        return
    raise AssertionError("the fleet did not report that an instance had exited")


if __name__ == "__main__":
    run_all(sys.modules[__name__])
