"""The fleet of the process tests itself: its ports, and what it says of a process that ended."""

import socket
import sys

from harness import free_ports, run_all

CALLS = 700


def test_ports_are_handed_out_once(_):
    ports = [port for _ in range(CALLS) for port in free_ports(3)]
    assert len(set(ports)) == len(ports), f"{len(ports) - len(set(ports))} of {len(ports)} twice"


def test_ports_are_not_those_of_outgoing_connections(_):
    with socket.create_server(("127.0.0.1", 0)) as server:
        connections = [socket.create_connection(server.getsockname()) for _ in range(50)]
        outgoing = [connection.getsockname()[1] for connection in connections]
        for connection in connections:
            connection.close()
    assert min(outgoing) > max(free_ports(CALLS)), outgoing


def test_a_process_that_ended_by_itself_is_named(fleet):
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
    raise AssertionError("nobody noticed that an instance had ended")


if __name__ == "__main__":
    run_all(sys.modules[__name__])
