"""Stand-ins for the cases of the second review: the store, runners, machines, and instances.

Everything but the instances runs on one asyncio loop in this process. The stand-ins follow
PROTOCOL.md; each deviation that a case needs (a crash, a cut, a lost answer) is switched on by the
script of that case. All addresses are loopback addresses.
"""

import asyncio
import base64
import bisect
import json
import os
import random
import shutil
import signal
import socket
import struct
import subprocess
import tempfile
import time
import tomllib
import urllib.parse
from pathlib import Path

ROOT = Path(__file__).resolve().parents[2]
HOST = "jobs.example"
SPARE_POOL = "spare"  # A pool without machines: all of them are lent out.
RECORD_BYTES = 262144
CALL_BYTES = 2097152
APPEND_SECONDS = 0.004  # AppendMs of the site files.
MAX_HOLD_MS = 10000
GANG_WAIT_SECONDS = 3.0
HEARTBEAT_SECONDS = 1.5
LISTED_ENDS = 500
CASE_SECONDS = 105  # A script runs for 120 s at most.

SETTINGS = """NodeId={name}
Role=front
MachineClass=front
Serves=front
Ip=127.0.0.1
Zone=dc0
Region=region0
Listen.Front=127.0.0.1:{front}
Listen.Ready=127.0.0.1:{ready}
InternalPorts={peers},{last}
Bootstrap=true
Limits.CpuShare=0.25
Limits.Cores=1
Limits.MemoryMb=260
Limits.MaxFds=4100
HeartbeatMs=1500
Bounds.ContactMs=3000
Bounds.AckMs=4000
Bounds.DrainMs=2000
Bounds.GraceS=6
Bounds.ConfigApplyMs=2000
Bounds.MaxHoldMs=10000
Bounds.StopGraceMs=900
Bounds.GangWaitMs=3000
Bounds.cancel_ms=3000
Bounds.visible_ms=3000
Bounds.finish_s=14
Bounds.status_s=120
Bounds.LeaseMs=3000
Bounds.MigrateS=1.5
Bounds.MaintenanceS=2
Bounds.RequireFencing=true
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


class Record:
    """Writes what was sent, answered and run to record.txt, with the time since the start."""

    def __init__(self, path):
        self._file = open(path, "w", encoding="utf-8")
        self._start = time.monotonic()

    def now(self):
        return time.monotonic() - self._start

    def note(self, text):
        self._file.write(f"{self.now():9.3f} {text}\n")
        self._file.flush()

    def close(self):
        self._file.close()


_ports = set()


def free_port(count=1):
    """Returns the first of `count` consecutive ports of 127.0.0.1 that are free."""
    while True:
        first = random.randint(18000, 31000)
        wanted = range(first, first + count)
        if _ports.intersection(wanted):
            continue
        try:
            for port in wanted:
                with socket.socket() as sock:
                    sock.bind(("127.0.0.1", port))
        except OSError:
            continue
        _ports.update(wanted)
        return first


class HttpServer:
    """A minimal HTTP/1.1 server. `handle(method, target, headers, body)` returns a status and a
    body, or nothing for a request that is never answered."""

    def __init__(self, handle):
        self.handle = handle
        self.port = None
        self._server = None
        self._writers = set()

    async def start(self, port=None):
        self.port = port or self.port or free_port()
        self._server = await asyncio.start_server(self._serve, "127.0.0.1", self.port)

    def abort(self):
        """Resets all connections; new ones are still accepted."""
        for writer in list(self._writers):
            writer.transport.abort()

    async def stop(self):
        """Refuses new connections and resets the open ones."""
        if self._server is not None:
            self._server.close()
            self._server = None
        self.abort()

    @property
    def connections(self):
        return len(self._writers)

    async def _serve(self, reader, writer):
        self._writers.add(writer)
        try:
            while True:
                line = await reader.readline()
                if not line:
                    break
                method, target, _ = line.decode().split(" ", 2)
                headers = {}
                while (line := await reader.readline()) not in (b"\r\n", b""):
                    name, _, value = line.decode().partition(":")
                    headers[name.strip().lower()] = value.strip()
                body = await reader.readexactly(int(headers.get("content-length", 0)))
                answer = await self.handle(method, target, headers, body)
                if answer is None:
                    await asyncio.sleep(3600)
                code, content = answer
                if not isinstance(content, bytes):
                    content = json.dumps(content).encode()
                writer.write(f"HTTP/1.1 {code} X\r\nContent-Type: application/json\r\n"
                             f"Content-Length: {len(content)}\r\n\r\n".encode() + content)
                await writer.drain()
        except (OSError, asyncio.IncompleteReadError, asyncio.CancelledError, ValueError):
            pass
        finally:
            self._writers.discard(writer)
            writer.transport.abort()


class Partition:
    def __init__(self):
        self.records = []
        self.newest = {}
        self.producers = {}
        self.lock = asyncio.Lock()
        self.changed = asyncio.Event()

    def add(self, content):
        offset = len(self.records)
        self.records.append(content)
        if content:
            size = content[0]
            key = content[1:1 + size]
            value = content[1 + size:]
            if value:
                self.newest[key] = (value, offset)
            else:
                self.newest.pop(key, None)
        self.changed.set()
        self.changed = asyncio.Event()


class Group:
    """Members of one group and the partitions that they hold. A partition passes to its next member
    when the former one confirms the generation, leaves, or has sent nothing for its time to live."""

    def __init__(self, parts, on_change):
        self.parts = parts
        self.generation = 0
        self.members = {}
        self.assigned = {}
        self.holders = {}
        self.rotation = 0
        self.on_change = on_change

    def expire(self):
        now = time.monotonic()
        gone = [member for member, until in self.members.items() if until <= now]
        for member in gone:
            self._remove(member)
        if gone:
            self._assign()

    def _remove(self, member):
        del self.members[member]
        for part in [p for p, holder in self.holders.items() if holder == member]:
            del self.holders[part]

    def join(self, member, ttl, generation):
        self.expire()
        added = member not in self.members
        self.members[member] = time.monotonic() + ttl
        if added:
            self._assign()
        held = []
        for part, assigned in self.assigned.items():
            holder = self.holders.get(part)
            if assigned == member and holder in (None, member):
                if holder is None:
                    self.on_change(part, member, self.generation)
                self.holders[part] = member
                held.append(part)
            elif holder == member and generation >= self.generation:
                del self.holders[part]
        return held

    def leave(self, member):
        self.expire()
        if member in self.members:
            self._remove(member)
            self._assign()

    def rebalance(self):
        self.rotation += 1
        self._assign()

    def _assign(self):
        self.generation += 1
        names = sorted(self.members)
        self.assigned = {part: names[(part + self.rotation) % len(names)]
                         for part in range(self.parts)} if names else {}


class Store:
    """The platform's metadata store. Each instance calls it at a port of its own, its gate."""

    def __init__(self, record, parts=8):
        self.record = record
        self.parts = parts
        self.partitions = {}
        self.groups = {}
        self.gates = {}
        self.closed = set()
        self.silent = set()
        self.down = False
        self.last_writer = {}  # By partition: the instance whose append was stored last.

    async def open_gate(self, instance):
        async def handle(method, target, headers, body):
            return await self._serve(instance, method, target, body)
        gate = HttpServer(handle)
        await gate.start()
        self.gates[instance] = gate
        return gate.port

    async def cut(self, instance):
        """Cuts an instance off from the store: connections are reset, and new ones refused."""
        self.record.note(f"{instance} is cut off from the store")
        self.closed.add(instance)
        await self.gates[instance].stop()

    async def heal(self, instance):
        self.record.note(f"{instance} reaches the store again")
        self.closed.discard(instance)
        await self.gates[instance].start()

    def partition(self, topic, part=0):
        return self.partitions.setdefault((topic, int(part)), Partition())

    def put(self, topic, key, value):
        name = key.encode()
        self.partition(topic).add(bytes([len(name)]) + name + value)

    def owner_of(self, job):
        """Returns the cell whose records name the job, and the instance that wrote there last."""
        for (topic, part), partition in self.partitions.items():
            if topic == "keyed.jobs" and any(job.encode() in record
                                             for record in partition.records):
                return part, self.last_writer[part]
        return None

    async def _serve(self, instance, method, target, body):
        if self.down or instance in self.closed:
            return (503, {})
        url = urllib.parse.urlsplit(target)
        query = dict(urllib.parse.parse_qsl(url.query))
        path = url.path
        if path == "/log-append":
            return await self._append(instance, query, body)
        if path == "/log-read":
            return await self._read(instance, query)
        await asyncio.sleep(APPEND_SECONDS)
        if path == "/log-newest":
            return self._newest(query)
        if path == "/log-join":
            return self._join(json.loads(body))
        if path == "/log-leave":
            asked = json.loads(body)
            self._group(asked["group"]).leave(asked["Member"])
            return (200, {})
        if path == "/log-owners":
            group = self._group(query["group"])
            group.expire()
            return (200, {"parts": [["keyed.jobs", part, member, 0]
                                    for part, member in sorted(group.holders.items())]})
        return (404, {})

    def _group(self, name):
        def changed(part, member, generation):
            self.record.note(f"store: partition {part} belongs to {member} (generation "
                             f"{generation})")
        return self.groups.setdefault(name, Group(self.parts, changed))

    def _join(self, asked):
        group = self._group(asked["group"])
        held = group.join(asked["Member"], asked["TtlMs"] / 1000, asked["Generation"])
        return (200, {"Generation": group.generation, "TtlMs": asked["TtlMs"],
                      "parts": [[asked["Topics"][0], part, 0] for part in held]})

    async def _append(self, instance, query, body):
        partition = self.partition(query["Topic"], query["part"])
        async with partition.lock:
            await asyncio.sleep(APPEND_SECONDS)
            contents = []
            rest = body
            while len(rest) >= 4:
                size = int.from_bytes(rest[:4], "big")
                contents.append(rest[4:4 + size])
                rest = rest[4 + size:]
            if len(body) > CALL_BYTES or any(len(each) > RECORD_BYTES for each in contents):
                return (400, {"Reason": "size"})
            if self.down or instance in self.closed:
                return (503, {})
            end = len(partition.records)
            if "AsOf" in query and int(query["AsOf"]) != end:
                return (412, {"EndOffset": end})
            if "Producer" in query:
                epoch = int(query["epoch"])
                state = partition.producers.setdefault(query["Producer"],
                                                       {"epoch": -1, "seq": None, "last": []})
                if epoch < state["epoch"]:
                    return (409, {"Reason": "fenced"})
                if epoch > state["epoch"]:
                    state.update(epoch=epoch, seq=None, last=[])
                if "Seq" in query:
                    sequence = int(query["Seq"])
                    for known, answer in state["last"]:
                        if known == sequence:
                            return answer
                    if state["seq"] is not None and sequence != state["seq"] + 1:
                        return (409, {"Reason": "seq", "Seq": state["seq"] + 1})
                    state["seq"] = sequence
            for content in contents:
                partition.add(content)
            answer = (200, {"Offset": end, "EndOffset": len(partition.records)})
            if "Seq" in query:
                state["last"] = [*state["last"][-4:], (int(query["Seq"]), answer)]
            if query["Topic"] == "keyed.jobs":
                self.last_writer[int(query["part"])] = instance
            return answer

    async def _read(self, instance, query):
        partition = self.partition(query["Topic"], query["part"])
        start = int(query["From"])
        until = time.monotonic() + int(query.get("WaitMs", 0)) / 1000
        while start >= len(partition.records):
            left = until - time.monotonic()
            if left <= 0:
                break
            try:
                await asyncio.wait_for(partition.changed.wait(), left)
            except asyncio.TimeoutError:
                break
        if self.down or instance in self.closed:
            return (503, {})
        limit = int(query.get("MaxKb", 1024)) * 1024
        body = struct.pack(">QQ", len(partition.records), 0)
        for content in partition.records[start:]:
            if len(body) + 4 + len(content) > limit + 16:
                break
            body += struct.pack(">I", len(content)) + content
        return (200, body)

    def _newest(self, query):
        partition = self.partition(query["Topic"], query["part"])
        keys = sorted(partition.newest)
        first = bisect.bisect_right(keys, query["After"].encode()) if "After" in query else 0
        page = keys[first:first + 500]
        items = [{"Key": key.decode(),
                  "Value": base64.b64encode(partition.newest[key][0]).decode(),
                  "Offset": partition.newest[key][1]} for key in page]
        return (200, {"items": items, "HasMore": first + len(page) < len(keys),
                      "EndOffset": len(partition.records)})


