"""A small stand-in of the platform for the cases of this review: the store, the runners, and what
a script needs to start instances. It follows PROTOCOL.md and DEPLOY.md. Standard library only.

All servers run on one event loop. Every instance has its own address of the store, so that a script
can cut one instance off from it. A runner's calls are told apart by their fencing token: owners of
a later term have higher ones."""

import asyncio
import base64
import json
import os
import random
import signal
import socket
import struct
import subprocess
import tempfile
import time
from pathlib import Path
from urllib.parse import parse_qsl, urlsplit

ROOT = Path(__file__).resolve().parents[2]
HOST = "127.0.0.1"
APPEND_SECONDS = 0.004
MAX_HOLD_MS = 10_000
STOP_GRACE_SECONDS = 0.05
HEARTBEAT_SECONDS = 1.5
PAGE = 500
DROP = object()  # The call is lost: it is not executed and gets no response.


class Record:
    """What was sent, answered and run, with seconds since the start of the script."""

    def __init__(self, path):
        self.start = time.monotonic()
        self.lines = []
        self.path = path

    def add(self, text):
        self.lines.append(f"{time.monotonic() - self.start:9.3f} {text}")

    def write(self):
        self.path.write_text("\n".join(self.lines) + "\n")


_taken_ports = set()


def is_free(port):
    if port in _taken_ports:
        return False
    with socket.socket() as sock:
        try:
            sock.bind((HOST, port))
        except OSError:
            return False
    return True


def free_ports(count, following=0):
    """Returns ports that were free when checked, below the range of outgoing connections, each with
    `following` free ones after it. No port is returned twice."""
    chosen = []
    while len(chosen) < count:
        port = random.randint(18000, 31900)
        wanted = range(port, port + following + 1)
        if all(is_free(each) for each in wanted):
            _taken_ports.update(wanted)
            chosen.append(port)
    return chosen


async def serve_http(port, handler):
    """Serves HTTP/1.1. `handler(method, target, headers, body)` returns (code, body, type) or DROP.
    A connection on which a response is lost returns nothing further."""
    async def session(reader, writer):
        silent = False
        try:
            while True:
                head = (await reader.readuntil(b"\r\n\r\n")).decode("latin-1")
                first, *lines = head.strip().split("\r\n")
                method, target, _ = first.split(" ", 2)
                headers = {}
                for line in lines:
                    name, _, value = line.partition(":")
                    headers[name.strip().lower()] = value.strip()
                body = await reader.readexactly(int(headers.get("content-length", "0")))
                if silent:
                    continue
                answer = await handler(method, target, headers, body)
                if answer is DROP:
                    silent = True
                    continue
                code, content, kind = answer
                writer.write(f"HTTP/1.1 {code} X\r\nContent-Type: {kind}\r\n"
                             f"Content-Length: {len(content)}\r\n\r\n".encode() + content)
                await writer.drain()
        except (asyncio.IncompleteReadError, ConnectionError, asyncio.CancelledError):
            pass
        finally:
            writer.close()
    return await asyncio.start_server(session, HOST, port)


def as_json(code, value):
    return code, json.dumps(value).encode(), "application/json"


class Partition:
    def __init__(self):
        self.records = []
        self.newest = {}
        self.producers = {}
        self.lock = asyncio.Lock()
        self.changed = asyncio.Event()

    def store(self, content):
        offset = len(self.records)
        self.records.append(content)
        if content:
            size = content[0]
            key, value = content[1:1 + size], content[1 + size:]
            if value:
                self.newest[key] = (value, offset)
            else:
                self.newest.pop(key, None)

    def put(self, key, value):
        self.store(bytes([len(key)]) + key.encode() + value.encode())
        self.wake()

    def wake(self):
        self.changed.set()
        self.changed = asyncio.Event()


