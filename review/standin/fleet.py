"""Starts job instances with the command of the deploy file, and the stand-ins, on loopback."""

import http.client
import json
import os
import random
import signal
import socket
import subprocess
import sys
import tempfile
import time
from pathlib import Path

ROOT = Path(__file__).resolve().parents[2]
STANDIN = Path(__file__).resolve().parent / "standin.py"
PROGRAM = ROOT / "target/daemon/wigeonlaned"
HOST = "127.0.0.1"
VHOST = "jobs.example"
MAX_LOGGED_ROWS = 20000
TROUBLE = os.environ.get("TROUBLE", "1") != "0"

SETTINGS = """NodeId={name}
Role=front
MachineClass=front
Serves=front
Ip=127.0.0.1
Zone=z1
Region=r1
Zones.z1=r1
Listen.Front=127.0.0.1:{front}
Listen.Ready=127.0.0.1:{ready}
InternalPorts={peers},{last}
Bootstrap=true
Limits.CpuShare=0.25
Limits.Cores=1
Limits.MemoryMb=260
Limits.MaxFds=4100
Discovery=platform
Entry=vip
HeartbeatMs=1500
Contracts=base,drain,config,cost,recover,sched,platform
Bounds.ContactMs=3000
Bounds.AckMs=4000
Bounds.DrainMs=2000
Bounds.GraceS=6
Bounds.ConfigApplyMs=2000
Bounds.MaxStretchMs=5000
Bounds.RecoveryS=12
Bounds.MaxHoldMs=10000
Bounds.StopGraceMs=900
Bounds.GangWaitMs=3000
Bounds.cancel_ms=3000
Bounds.visible_ms=3000
Bounds.early_ms=250
Bounds.finish_s=14
Bounds.status_s=120
Orders=rpc
platform.Address=127.0.0.1:{store}
platform.form=log
platform.WritesPerS=600
platform.ReadsPerS=2000
platform.parts={parts}
platform.AppendMs=4.0
platform.RecordBytes=262144
platform.CallBytes=2097152
platform.keep_s=300
platform.MinTtlMs=1000
"""


class CannotRun(Exception):
    """The case could not be set up; says nothing about the rule."""


def call(port, method, path, body=None, timeout=3.0, headers=None):
    """Returns the status code and the body; code 0 without an answer in time."""
    connection = http.client.HTTPConnection(HOST, port, timeout=timeout)
    try:
        connection.request(method, path, body, headers or {})
        response = connection.getresponse()
        return response.status, response.read()
    except (OSError, http.client.HTTPException):
        return 0, b""
    finally:
        connection.close()