class Run:
    def __init__(self, task, run, step, spec, checkpoint):
        self.task = task
        self.run = run
        self.step = step
        self.spec = spec
        self.checkpoint = checkpoint
        self.started = time.monotonic()
        self.works_since = None if step.get("Gang") else self.started


class Work:
    """What all runners share: the submitted jobs, gangs, and the journal of starts and ends."""

    def __init__(self, record):
        self.record = record
        self.jobs = {}
        self.gangs = {}
        self.events = []  # (time, kind, task, run, runner, detail), in order.
        self.finished = {}  # By job and step: when the work of its tasks is over, and how it ends.
        self.runners = {}
        self.advisor = None
        self.advised_jobs = set()

    def event(self, kind, task, run, runner, detail=""):
        self.events.append((self.record.now(), kind, task, run, runner, detail))
        self.record.note(f"runner {runner}: {kind} {task} run {run} {detail}")

    def step_of(self, task):
        job, _, step, _ = task.split(".")
        return self.jobs[job]["Steps"][int(step)] if job in self.jobs else {}

    def finish(self, job, step=0, how="done", lag=None):
        """The work of the tasks of a step is over now. `lag` delays the end at single runners by
        some seconds, by runner id: runners learn of the end of a gang one after the other."""
        self.finished[f"{job}.0.{step}"] = (time.monotonic(), how, lag or {})

    def starts(self, job):
        return [event for event in self.events if event[1] == "start"
                and event[2].startswith(f"{job}.")]