class Group:
    def __init__(self, parts):
        self.parts = parts
        self.generation = 0
        self.members = {}
        self.assigned = {}
        self.holders = {}

    def assign(self):
        """Distributes the partitions evenly and moves no more of them than that takes."""
        self.generation += 1
        names = sorted(self.members)
        kept = {name: [p for p, m in self.assigned.items() if m == name] for name in names}
        self.assigned = {}
        if not names:
            return
        most = -(-self.parts // len(names))
        for name in names:
            del kept[name][most:]
        free = sorted(set(range(self.parts)) - {p for held in kept.values() for p in held})
        for part in free:
            kept[min(names, key=lambda name: len(kept[name]))].append(part)
        self.assigned = {p: name for name, held in kept.items() for p in held}

    def drop(self, member):
        self.members.pop(member, None)
        self.holders = {p: m for p, m in self.holders.items() if m != member}

    def expire(self):
        now = time.monotonic()
        gone = [m for m, until in self.members.items() if until <= now]
        for member in gone:
            self.drop(member)
        if gone:
            self.assign()

    def join(self, member, ttl, generation):
        self.expire()
        added = member not in self.members
        self.members[member] = time.monotonic() + ttl
        if added:
            self.assign()
        held = []
        for part, wanted in self.assigned.items():
            holder = self.holders.get(part)
            if wanted == member and holder in (None, member):
                self.holders[part] = member
                held.append(part)
            elif wanted != member and holder == member and generation >= self.generation:
                del self.holders[part]
        return held

    def leave(self, member):
        self.expire()
        if member in self.members:
            self.drop(member)
            self.assign()


class Store:
    """The platform's store. `cut` holds the names of instances that get no response."""

    def __init__(self, record, parts):
        self.record = record
        self.parts = parts
        self.partitions = {}
        self.groups = {}
        self.topics = {}
        self.cut = set()
        self.joined_at = {}  # By instance: arrival of the last join that was answered.

    def partition(self, topic, number=0):
        return self.partitions.setdefault((topic, int(number)), Partition())

    def operator(self, key, value):
        self.record.add(f"operator writes {key}: {json.dumps(value)}")
        self.partition("keyed.op").put(key, json.dumps(value))

    def owner_of_job(self, job):
        """The member that holds the partition in which the job is stored, and its number."""
        for (topic, number), partition in self.partitions.items():
            if topic == "keyed.jobs" and any(job.encode() in key for key in partition.newest):
                for group in self.groups.values():
                    if number in group.holders:
                        return group.holders[number], number
        return None, None

    async def listen(self, port, instance):
        async def handle(method, target, headers, body):
            if instance in self.cut:
                return DROP
            answer = await self.handle(instance, target, body)
            return DROP if instance in self.cut else answer
        return await serve_http(port, handle)

    async def handle(self, instance, target, body):
        url = urlsplit(target)
        query = dict(parse_qsl(url.query))
        path = url.path
        if path == "/log-append":
            return await self.append(query, body)
        if path == "/log-read":
            return await self.read(query)
        if path == "/log-newest":
            return self.read_newest(query)
        if path == "/log-owners":
            group = self.groups.get(query.get("group"))
            if group is None:
                return as_json(200, {"parts": []})
            group.expire()
            topic = self.topics[query["group"]]
            return as_json(200, {"parts": [[topic, p, m, 0] for p, m in group.holders.items()]})
        fields = json.loads(body or b"{}")
        if path == "/log-join":
            group = self.groups.setdefault(fields["group"], Group(self.parts))
            self.topics[fields["group"]] = fields["Topics"][0]
            before = dict(group.holders)
            held = group.join(fields["Member"], fields["TtlMs"] / 1000, fields["Generation"])
            self.joined_at[instance] = time.monotonic()
            if group.holders != before:
                self.record.add(f"store: owners of the cells {group.holders}")
            return as_json(200, {"Generation": group.generation,
                                 "parts": [[fields["Topics"][0], p, 0] for p in held]})
        if path == "/log-leave":
            if fields["group"] in self.groups:
                self.groups[fields["group"]].leave(fields["Member"])
            return as_json(200, {})
        return as_json(404, {})

    async def append(self, query, body):
        partition = self.partition(query["Topic"], query["part"])
        async with partition.lock:
            await asyncio.sleep(APPEND_SECONDS)
            end = len(partition.records)
            if "AsOf" in query and int(query["AsOf"]) != end:
                return as_json(412, {"EndOffset": end})
            state = None
            if "Producer" in query:
                epoch = int(query["epoch"])
                state = partition.producers.setdefault(
                    query["Producer"], {"epoch": -1, "last": None, "recent": {}})
                if epoch < state["epoch"]:
                    return as_json(409, {"Reason": "fenced"})
                if epoch > state["epoch"]:
                    state.update(epoch=epoch, last=None, recent={})
                if "Seq" in query:
                    number = int(query["Seq"])
                    if number in state["recent"]:
                        return state["recent"][number]
                    if state["last"] is not None and number != state["last"] + 1:
                        return as_json(409, {"Reason": "seq", "Seq": state["last"] + 1})
            while body:
                (size,) = struct.unpack(">I", body[:4])
                partition.store(body[4:4 + size])
                body = body[4 + size:]
            answer = as_json(200, {"Offset": end, "EndOffset": len(partition.records)})
            if state is not None and "Seq" in query:
                state["last"] = int(query["Seq"])
                state["recent"][state["last"]] = answer
                for old in [n for n in state["recent"] if n <= state["last"] - 5]:
                    del state["recent"][old]
            partition.wake()
            return answer

    async def read(self, query):
        partition = self.partition(query["Topic"], query["part"])
        start = int(query["From"])
        deadline = time.monotonic() + int(query.get("WaitMs", 0)) / 1000
        while start >= len(partition.records) and time.monotonic() < deadline:
            try:
                await asyncio.wait_for(partition.changed.wait(), deadline - time.monotonic())
            except asyncio.TimeoutError:
                break
        body = struct.pack(">QQ", len(partition.records), 0)
        limit = int(query.get("MaxKb", 1024)) * 1024
        for content in partition.records[start:]:
            if len(body) >= limit:
                break
            body += struct.pack(">I", len(content)) + content
        return 200, body, "application/octet-stream"

    def read_newest(self, query):
        partition = self.partition(query["Topic"], query["part"])
        after = query.get("After", "").encode()
        keys = [k for k in sorted(partition.newest) if k > after]
        items = [{"Key": k.decode(), "Value": base64.b64encode(partition.newest[k][0]).decode(),
                  "Offset": partition.newest[k][1]} for k in keys[:PAGE]]
        return as_json(200, {"items": items, "HasMore": len(keys) > PAGE,
                             "EndOffset": len(partition.records)})


class Runner:
    """One incarnation of a runner. A task runs for the milliseconds that its `Spec` says, or until
    it is stopped if that is negative. `answer(path, fields)` may return DROP, or a response that is
    sent in place of executing the call."""

    def __init__(self, record, store, runner_id, service, rack, cpu=8_000, kind="kind-a"):
        self.record = record
        self.store = store
        self.id = runner_id
        self.service = service
        self.rack = rack
        self.cpu = cpu
        self.kind = kind
        (self.port,) = free_ports(1)
        self.born = int(time.time() * 1000)
        self.started = time.monotonic()
        self.fence = 0
        self.lease = 0.0
        self.runs = {}
        self.used = {}
        self.finished = []
        self.last_number = 0
        self.highest = {}
        self.ended = asyncio.Event()
        self.answer = lambda path, fields: None
        self.history = []  # Rows: task, run, began, ended or None, how.
        self.sequence = 0

    def clock(self):
        return (time.monotonic() - self.started) * 1000

    def publish(self, state="ready"):
        self.sequence += 1
        entry = {"Service": self.service, "Address": f"{HOST}:{self.port}", "Zone": "zone-a",
                 "Version": "1", "Slots": 8, "State": state, "ColdLeftMs": 0, "Seq": self.sequence,
                 "Capacity": {"Cpu": self.cpu, "MemMb": 8192, "Gpus": 0},
                 "Labels": [self.kind, self.rack], "born": self.born}
        self.store.partition("keyed.servers").put(self.id, json.dumps(entry))

    async def listen(self):
        await serve_http(self.port, self.handle)
        self.publish()
        asyncio.get_running_loop().create_task(self.live())

    async def live(self):
        beat = time.monotonic()
        while True:
            await asyncio.sleep(0.005)
            if time.monotonic() - beat >= HEARTBEAT_SECONDS:
                beat += HEARTBEAT_SECONDS
                self.publish()
            self.advance()

    def advance(self):
        now = self.clock()
        for task, run in list(self.runs.items()):
            if now > self.lease:
                self.finish(task, "lapsed")
            elif run["ends"] is not None and now >= run["ends"]:
                self.finish(task, "done")

    def finish(self, task, how):
        run = self.runs.pop(task)
        self.highest[task] = max(self.highest.get(task, 0), run["run"])
        self.last_number += 1
        self.finished.append([self.last_number, task, run["run"], how, ""])
        run["row"][3] = time.monotonic() - self.record.start
        run["row"][4] = how
        self.record.add(f"{self.id}: {task} run {run['run']} ends {how}")
        self.ended.set()
        self.ended = asyncio.Event()

    async def handle(self, method, target, headers, body):
        fields = json.loads(body)
        path = urlsplit(target).path
        if headers.get("x-wigeonlane-target-instance") != self.id:
            return as_json(421, {"ClockMs": int(self.clock())})
        special = self.answer(path, fields)
        if special is not None:
            if path == "/run-start":
                said = "no response" if special is DROP else special[0]
                self.record.add(f"{self.id}: start of {fields['Task']} run {fields['RunId']} is not "
                                f"executed, {said}")
            return special
        self.advance()
        if fields.get("FencingToken", 0) < self.fence:
            return self.conflict("fence")
        self.fence = fields.get("FencingToken", 0)
        if path == "/run-start":
            return self.run_start(fields)
        if path == "/run-stop":
            return self.run_stop(fields)
        if path == "/pace":
            return as_json(200, {"ClockMs": int(self.clock())})
        answer = await self.hold(fields)
        again = self.answer("/hold", fields)
        return answer if again is None else again

    def conflict(self, reason):
        return as_json(409, {"ClockMs": int(self.clock()), "Reason": reason})

    def extend(self, fields):
        if "DeadlineMs" in fields:
            self.lease = max(self.lease, min(fields["DeadlineMs"], self.clock() + MAX_HOLD_MS))

    def run_start(self, fields):
        task, number = fields["Task"], fields["RunId"]
        if fields["DeadlineMs"] < self.clock():
            return self.conflict("late")
        self.extend(fields)
        running = self.runs.get(task)
        if running is not None and running["run"] == number:
            return as_json(200, {"ClockMs": int(self.clock())})
        if running is not None or number <= self.highest.get(task, 0):
            return self.conflict("old")
        millis = json.loads(fields["Spec"])["ms"]
        row = [task, number, time.monotonic() - self.record.start, None, "running"]
        self.history.append(row)
        self.runs[task] = {"run": number, "ends": None if millis < 0 else self.clock() + millis,
                           "row": row}
        self.record.add(f"{self.id}: {task} run {number} begins, token {fields['FencingToken']}")
        return as_json(200, {"ClockMs": int(self.clock())})

    def run_stop(self, fields):
        task, number = fields["Task"], fields["RunId"]
        self.highest[task] = max(self.highest.get(task, 0), number)
        if task in self.runs and self.runs[task]["run"] <= number:
            self.finish(task, "stopped")
        return as_json(200, {"ClockMs": int(self.clock())})

    async def hold(self, fields):
        self.extend(fields)
        self.finished = [end for end in self.finished if end[0] > fields.get("LastSeen", 0)]
        wait = min(fields.get("WaitMs", 0), 2000) / 1000
        if wait > 0 and not self.finished:
            try:
                await asyncio.wait_for(self.ended.wait(), wait)
            except asyncio.TimeoutError:
                pass
        self.advance()
        return as_json(200, {"ClockMs": int(self.clock()), "born": self.born,
                             "Running": [[t, r["run"], "", 100, 0] for t, r in self.runs.items()],
                             "Finished": self.finished[:PAGE]})


class Instance:
    """A process of the system, started with the run line of the deploy file."""

    def __init__(self, record, directory, name, store_port, parts):
        self.record = record
        self.name = name
        self.front, self.ready, self.control = free_ports(3)
        (internal,) = free_ports(1, following=15)
        self.settings = directory / f"{name}.conf"
        self.log = directory / f"{name}.log"
        self.settings.write_text("\n".join([
            f"NodeId={name}", "Role=front", "MachineClass=front", "Serves=front", f"Ip={HOST}",
            "Zone=zone-a", "Region=region-a", "Zones.zone-a=region-a",
            f"Listen.Front={HOST}:{self.front}", f"Listen.Ready={HOST}:{self.ready}",
            f"Listen.Control={HOST}:{self.control}", f"InternalPorts={internal},{internal + 15}",
            "Bootstrap=true", "Limits.CpuShare=0.25", "Limits.Cores=1", "Limits.MemoryMb=260",
            "Limits.MaxFds=4100", "Limits.LinkMbps=1000.0", "Discovery=platform", "Entry=vip",
            "HeartbeatMs=1500", "Orders=rpc", "Bounds.ContactMs=3000", "Bounds.AckMs=4000",
            "Bounds.DrainMs=2000", "Bounds.GraceS=6", "Bounds.ConfigApplyMs=2000",
            "Bounds.MaxHoldMs=10000", "Bounds.StopGraceMs=900", "Bounds.GangWaitMs=3000",
            "Bounds.cancel_ms=3000", "Bounds.visible_ms=3000", "Bounds.status_s=120",
            "Bounds.RequireFencing=true", "Bounds.LeaseMs=3000",
            f"platform.Address={HOST}:{store_port}", "platform.form=log",
            "platform.WritesPerS=600", "platform.ReadsPerS=2000", f"platform.parts={parts}",
            "platform.AppendMs=4.0", "platform.RecordBytes=262144", "platform.CallBytes=2097152",
            "platform.keep_s=300", "platform.PartMb=200", "platform.MinTtlMs=1000"]) + "\n")
        self.child = None

    def start(self):
        environment = {k: v for k, v in os.environ.items() if k in ("PATH", "HOME", "LANG")}
        environment["WIGEONLANE_NODE_FILE"] = str(self.settings)
        with open(self.log, "ab") as log:
            self.child = subprocess.Popen([str(ROOT / "target/daemon/wigeonlaned"), "jobs"],
                                          cwd=ROOT, stdout=log, stderr=log, env=environment)
        self.record.add(f"{self.name} starts")

    def end(self):
        if self.child is not None and self.child.poll() is None:
            self.child.send_signal(signal.SIGCONT)
            self.child.kill()
            self.child.wait()

    async def call(self, method, host, path, body=None, deadline_ms=3000):
        """One call of a client; returns the code (0 without a response) and the body."""
        content = b"" if body is None else json.dumps(body).encode()
        head = (f"{method} {path} HTTP/1.1\r\nHost: {host}\r\nContent-Type: application/json\r\n"
                f"X-Wigeonlane-Deadline-Ms: {deadline_ms}\r\nContent-Length: {len(content)}\r\n\r\n")

        async def exchange():
            reader, writer = await asyncio.open_connection(HOST, self.front)
            try:
                writer.write(head.encode() + content)
                await writer.drain()
                lines = (await reader.readuntil(b"\r\n\r\n")).decode().split("\r\n")
                size = next((int(line.split(":")[1]) for line in lines
                             if line.lower().startswith("content-length:")), 0)
                return int(lines[0].split(" ")[1]), (await reader.readexactly(size)).decode()
            finally:
                writer.close()
        try:
            code, text = await asyncio.wait_for(exchange(), deadline_ms / 1000)
        except (OSError, asyncio.TimeoutError, asyncio.IncompleteReadError):
            code, text = 0, ""
        self.record.add(f"client -> {self.name}: {method} {host}{path} "
                        f"{'' if body is None else json.dumps(body)} -> {code or 'no response'} {text}")
        return code, text

    async def is_ready(self):
        try:
            reader, writer = await asyncio.open_connection(HOST, self.ready)
            writer.write(b"GET /ready HTTP/1.1\r\nHost: x\r\n\r\n")
            line = await asyncio.wait_for(reader.readline(), 1)
            writer.close()
            return b" 200 " in line
        except (OSError, asyncio.TimeoutError):
            return False


class Platform:
    """The store, runners and instances of one script."""

    def __init__(self, folder, parts):
        self.record = Record(Path(folder) / "record.txt")
        self.directory = Path(tempfile.mkdtemp(prefix="wigeonlane-review-"))
        self.parts = parts
        self.store = Store(self.record, parts)
        self.runners = {}
        self.instances = {}

    async def add_runner(self, name, service, rack, cpu=8_000, kind="kind-a"):
        runner = Runner(self.record, self.store, name, service, rack, cpu, kind)
        self.runners[name] = runner
        await runner.listen()
        return runner

    async def add_instance(self, name):
        (port,) = free_ports(1)
        await self.store.listen(port, name)
        self.instances[name] = Instance(self.record, self.directory, name, port, self.parts)
        self.instances[name].start()
        return self.instances[name]

    def configure(self, version, queues, **extra):
        """`queues` are rows of name, host, prefix, service, and fields of their routes."""
        routes = [{"Name": name, "Host": host, "PathPrefix": prefix, "Service": service,
                   "Priority": 0, "MaxAttempts": 3, "Stretch": 2.0, "TargetLatencyMs": 600, **more}
                  for name, host, prefix, service, more in queues]
        services = [{"Name": s, "EnforcesCapacity": True} for s in sorted({q[3] for q in queues})]
        self.store.operator("config", {"Version": version, "Routes": routes, "Services": services,
                                       "Limits": {}, **extra})

    async def wait(self, condition, seconds, what):
        deadline = time.monotonic() + seconds
        while time.monotonic() < deadline:
            result = condition()
            if asyncio.iscoroutine(result):
                result = await result
            if result:
                return
            await asyncio.sleep(0.02)
        raise CannotRun(f"not within {seconds} s: {what}")

    def end(self):
        for instance in self.instances.values():
            instance.end()
        self.record.write()


class CannotRun(Exception):
    """The case could not be brought about."""


def overlaps(runners):
    """Returns the pairs of runs of one task that ran at the same time."""
    rows = [(row, runner.id) for runner in runners for row in runner.history]
    found = []
    for i, (a, runner_a) in enumerate(rows):
        for b, runner_b in rows[i + 1:]:
            if a[0] != b[0]:
                continue
            ends_a = float("inf") if a[3] is None else a[3]
            ends_b = float("inf") if b[3] is None else b[3]
            if a[2] < ends_b and b[2] < ends_a:
                found.append((a, runner_a, b, runner_b))
    return found


def main(case, folder, parts=8):
    """Runs `case(platform, trouble)`, which returns what was broken; exits as the review asks."""
    trouble = os.environ.get("TROUBLE", "1") != "0"
    platform = Platform(folder, parts)
    platform.record.add(f"TROUBLE={'1' if trouble else '0'}")
    loop = asyncio.new_event_loop()
    asyncio.set_event_loop(loop)
    code = 2
    try:
        broken = loop.run_until_complete(asyncio.wait_for(case(platform, trouble), 110))
        platform.record.add(f"broken: {broken}" if broken else "the rule held")
        code = 1 if broken else 0
    except (CannotRun, asyncio.TimeoutError) as error:
        platform.record.add(f"the case could not run: {error!r}")
    finally:
        platform.end()
    print(platform.record.lines[-1], flush=True)
    os._exit(code)  # Connections are still open; nothing is left to be written.
