"""Runs a fleet of real processes on loopback, for run-main-job and the process tests."""

import json
import os
import random
import signal
import socket
import subprocess
import tempfile
import time
import urllib.request
from pathlib import Path

ROOT = Path(__file__).resolve().parent.parent
START_SECONDS = 30
STOP_SECONDS = 20
# Number of characters at the end of a log that are quoted when its process has ended unexpectedly.
LOG_TAIL_LENGTH = 400


# These ports are below the kernel's range for outgoing connections, which begins at 32768.
FIRST_PORT = 18000
LAST_PORT = 31999

_allocated_ports = set()


def free_ports(count):
    """Returns ports of 127.0.0.1 that were free when checked; no port is returned twice.

    A program binds its port some time after the choice, so the port must not be one that an
    outgoing connection or a later call can take in the meantime.
    """
    chosen = []
    while len(chosen) < count:
        port = random.randint(FIRST_PORT, LAST_PORT)
        if port in _allocated_ports:
            continue
        _allocated_ports.add(port)
        with socket.socket() as sock:
            try:
                sock.bind(("127.0.0.1", port))
            except OSError:
                continue  # Another program uses the port.
        chosen.append(port)
    return chosen


def free_port_pair():
    """Returns the first of two consecutive ports that were free when checked."""
    while True:
        (first,) = free_ports(1)
        if first + 1 in _allocated_ports:
            continue
        _allocated_ports.add(first + 1)
        with socket.socket() as sock:
            try:
                sock.bind(("127.0.0.1", first + 1))
            except OSError:
                continue
        return first


def fetch(port, path, body=None, headers=None, timeout=5, method=None):
    """Sends one HTTP request to 127.0.0.1; returns the status code, headers and body text."""
    request = urllib.request.Request(
        f"http://127.0.0.1:{port}{path}",
        data=None if body is None else body.encode(),
        headers=headers or {},
        method=method,
    )
    try:
        with urllib.request.urlopen(request, timeout=timeout) as response:
            return response.status, dict(response.headers), response.read().decode()
    except urllib.error.HTTPError as error:
        return error.code, dict(error.headers), error.read().decode()


def wait_until(condition, seconds, description):
    """Polls until the condition holds. Raises AssertionError with `description` after `seconds`.

    An OSError of the condition counts as not yet fulfilled.
    """
    deadline = time.monotonic() + seconds
    while time.monotonic() < deadline:
        try:
            if condition():
                return
        except OSError:
            pass
        time.sleep(0.02)
    raise AssertionError(f"not within {seconds} s: {description}")


class Process:
    """A started program with its ports and log file."""

    def __init__(self, fleet, name, arguments, ports, environment=None):
        self.name = name
        self.environment = {**os.environ, **(environment or {})}
        self.ports = ports
        self.log_path = fleet.directory / f"{name}.log"
        self.arguments = [str(a) for a in arguments]
        self.start()

    def start(self):
        self.stopped = False
        with open(self.log_path, "ab") as log:
            self.child = subprocess.Popen(self.arguments, stdout=log, stderr=log,
                                          env=self.environment)

    def kill(self):
        self.stopped = True
        self.child.kill()
        self.child.wait()

    def signal(self, number):
        self.child.send_signal(number)

    def terminate(self):
        """Stops the process with SIGTERM and returns its exit code."""
        self.stopped = True
        self.child.send_signal(signal.SIGTERM)
        return self.child.wait(timeout=STOP_SECONDS)

    def log(self):
        return self.log_path.read_text(errors="replace")