class Advisor:
    """The service at `Advice`: allows all runners to run a step, and issues the tickets. It handles
    one call at a time."""

    def __init__(self, work, advice):
        self.work = work
        self.advice = advice
        self.calls = 0
        self.tickets = {}
        self.lock = asyncio.Lock()
        self.server = HttpServer(self._serve)

    async def _serve(self, method, target, headers, body):
        asked = json.loads(body)
        self.calls += 1
        async with self.lock:
            await asyncio.sleep((self.advice["DecisionMs"]
                                 + self.advice["IntervalMs"] * len(asked["Workers"])) / 1000)
        rows = []
        for worker in asked["Workers"]:
            ticket = f"{len(self.tickets):04x}-{asked['Step']}"
            born = self.work.runners[worker].born if worker in self.work.runners else 0
            until = time.monotonic() + self.advice["ValidMs"] / 1000
            self.tickets[ticket] = (worker, born, asked["Step"], until)
            rows.append([worker, ticket])
        self.work.record.note(f"advisor: {asked['Step']} may run on {len(rows)} workers")
        return (200, {"Allowed": rows, "ValidMs": self.advice["ValidMs"]})

    def admits(self, ticket, runner, task):
        known = self.tickets.get(ticket)
        return (known is not None and known[:3] == (runner.id, runner.born, task.rsplit(".", 1)[0])
                and time.monotonic() <= known[3])


