"""Starts job instances, a store and runners, for tools/run-main-job and the process tests."""

import json
import urllib.error

from fleet import Fleet, fetch, free_port_pair, free_ports, wait_until

HOST = "jobs.example"
START_SECONDS = 30
FINAL_STATES = ("completed", "failed", "cancelled")

SETTINGS = """NodeId={name}
Zone=dc0
Ip=127.0.0.1
Listen.Front=127.0.0.1:{front}
Listen.Ready=127.0.0.1:{ready}
InternalPorts={peers},{metrics}
platform.Address=127.0.0.1:{store}
platform.parts={parts}
platform.MinTtlMs=1000
Bounds.GraceS=6
Bounds.MaxHoldMs=10000
Bounds.StopGraceMs=900
Bounds.status_s=120
"""


class JobFleet(Fleet):
    """A stand-in process with the store and all runners, and job instances that own the cells."""

    def __init__(self, build):
        super().__init__(build)
        self.queues = {}
        self.version = 0
        self.store_port = 0
        self.parts = 4
        self.further_settings = ""

    def start_store(self, pools):
        """Starts the stand-in. `pools` maps the name of a pool to its number of runners."""
        names = [pool for pool, count in pools.items() for _ in range(count)]
        store, control, *ports = free_ports(2 + len(names))
        runners = ",".join(f"{pool}=127.0.0.1:{port}@127.0.0.1:{self.published_port(port)}"
                           for pool, port in zip(names, ports))
        self.store_port = store
        self.platform = self._add(
            "job-platform",
            [self.build / "standin/standin-job-platform", "--listen", f"127.0.0.1:{store}",
             "--control", f"127.0.0.1:{control}", "--runners", runners,
             "--parts", str(self.parts)],
            {"control": control})
        wait_until(lambda: self.control("/ledger")[0] == 200, START_SECONDS, "job platform up")

    def published_port(self, port):
        """Returns the port at which the store's entry of a runner names the one at `port`."""
        return port

    def control(self, path, body="{}"):
        return fetch(self.platform.ports["control"], path, body)

    def set_queues(self, queues):
        """Stores a new configuration. `queues` maps each queue to its pool or its route fields."""
        self.version += 1
        self.queues = queues
        routes = []
        for name, queue in queues.items():
            fields = {"Service": queue} if isinstance(queue, str) else queue
            routes.append({"Name": name, "Host": HOST, "PathPrefix": f"/{name}/", "Priority": 1,
                           "MaxAttempts": 3, "Stretch": 3, "TargetLatencyMs": 2000, **fields})
        pools = sorted({route["Service"] for route in routes})
        config = {"Version": self.version, "Routes": routes,
                  "Services": [{"Name": pool} for pool in pools], **self.further_config()}
        code, _, text = self.control("/operator?key=config", json.dumps(config))
        assert code == 200, text

    def further_config(self):
        """Returns fields that are added to each configuration."""
        return {}

    def start_instances(self, count):
        for index in range(count):
            self.start_instance(f"instance{index}")

    def start_instance(self, name, store_port=None):
        """Starts an instance that calls the store at `store_port`, by default directly."""
        front, ready = free_ports(2)
        peers = free_port_pair()
        path = self.directory / f"{name}.conf"
        path.write_text(SETTINGS.format(name=name, front=front, ready=ready, peers=peers,
                                        metrics=peers + 1, parts=self.parts,
                                        store=store_port or self.store_port)
                        + self.further_settings)
        self.entries[name] = self._add(
            name, [self.build / "daemon/wigeonlaned", "jobs"],
            {"http": front, "ready": ready, "metrics": peers + 1},
            {"WIGEONLANE_NODE_FILE": str(path)})
        return self.entries[name]

    def wait_ready(self, seconds=START_SECONDS):
        """Waits until every instance is ready and every cell has an owner."""
        def ready():
            self.check_running()
            return all(fetch(entry.ports["ready"], "/ready")[0] == 200
                       for entry in self.entries.values())
        wait_until(ready, seconds, "all instances ready")
        for queue in self.queues:
            wait_until(lambda queue=queue: self.call("GET", queue)[0] == 200, seconds,
                       f"queue {queue} served")

    def call(self, method, queue, job="", body=None, instance=None):
        """Returns the status code and JSON or text of one request; code 0 without a response."""
        running = [e for e in self.entries.values() if e.child.poll() is None]
        entry = instance or running[hash(job) % len(running)]
        try:
            code, _, text = fetch(entry.ports["http"], f"/{queue}/{job}", body, {"Host": HOST},
                                  method=method)
        except (OSError, urllib.error.URLError):
            return 0, ""
        try:
            return code, json.loads(text)
        except ValueError:
            return code, text

    def submit(self, queue, job, spec, seconds=START_SECONDS):
        """Submits a job and repeats the request until the job is accepted."""
        body = json.dumps(spec)
        wait_until(lambda: self.call("POST", queue, job, body)[0] == 200, seconds,
                   f"{job} accepted")

    def owner_of(self, job):
        """Returns the name of the instance that logged the acceptance of the job."""
        return next(name for name, entry in self.entries.items()
                    if f"event=accept job={job}" in entry.log())

    def state(self, queue, job):
        code, body = self.call("GET", queue, job)
        return body["State"] if code == 200 else code

    def wait_finished(self, jobs, seconds=60):
        """Waits until all jobs, pairs of queue and id, have finished; returns the state by id."""
        states = {}

        def finished():
            for queue, job in jobs:
                if states.get(job) not in FINAL_STATES:
                    states[job] = self.state(queue, job)
            return all(states[job] in FINAL_STATES for _, job in jobs)
        try:
            wait_until(finished, seconds, "all jobs finished")
        except AssertionError as error:
            unfinished_jobs = {job: state for job, state in states.items()
                               if state not in FINAL_STATES}
            raise AssertionError(f"{error}; unfinished: {unfinished_jobs}") from error
        return states

    def admins(self):
        return "127.0.0.1:1"  # Job instances have no admin port.

    def job_tool(self, *words, instance="instance0"):
        """Runs a job command of the operators' tool; returns its exit code and output."""
        entry = self.entries[instance]
        return self.tool("--callers", f"127.0.0.1:{entry.ports['http']}", "--host", HOST,
                         "job", *words)

    def ledger(self):
        return json.loads(self.control("/ledger")[2])

    def runner_faults(self, runner, **switches):
        code, _, text = self.control(f"/runner/faults?id={runner}", json.dumps(switches))
        assert code == 200, text

    def crash_runner(self, runner):
        """Ends a runner silently; it serves and publishes nothing until `restart_runner`."""
        assert self.control(f"/runner/crash?id={runner}")[0] == 200

    def restart_runner(self, runner):
        assert self.control(f"/runner/restart?id={runner}")[0] == 200