class Fleet:
    """A stand-in platform, runners in pools and racks, and entry instances in data centres."""

    def __init__(self, build):
        self.build = Path(build).resolve()
        self.directory = Path(tempfile.mkdtemp(prefix="wigeonlane-"))
        self.processes = []
        self.backends = {}
        self.entries = {}
        self.platform = None

    def __enter__(self):
        return self

    def __exit__(self, *_):
        for process in self.processes:
            if process.child.poll() is None:
                process.child.send_signal(signal.SIGCONT)
                process.child.kill()
        for process in self.processes:
            process.child.wait()

    def _add(self, name, arguments, ports, environment=None):
        process = Process(self, name, arguments, ports, environment)
        self.processes.append(process)
        return process

    def start_platform(self, *extra):
        (port,) = free_ports(1)
        self.platform = self._add(
            "platform",
            [self.build / "standin/standin-platform", "--listen", f"127.0.0.1:{port}",
             "--list-lag", "300ms", *extra],
            {"http": port},
        )
        wait_until(lambda: fetch(port, "/log/status")[0] == 200, START_SECONDS, "platform up")
        return self.platform

    def start_backend(self, name, pool, rack, data_centre, *extra):
        port, control = free_ports(2)
        process = self._add(
            name,
            [self.build / "standin/standin-backend", "--name", name,
             "--listen", f"127.0.0.1:{port}", "--control", f"127.0.0.1:{control}",
             "--platform", f"127.0.0.1:{self.platform.ports['http']}",
             "--pool", pool, "--rack", rack, "--data-centre", data_centre, *extra],
            {"http": port, "control": control},
        )
        self.backends[name] = process
        return process

    def start_entry(self, name, data_centre, *extra, seeds=None):
        listen, admin, peer = free_ports(3)
        if seeds is None:
            seeds = [f"127.0.0.1:{e.ports['peer']}" for e in self.entries.values()]
        process = self._add(
            name,
            [self.build / "daemon/wigeonlaned", "--name", name, "--data-centre", data_centre,
             "--listen", f"127.0.0.1:{listen}", "--admin", f"127.0.0.1:{admin}",
             "--peer", f"127.0.0.1:{peer}",
             "--platform", f"127.0.0.1:{self.platform.ports['http']}",
             "--seeds", ",".join(seeds), *extra],
            {"http": listen, "admin": admin, "peer": peer},
        )
        self.entries[name] = process
        return process

    def start_site(self, services, runners=3, entries=3, backend_options=(), entry_options=()):
        """Starts runners in racks of four, and entry instances in three data centres."""
        for service in services:
            for index in range(runners):
                self.start_backend(f"{service}-{index}", service, f"{service}-rack{index // 4}",
                                   f"dc{index % 3}", *backend_options)
        for index in range(entries):
            self.start_entry(f"entry{index}", f"dc{index % 3}", *entry_options)

    def admins(self):
        return ",".join(f"127.0.0.1:{e.ports['admin']}" for e in self.entries.values()
                        if e.child.poll() is None)

    def tool(self, *words, admins=None):
        """Runs the operators' tool; returns its exit code and output."""
        result = subprocess.run(
            [str(self.build / "cli/wigeonlane"), "--admins", admins or self.admins(),
             *[str(w) for w in words]],
            capture_output=True, text=True, timeout=120)
        return result.returncode, result.stdout + result.stderr

    def publish(self, kind, document):
        """Publishes a document and asserts that it is accepted."""
        path = self.directory / f"{kind}-{document['name']}.json"
        path.write_text(json.dumps(document))
        code, output = self.tool(kind, "publish", path)
        assert code == 0, output
        return output

    def publish_service(self, service, runners, floor=None, **profile):
        """Publishes a pool, a profile and a service, all named `service`."""
        self.publish("pool", {"name": service, "min_serving": max(1, runners - 1)})
        self.publish("profile", {
            "name": service, "floor_slots": floor or 8, "queue_places": 400,
            "default_deadline": "5s", "longest_deadline": "60s", **profile})
        self.publish("service", {"name": service, "pool": service, "profile": service})

    def check_running(self):
        """Raises AssertionError for the first process that ended although no test stopped it."""
        for process in self.processes:
            code = process.child.poll()
            if code is not None and not process.stopped:
                raise AssertionError(
                    f"{process.name} ended with {code}: {process.log()[-LOG_TAIL_LENGTH:]}")

    def wait_serving(self, count, seconds=START_SECONDS):
        """Waits until each entry instance is ready and lists at least `count` serving instances."""
        def serving():
            self.check_running()
            for entry in self.entries.values():
                if fetch(entry.ports["admin"], "/readyz")[0] != 200:
                    return False
                rows = json.loads(fetch(entry.ports["admin"], "/v1/admin/instances")[2])
                if sum(r["lifecycle"] == "serving" for r in rows["instances"]) < count:
                    return False
            return True
        wait_until(serving, seconds, f"{count} instances serving")

    def faults(self, process, **switches):
        """Sets fault switches of a stand-in process."""
        port = process.ports.get("control", process.ports.get("http"))
        code, _, text = fetch(port, "/faults", json.dumps(switches))
        assert code == 200, text

    def ledgers(self):
        return [f"127.0.0.1:{b.ports['control']}" for b in self.backends.values()]

    def targets(self):
        return [f"127.0.0.1:{e.ports['http']}" for e in self.entries.values()]

    def start_load(self, plan, *options):
        """Starts `wigeonlane load run` with the fleet's targets and ledgers; see `finish_load`."""
        plan = {"targets": self.targets(), "ledgers": self.ledgers(), **plan}
        path = self.directory / "load.json"
        path.write_text(json.dumps(plan))
        return subprocess.Popen(
            [str(self.build / "cli/wigeonlane"), "--output", "json", *options, "load", "run",
             str(path)], stdout=subprocess.PIPE, stderr=subprocess.PIPE, text=True)

    @staticmethod
    def finish_load(child, seconds=300):
        """Waits for the end of a load run and returns its report."""
        out, err = child.communicate(timeout=seconds)
        assert out.strip(), err
        return json.loads(out)