class Cloud:
    """The machine API. All machines are in use: there is none to spare, and none that may move."""

    def __init__(self, work):
        self.work = work
        self.server = HttpServer(self._serve)

    async def _serve(self, method, target, headers, body):
        if method == "POST":
            self.work.record.note(f"cloud: {target} {body.decode()} is refused (busy)")
            return (409, {"Reason": "busy"})
        rows = [{"Machine": f"m-{runner.id}", "Pool": runner.service,
                 "State": "up" if runner.alive else "down", "Zone": "dc0",
                 "Labels": runner.labels, "Capacity": runner.capacity, "Id": runner.id}
                for runner in self.work.runners.values()]
        return (200, {"Machines": rows, "NextToken": None})


class Runner:
    """One machine's runner. `crash` ends its life; `start` begins the next one."""

    def __init__(self, store, work, name, service, rack, capacity, labels=("kind-a",), heard=None):
        self.store = store
        self.work = work
        self.id = name
        self.service = service
        self.labels = [*labels[:1], rack, *labels[1:]]
        self.capacity = capacity
        self.server = HttpServer(self._serve)
        self.alive = False
        self.limit = None  # Connections that the runner accepts at most.
        self._ticker = None

    async def start(self):
        self.born = int(time.time() * 1000)
        self._began = time.monotonic()
        self.fence = 0
        self.lease = 0
        self.runs = {}
        self.ends = []
        self.last_end = 0
        self.highest = {}
        self.noted = set()
        self.lapsed = set()  # Ends that no longer count as noted: the lease lapsed first.
        self.alive = True
        self.ended = asyncio.Event()
        self.state = "ready"
        await self.server.start()
        self.register()
        self._ticker = asyncio.create_task(self._tick())

    async def crash(self):
        self.work.record.note(f"runner {self.id}: crashes")
        self.alive = False
        self._ticker.cancel()
        for run in self.runs.values():
            self._break_gang(run)
        self.runs = {}
        await self.server.stop()
        asyncio.create_task(self._expire(self.born))

    async def _expire(self, born):
        """The store removes the entry after three heartbeat intervals of silence."""
        await asyncio.sleep(3 * HEARTBEAT_SECONDS)
        if not self.alive and self.born == born:
            self.work.record.note(f"store: the entry of {self.id} is removed")
            self.unregister()

    def unregister(self):
        self.store.put("keyed.servers", self.id, b"")

    def register(self):
        entry = {"Service": self.service, "Address": f"127.0.0.1:{self.server.port}",
                 "Zone": "dc0", "Version": "v1", "Slots": 8, "State": self.state,
                 "ColdLeftMs": 0, "Capacity": self.capacity, "Labels": self.labels,
                 "ClockMs": self.clock(), "born": self.born, "Seq": self.clock()}
        self.store.put("keyed.servers", self.id, json.dumps(entry).encode())

    def clock(self):
        return int((time.monotonic() - self._began) * 1000)

    def _gang(self, run):
        key = (run.task.rsplit(".", 1)[0], run.run)
        return self.work.gangs.setdefault(key, {"present": set(), "since": None, "broken": False})

    def exit_task(self, task, how):
        """A task ends by itself, as its program decides."""
        self._end(self.runs[task], how)

    def _break_gang(self, run):
        if run.step.get("Gang"):
            self._gang(run)["broken"] = True

    def _end(self, run, how):
        del self.runs[run.task]
        self.highest[run.task] = max(self.highest.get(run.task, 0), run.run)
        if how != "done":
            self._break_gang(run)
        self.last_end += 1
        self.ends.append([self.last_end, run.task, run.run, how, run.checkpoint])
        self.work.event("end", run.task, run.run, self.id, how)
        self.ended.set()

    async def _tick(self):
        while True:
            await asyncio.sleep(0.005)
            now = time.monotonic()
            expired = self.clock() > self.lease
            if expired:
                self.lapsed.update(end[0] for end in self.ends)
            for run in list(self.runs.values()):
                how = "lapsed" if expired else self._outcome(run, now)
                if how:
                    self._end(run, how)

    def _outcome(self, run, now):
        if run.step.get("Gang"):
            gang = self._gang(run)
            if gang["broken"]:
                return "broken"
            if gang["since"] is None:
                return "alone" if now - run.started >= GANG_WAIT_SECONDS else None
            run.works_since = gang["since"]
        over = self.work.finished.get(run.task.rsplit(".", 1)[0])
        if over is not None and run.works_since <= over[0]:
            return over[1] if now >= over[0] + over[2].get(self.id, 0) else None
        millis = run.spec.get("ms")
        if millis is not None and (now - run.works_since) * 1000 >= millis:
            return "done"
        return None

    def used(self):
        used = {"Cpu": 0, "MemMb": 0, "Gpus": 0}
        for run in self.runs.values():
            for name in used:
                if name != "Cpu" or not run.step.get("Fills"):
                    used[name] += run.step.get(name, 0)
        return used

    def _extend(self, body):
        if "DeadlineMs" in body:
            self.lease = max(self.lease, min(body["DeadlineMs"], self.clock() + MAX_HOLD_MS))

    async def _serve(self, method, target, headers, body):
        if self.limit is not None and self.server.connections > self.limit:
            raise OSError("too many connections")
        if headers.get("x-wigeonlane-target-instance") != self.id:
            return (421, b"")
        asked = json.loads(body)
        token = asked.get("FencingToken", 0)
        if token < self.fence:
            return (409, {"ClockMs": self.clock(), "Reason": "fence"})
        self.fence = token
        if target == "/run-start":
            return self._start(asked)
        if target == "/run-stop":
            return self._stop(asked)
        if target == "/hold":
            return await self._hold(asked)
        return (200, {"ClockMs": self.clock()})

    def _refuse(self, asked, reason):
        self.work.event("refuse", asked["Task"], asked["RunId"], self.id, reason)
        return (409, {"ClockMs": self.clock(), "Reason": reason})

    def _start(self, asked):
        task, number = asked["Task"], asked["RunId"]
        if asked["DeadlineMs"] < self.clock():
            return self._refuse(asked, "late")
        self._extend(asked)
        running = self.runs.get(task)
        if running is not None and running.run == number:
            return (200, {"ClockMs": self.clock()})
        if running is not None or number <= self.highest.get(task, 0):
            return self._refuse(asked, "old")
        if task.split(".")[0] in self.work.advised_jobs and not self.work.advisor.admits(
                asked.get("Ticket", ""), self, task):
            return self._refuse(asked, "ticket")
        step = self.work.step_of(task)
        used = self.used()
        for name in used:
            if name == "Cpu" and step.get("Fills"):
                continue
            if used[name] + step.get(name, 0) > self.capacity[name]:
                return self._refuse(asked, "room")
        run = Run(task, number, step, json.loads(asked["Spec"]), asked.get("Checkpoint", ""))
        self.runs[task] = run
        if step.get("Gang"):
            gang = self._gang(run)
            gang["present"].add(task)
            if len(gang["present"]) == step["Count"] and not gang["broken"]:
                gang["since"] = time.monotonic()
        self.work.event("start", task, number, self.id, f"token {asked['FencingToken']}")
        return (200, {"ClockMs": self.clock()})

    def _stop(self, asked):
        task, number = asked["Task"], asked["RunId"]
        self.highest[task] = max(self.highest.get(task, 0), number)
        run = self.runs.get(task)
        if run is not None and run.run <= number:
            self._end(run, "stopped")
        return (200, {"ClockMs": self.clock()})

    async def _hold(self, asked):
        self._extend(asked)
        for end in self.ends:
            if end[0] <= asked["LastSeen"] and end[0] not in self.noted:
                self.noted.add(end[0])
                if end[0] not in self.lapsed:
                    self.work.event("noted", end[1], end[2], self.id, end[3])
        self.ends = [end for end in self.ends if end[0] > asked["LastSeen"]]
        until = time.monotonic() + min(asked.get("WaitMs", 0), 2000) / 1000
        while not self.ends:
            left = until - time.monotonic()
            if left <= 0:
                break
            self.ended.clear()
            try:
                await asyncio.wait_for(self.ended.wait(), left)
            except asyncio.TimeoutError:
                break
        rows = [[run.task, run.run, run.checkpoint, 100, run.step.get("Cpu", 0)]
                for run in self.runs.values()]
        return (200, {"ClockMs": self.clock(), "born": self.born, "Running": rows,
                      "Finished": self.ends[:LISTED_ENDS]})