class Fleet:
    def __init__(self, folder, parts=8):
        self.folder = Path(folder)
        self.parts = parts
        self.record = open(self.folder / "record.txt", "w", buffering=1)
        self.temporary = tempfile.TemporaryDirectory(prefix="review-")
        self.directory = Path(self.temporary.name)
        self.ledger_path = self.directory / "ledger"
        self.processes = {}
        self.ports = {}
        self.runners = {}
        self.version = 0
        self.used_ports = set()
        self.started = time.time()

    def log(self, *words):
        print(f"{time.time() - self.started:8.3f}", *words, file=self.record)

    def port(self, pair=False):
        """A free port below the range of outgoing connections; with `pair`, so is the next one."""
        for candidate in random.sample(range(18000, 31990), 5000):
            ports = [candidate, candidate + 1] if pair else [candidate]
            if self.used_ports.intersection(ports):
                continue
            try:
                for each in ports:
                    with socket.socket() as probe:
                        probe.bind((HOST, each))
            except OSError:
                continue
            self.used_ports.update(ports)
            return candidate
        raise CannotRun("no free port")

    def spawn(self, name, arguments, environment=None):
        keep = {k: os.environ[k] for k in ("PATH", "HOME", "LANG") if k in os.environ}
        output = open(self.directory / f"{name}.log", "ab")
        self.processes[name] = subprocess.Popen(
            arguments, cwd=ROOT, stdout=output, stderr=output, env={**keep, **(environment or {})})
        self.log("started", name)

    def start_store(self):
        self.ports["store"] = self.port()
        self.ports["gate"] = self.port()
        self.spawn("store", [sys.executable, str(STANDIN), "store", str(self.ports["store"]),
                             str(self.parts), str(self.ports["gate"])])
        self.wait(lambda: call(self.ports["store"], "GET", "/ctl/refused")[0] == 200, 10, "store up")

    def start_runner(self, name, service, rack, cpu, kind="kind-a"):
        self.runners[name] = (service, rack, cpu)
        self.ports.setdefault(name, self.port())
        self.spawn(name, [sys.executable, str(STANDIN), "runner", name, service, rack,
                          str(self.ports[name]), str(self.ports["store"]), str(self.ledger_path),
                          str(cpu), kind])

    def start_instance(self, name, store="store"):
        if name not in self.ports:
            peers = self.port(pair=True)
            self.ports[name] = self.port()
            self.ports[name + "-ready"] = self.port()
            (self.directory / f"{name}.conf").write_text(SETTINGS.format(
                name=name, front=self.ports[name], ready=self.ports[name + "-ready"], peers=peers,
                last=peers + 1, store=self.ports[store], parts=self.parts))
        self.spawn(name, [str(PROGRAM), "jobs"],
                   {"WIGEONLANE_NODE_FILE": str(self.directory / f"{name}.conf")})

    def configure(self, routes):
        """The operator writes a new version. `routes` maps a queue to the fields of its route."""
        self.version += 7
        rows = [{"Name": name, "Host": VHOST, "PathPrefix": f"/{name}/", "Priority": 1,
                 "MaxAttempts": 3, "Stretch": 3, "TargetLatencyMs": 2000, **fields}
                for name, fields in routes.items()]
        services = sorted({service for service, _, _ in self.runners.values()})
        config = {"Version": self.version, "Routes": rows,
                  "Services": [{"Name": s, "EnforcesCapacity": True} for s in services],
                  "Limits": {"MaxBodyBytes": 262144}}
        call(self.ports["store"], "POST", "/ctl/put?topic=keyed.op&key=config", json.dumps(config))
        self.log("configuration", self.version, json.dumps(routes))

    def ready(self, name):
        return call(self.ports[name + "-ready"], "GET", "/ready", timeout=1)[0] == 200

    def ask(self, instance, method, queue, job="", body=None, timeout=3.0):
        code, text = call(self.ports[instance], method, f"/{queue}/{job}", body, timeout,
                          {"Host": VHOST, "Content-Type": "application/json",
                           "X-Wigeonlane-Deadline-Ms": str(int(timeout * 1000))})
        self.log(instance, method, f"/{queue}/{job}", "->", code, text[:80].decode(errors="replace"))
        return code, text

    def submit(self, instances, queue, job, spec, seconds=20):
        """Submits a job at one instance after the other until it is accepted."""
        body = json.dumps(spec)
        deadline = time.time() + seconds
        turn = 0
        while time.time() < deadline:
            code, _ = self.ask(instances[turn % len(instances)], "POST", queue, job, body)
            if code == 200:
                return time.time()
            turn += 1
            time.sleep(0.2)
        raise CannotRun(f"{job} not accepted")

    def kill(self, name):
        self.log("SIGKILL", name)
        self.processes[name].kill()
        self.processes[name].wait()

    def terminate(self, name):
        self.log("SIGTERM", name)
        self.processes[name].send_signal(signal.SIGTERM)
        try:
            self.processes[name].wait(6.0)  # Bounds.GraceS
        except subprocess.TimeoutExpired:
            self.kill(name)

    def ledger(self):
        """Rows of [time, runner, event, task, run, how] that the runners wrote."""
        if not self.ledger_path.exists():
            return []
        rows = []
        for line in self.ledger_path.read_text().splitlines():
            try:
                rows.append(json.loads(line))
            except ValueError:
                pass  # The runner was killed while it wrote.
        return sorted(rows)

    def log_ledger(self):
        """Writes what ran to the record: each event, or a line for each task if there are many."""
        rows = self.ledger()
        if len(rows) <= MAX_LOGGED_ROWS:
            for row in rows:
                self.log("runner", f"{row[0] - self.started:8.3f}", *row[1:])
            return
        tasks = {}
        for when, worker, event, task, run, how in rows:
            counts = tasks.setdefault(task, {})
            name = f"{event} {how}".strip()
            counts[name] = counts.get(name, 0) + 1
            counts.setdefault("first", round(when - self.started, 3))
            counts["last"] = round(when - self.started, 3)
        for task, counts in sorted(tasks.items()):
            self.log("task", task, json.dumps(counts))

    def wait(self, condition, seconds, what):
        deadline = time.time() + seconds
        while time.time() < deadline:
            if condition():
                return
            time.sleep(0.05)
        raise CannotRun(f"not within {seconds} s: {what}")

    def close(self, keep_logs=False):
        for process in self.processes.values():
            if process.poll() is None:
                process.send_signal(signal.SIGCONT)
                process.kill()
        for process in self.processes.values():
            process.wait()
        self.record.close()
        if os.environ.get("REVIEW_KEEP"):
            subprocess.run(["cp", "-r", str(self.directory), os.environ["REVIEW_KEEP"]],
                           check=False)
        self.temporary.cleanup()


def run_case(folder, case, parts=8):
    """Runs `case(fleet)`, which returns what broke the rule. Exits with 0, 1 or 2."""
    if not PROGRAM.exists():
        (Path(folder) / "record.txt").write_text("result could not run: no wigeonlaned\n")
        print("target/daemon/wigeonlaned is not built")
        sys.exit(2)
    # `timeout` ends the script with SIGTERM; the processes are ended all the same.
    signal.signal(signal.SIGTERM, lambda *_: sys.exit(2))
    code, result = 2, "could not run: ended from outside"
    fleet = Fleet(folder, parts)
    try:
        broken = case(fleet)
        for name, process in fleet.processes.items():
            if process.poll() not in (None, -signal.SIGKILL, 0):
                fleet.log(name, "ended with", process.returncode)
        code = 1 if broken else 0
        result = "BROKEN: " + broken if broken else "held"
    except Exception as error:  # noqa: BLE001  a fault of the script says nothing of the rule
        code, result = 2, f"could not run: {type(error).__name__}: {error}"
    finally:
        try:
            fleet.log_ledger()
            fleet.log("result", result)
        finally:
            fleet.close()
    print(("trouble: " if TROUBLE else "no trouble: ") + result)
    sys.exit(code)