class Instance:
    """One process of the system, started with the command of the deploy file."""

    def __init__(self, site, name):
        self.site = site
        self.name = name
        self.child = None

    async def start(self):
        self.store_port = await self.site.store.open_gate(self.name)
        self.front = free_port()
        self.ready = free_port()
        self.peers = free_port(2)
        self.path = self.site.directory / f"{self.name}.conf"
        self.path.write_text(SETTINGS.format(
            name=self.name, front=self.front, ready=self.ready, peers=self.peers,
            last=self.peers + 1, store=self.store_port, parts=self.site.store.parts)
            + self.site.extra_settings)
        self.launch()

    def launch(self):
        with open(ROOT / "deploy/system.toml", "rb") as file:
            command = tomllib.load(file)["roles"]["front"]["run"].split()
        self.log = self.site.directory / f"{self.name}.log"
        environment = {name: os.environ[name] for name in ("PATH", "HOME", "LANG")
                       if name in os.environ}
        environment["WIGEONLANE_NODE_FILE"] = str(self.path)
        with open(self.log, "ab") as log:
            self.child = subprocess.Popen(command, cwd=ROOT, env=environment, stdout=log,
                                          stderr=log, stdin=subprocess.DEVNULL)

    def signal(self, number):
        self.site.record.note(f"{self.name} gets {signal.Signals(number).name}")
        self.child.send_signal(number)

    async def call(self, method, path, body=None, timeout=3.0):
        """Sends one request of a client. Returns the status and the body; 0 without an answer."""
        content = b"" if body is None else json.dumps(body).encode()
        writer = None
        try:
            reader, writer = await asyncio.open_connection("127.0.0.1", self.front)
            writer.write(f"{method} {path} HTTP/1.1\r\nHost: {HOST}\r\n"
                         f"X-Wigeonlane-Deadline-Ms: {int(timeout * 1000)}\r\n"
                         f"Content-Type: application/json\r\n"
                         f"Content-Length: {len(content)}\r\n\r\n".encode() + content)

            async def answer():
                head = (await reader.readuntil(b"\r\n\r\n")).decode()
                size = 0
                for line in head.split("\r\n"):
                    if line.lower().startswith("content-length:"):
                        size = int(line.split(":")[1])
                return int(head.split(" ")[1]), await reader.readexactly(size)
            code, text = await asyncio.wait_for(answer(), timeout)
        except (OSError, asyncio.IncompleteReadError, asyncio.TimeoutError):
            code, text = 0, b""
        finally:
            if writer is not None:
                writer.close()
        if self.site.log_calls or method != "GET":
            self.site.record.note(f"client: {method} {path} at {self.name} -> {code} "
                                  f"{text[:80].decode(errors='replace')}")
        try:
            return code, json.loads(text) if text else {}
        except ValueError:
            return code, {}


class Site:
    """A small deployment. Ends everything that it started when it is left."""

    log_calls = False
    extra_settings = ""

    def __init__(self, record_path, parts=8):
        self.record = Record(record_path)
        self.store = Store(self.record, parts)
        self.work = Work(self.record)
        self.directory = Path(tempfile.mkdtemp(prefix="wigeonlane-review-"))
        self.instances = {}
        self.runners = {}
        self.version = 0

    async def add_runner(self, name, service, rack, cpu=32000, mem=65536, **options):
        runner = Runner(self.store, self.work, name, service, rack,
                        {"Cpu": cpu, "MemMb": mem, "Gpus": 0}, **options)
        self.runners[name] = self.work.runners[name] = runner
        await runner.start()
        return runner

    async def start_advisor(self, advice):
        """Starts the advisor; must be called before the instances are started."""
        self.work.advisor = Advisor(self.work, advice)
        await self.work.advisor.server.start()
        self.extra_settings += f"Advice=127.0.0.1:{self.work.advisor.server.port}\n"

    async def add_runners(self, service, count):
        """Adds the runners of a service, four to a rack as in the site files."""
        for number in range(count):
            await self.add_runner(f"{service}-{number}", service, f"{service}-rack-{number // 4}")

    def configure(self, routes, services):
        """Writes a configuration. `routes` maps the name of a queue to the fields of its route."""
        self.version += 1
        rows = [{"Name": f"r-{name}", "Host": HOST, "PathPrefix": f"/{name}/",
                 "Kind": "non_idempotent", "TimeoutMs": 3000, "TargetLatencyMs": 2000,
                 "Priority": 0, "MaxAttempts": 2, "Stretch": 2, **fields}
                for name, fields in routes.items()]
        config = {"Version": self.version, "Routes": rows,
                  "Services": [{"Name": name, "HealthPath": "/health", "MaxConns": 64,
                                "Protocol": "h1", "Tls": False, "EnforcesCapacity": True,
                                "Standby": name == SPARE_POOL}
                               for name in [*services, SPARE_POOL]],
                  "Limits": {"MaxHeaderBytes": 16384, "MaxBodyBytes": 262144,
                             "HeaderTimeoutMs": 3000, "IdleTimeoutMs": 15000}}
        self.store.put("keyed.op", "config", json.dumps(config).encode())
        self.record.note(f"operator: configuration {self.version} is acknowledged")

    async def start_instances(self, count):
        cloud = Cloud(self.work)
        await cloud.server.start()
        self.extra_settings += (f"CloudApi.Address=127.0.0.1:{cloud.server.port}\n"
                                "CloudApi.RatePerS=64.0\nCloudApi.DutyPerS=64.0\n")
        for number in range(count):
            instance = Instance(self, f"instance{number}")
            self.instances[instance.name] = instance
            await instance.start()

    async def until(self, condition, seconds, what):
        """Waits for a condition of the set-up. Raises `Unready` if it does not come."""
        end = time.monotonic() + seconds
        while True:
            value = condition()
            if asyncio.iscoroutine(value):
                value = await value
            if value:
                return value
            if time.monotonic() >= end:
                raise Unready(what)
            await asyncio.sleep(0.02)

    async def wait_ready(self, queue, seconds=25):
        """Waits until every instance counts the jobs of the queue."""
        async def counted():
            for instance in self.instances.values():
                code, _ = await instance.call("GET", f"/{queue}/")
                if code != 200:
                    return False
            return True
        await self.until(counted, seconds, "the instances serve the queue")

    async def submit(self, queue, job, steps, spec, instance=None, seconds=15, **fields):
        """Submits a job and repeats the request until it is accepted."""
        body = {"Spec": json.dumps(spec), "Steps": steps, **fields}
        self.work.jobs[job] = body
        chosen = instance or next(iter(self.instances.values()))

        async def accepted():
            code, _ = await chosen.call("POST", f"/{queue}/{job}", body)
            return code == 200
        await self.until(accepted, seconds, f"job {job} accepted")

    async def state(self, queue, job, instance=None):
        chosen = instance or next(iter(self.instances.values()))
        code, body = await chosen.call("GET", f"/{queue}/{job}")
        return body.get("State") if code == 200 else code

    async def close(self):
        for instance in self.instances.values():
            if instance.child is not None and instance.child.poll() is None:
                instance.child.send_signal(signal.SIGCONT)
                instance.child.kill()
                instance.child.wait()
        keep = os.environ.get("KEEP_LOGS")
        if keep:
            shutil.copytree(self.directory, keep, dirs_exist_ok=True)
        shutil.rmtree(self.directory, ignore_errors=True)
        self.record.close()


class Unready(Exception):
    """The case could not be set up."""


def main(case, folder, **options):
    """Runs `case(site, trouble)`, which returns what broke the rule, or nothing. Exits with 1 if
    the rule was broken, 0 if it held, and 2 if the case could not run."""
    trouble = os.environ.get("TROUBLE", "1") != "0"
    site = Site(Path(folder) / "record.txt", **options)

    async def play():
        loop = asyncio.get_running_loop()
        for number in (signal.SIGTERM, signal.SIGINT):
            loop.add_signal_handler(number, asyncio.current_task().cancel)
        try:
            site.record.note(f"trouble: {'yes' if trouble else 'no'}")
            broken = await asyncio.wait_for(case(site, trouble), CASE_SECONDS)
            site.record.note(f"verdict: {'BROKEN: ' + broken if broken else 'held'}")
            return 1 if broken else 0
        except (Exception, asyncio.CancelledError) as error:  # noqa: BLE001
            site.record.note(f"verdict: could not run: {error!r}")
            return 2
        finally:
            await site.close()
    return asyncio.run(play())
