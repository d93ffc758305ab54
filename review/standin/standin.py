"""Small stand-ins of the platform's store and of one runner, after PROTOCOL.md.

    standin.py store PORT PARTS [GATE_PORT]
    standin.py runner ID SERVICE RACK PORT STORE_PORT LEDGER_FILE CPU_MILLI KIND

Both listen on 127.0.0.1. The store can turn away those that call it at GATE_PORT. Paths below /ctl are for the script that starts them: they stand for
events of the outside world (a cut, an outage) and are not seen by the system.
"""

import asyncio
import base64
import json
import sys
import time
from urllib.parse import parse_qsl, urlsplit

HOST = "127.0.0.1"
APPEND_S = 0.004  # platform.AppendMs
RECORD_BYTES = 262144  # platform.RecordBytes
CALL_BYTES = 2097152  # platform.CallBytes
PAGE_ITEMS = 500  # log-newest
PAGE_BYTES = 1000000
READ_KB = 1024  # log-read
KEPT_RESPONSES = 5
HEARTBEAT_S = 1.5
MAX_HOLD_MS = 10000  # Bounds.MaxHoldMs
MAX_WAIT_MS = 2000
MAX_LISTED_ENDS = 500  # "500 at a time"


class HttpConnection(asyncio.Protocol):
    """Serves HTTP/1.1 requests of one connection, one at a time."""

    def __init__(self, app):
        self.app = app
        self.buffer = b""
        self.busy = False
        self.held_answer = None  # An answer that a cut holds up.

    def connection_made(self, transport):
        self.transport = transport
        self.app.connections.add(self)

    def connection_lost(self, _):
        self.app.connections.discard(self)

    def data_received(self, data):
        self.buffer += data
        if not self.busy and not self.app.is_cut():
            self.next_request()

    def resume(self):
        """The cut has ended: what it held up on this connection goes on."""
        if self.held_answer is not None:
            held, self.held_answer = self.held_answer, None
            self.answer(held)
        elif not self.busy and self.buffer:
            self.next_request()

    def next_request(self):
        head_end = self.buffer.find(b"\r\n\r\n")
        if head_end < 0:
            return
        lines = self.buffer[:head_end].decode("latin1").split("\r\n")
        method, target, _ = lines[0].split(" ", 2)
        headers = {}
        for line in lines[1:]:
            name, _, value = line.partition(":")
            headers[name.strip().lower()] = value.strip()
        length = int(headers.get("content-length", "0"))
        end = head_end + 4 + length
        if len(self.buffer) < end:
            return
        body = self.buffer[head_end + 4:end]
        self.buffer = self.buffer[end:]
        self.busy = True
        result = self.app.handle(method, target, headers, body)
        if asyncio.iscoroutine(result):
            asyncio.ensure_future(self.answer_later(result))
        else:
            self.answer(result)

    async def answer_later(self, coroutine):
        self.answer(await coroutine)

    def answer(self, result):
        if self.app.is_cut():
            self.held_answer = result
            return
        code, content = result
        if not isinstance(content, bytes):
            content = json.dumps(content).encode()
        if not self.transport.is_closing():
            self.transport.write(b"HTTP/1.1 %d X\r\nContent-Type: application/json\r\n"
                                 b"Content-Length: %d\r\n\r\n" % (code, len(content)) + content)
        self.busy = False
        if self.buffer:
            self.next_request()


class App:
    def __init__(self):
        self.connections = set()
        self.cut_until = 0.0

    def is_cut(self):
        return time.monotonic() < self.cut_until

    def cut(self, seconds):
        """For `seconds` nothing comes in or goes out. What is held up arrives afterwards, unless
        its sender has closed the connection in the meantime."""
        self.cut_until = time.monotonic() + seconds
        asyncio.get_running_loop().call_later(seconds + 0.001, self.heal)

    def heal(self):
        for connection in list(self.connections):
            connection.resume()


class Partition:
    def __init__(self):
        self.records = []
        self.newest = {}
        self.producers = {}
        self.changed = asyncio.Event()
        self.lock = asyncio.Lock()

    def store(self, content, keyed):
        offset = len(self.records)
        self.records.append(content)
        if keyed and content:
            size = content[0]
            key, value = content[1:1 + size], content[1 + size:]
            self.newest.pop(key, None)
            if value:
                self.newest[key] = (value, offset)

    def announce(self):
        self.changed.set()
        self.changed = asyncio.Event()


class Group:
    """Membership of log-join: partitions are dealt evenly and handed over when released."""

    def __init__(self, topic, parts):
        self.topic = topic
        self.parts = parts
        self.generation = 0
        self.members = {}  # Name: expiry.
        self.assigned = {}
        self.holders = {}

    def deal(self):
        self.generation += 1
        names = sorted(self.members)
        self.assigned = {part: names[part % len(names)]
                         for part in range(self.parts)} if names else {}

    def drop(self, member):
        del self.members[member]
        self.holders = {p: m for p, m in self.holders.items() if m != member}

    def expire(self):
        gone = [m for m, until in self.members.items() if until <= time.monotonic()]
        for member in gone:
            self.drop(member)
        if gone:
            self.deal()

    def join(self, member, ttl_s, generation):
        self.expire()
        known = member in self.members
        self.members[member] = time.monotonic() + ttl_s
        if not known:
            self.deal()
        held = []
        for part, owner in self.assigned.items():
            holder = self.holders.get(part)
            if owner == member and holder in (None, member):
                self.holders[part] = member
                held.append(part)
            elif owner != member and holder == member and generation >= self.generation:
                del self.holders[part]
        return held


class Store(App):
    def __init__(self, parts):
        super().__init__()
        self.parts = parts
        self.topics = {}
        self.groups = {}
        self.runners = {}  # Id: time of the last heartbeat.
        self.down_until = 0.0
        self.down_parts = set()  # Only these partitions of the jobs are down; none: the store.
        self.gate_closed_until = 0.0
        self.refused_sizes = []
        self.largest_record = 0

    def partition(self, topic, part):
        return self.topics.setdefault((topic, int(part)), Partition())

    def handle(self, method, target, headers, body):
        url = urlsplit(target)
        query = dict(parse_qsl(url.query))
        path = url.path
        if path.startswith("/ctl/"):
            return self.control(path, query, body)
        if time.monotonic() < self.down_until and self.is_down_for(query):
            return 503, {}
        if path == "/log-append":
            return self.append(query, body)
        if path == "/log-read":
            return self.read(query)
        if path == "/log-newest":
            return self.read_newest(query)
        if path == "/log-owners":
            group = self.groups.get(query["group"])
            if group is None:
                return 200, {"parts": []}
            group.expire()
            return 200, {"parts": [[group.topic, p, m, 0] for p, m in group.holders.items()]}
        request = json.loads(body)
        if path == "/log-join":
            topic = request["Topics"][0]
            group = self.groups.setdefault(request["group"], Group(topic, self.parts))
            held = group.join(request["Member"], request["TtlMs"] / 1000, request["Generation"])
            return 200, {"Generation": group.generation, "parts": [[topic, p, 0] for p in held]}
        if path == "/log-leave":
            group = self.groups.get(request["group"])
            if group is not None and request["Member"] in group.members:
                group.drop(request["Member"])
                group.deal()
            return 200, {}
        return 404, {}

    def is_down_for(self, query):
        if not self.down_parts:
            return True
        return query.get("Topic") == "keyed.jobs" and int(query["part"]) in self.down_parts

    def control(self, path, query, body):
        if path == "/ctl/put":
            self.put(query["topic"], query["key"], body)
        elif path == "/ctl/heartbeat":
            if query["state"] == "gone":
                self.remove_runner(query["id"])
            elif self.down_parts or time.monotonic() >= self.down_until:
                self.runners[query["id"]] = time.monotonic()
                self.put("keyed.servers", query["id"], body)
        elif path == "/ctl/down":
            self.down_until = time.monotonic() + float(query["s"])
            self.down_parts = {int(part) for part in query.get("parts", "").split(",") if part}
        elif path == "/ctl/turn-away":
            self.gate_closed_until = time.monotonic() + float(query["s"])
        elif path == "/ctl/refused":
            return 200, {"largest_record": self.largest_record, "refused": self.refused_sizes}
        return 200, {}

    def put(self, topic, key, value):
        partition = self.partition(topic, 0)
        partition.store(bytes([len(key)]) + key.encode() + value, True)
        partition.announce()

    def remove_runner(self, runner):
        if self.runners.pop(runner, None) is not None:
            self.put("keyed.servers", runner, b"")

    async def expire_runners(self):
        """Removes entries after three heartbeat intervals of silence."""
        while True:
            await asyncio.sleep(0.1)
            for runner, seen in list(self.runners.items()):
                if time.monotonic() - seen > 3 * HEARTBEAT_S:
                    self.remove_runner(runner)

    async def append(self, query, body):
        partition = self.partition(query["Topic"], query["part"])
        records = []
        rest = memoryview(body)
        while len(rest) >= 4:
            size = int.from_bytes(rest[:4], "big")
            records.append(bytes(rest[4:4 + size]))
            rest = rest[4 + size:]
        largest = max((len(record) for record in records), default=0)
        self.largest_record = max(self.largest_record, largest)
        if largest > RECORD_BYTES or len(body) > CALL_BYTES:
            self.refused_sizes.append([time.time(), query["Topic"], query["part"], largest,
                                       len(body)])
            return 400, {"Reason": "size"}
        async with partition.lock:
            await asyncio.sleep(APPEND_S)
            return self.store_records(partition, query, records)

    def store_records(self, partition, query, records):
        if "AsOf" in query and int(query["AsOf"]) != len(partition.records):
            return 412, {"EndOffset": len(partition.records)}
        state = None
        if "Producer" in query:
            epoch = int(query["epoch"])
            state = partition.producers.setdefault(query["Producer"], {"epoch": 0, "seq": None,
                                                                       "done": {}})
            if epoch < state["epoch"]:
                return 409, {"Reason": "fenced"}
            if epoch > state["epoch"]:
                state.update(epoch=epoch, seq=None, done={})
            if "Seq" in query:
                sequence = int(query["Seq"])
                if sequence in state["done"]:
                    return state["done"][sequence]
                if state["seq"] is not None and sequence != state["seq"] + 1:
                    return 409, {"Reason": "seq", "Seq": state["seq"] + 1}
                state["seq"] = sequence
        first = len(partition.records)
        for record in records:
            partition.store(record, query["Topic"].startswith("keyed."))
        response = 200, {"Offset": first, "EndOffset": len(partition.records)}
        if state is not None and "Seq" in query:
            state["done"][state["seq"]] = response
            while len(state["done"]) > KEPT_RESPONSES:
                del state["done"][min(state["done"])]
        if records:
            partition.announce()
        return response

    async def read(self, query):
        partition = self.partition(query["Topic"], query["part"])
        first = int(query["From"])
        until = time.monotonic() + int(query.get("WaitMs", "0")) / 1000
        while len(partition.records) <= first and time.monotonic() < until:
            try:
                await asyncio.wait_for(partition.changed.wait(), until - time.monotonic())
            except asyncio.TimeoutError:
                break
        body = len(partition.records).to_bytes(8, "big") + (0).to_bytes(8, "big")
        limit = int(query.get("MaxKb", READ_KB)) * 1024
        for record in partition.records[first:]:
            if len(body) + 4 + len(record) > limit:
                break
            body += len(record).to_bytes(4, "big") + record
        return 200, body

    async def read_newest(self, query):
        await asyncio.sleep(APPEND_S)
        partition = self.partition(query["Topic"], query["part"])
        after = query.get("After", "").encode()
        items, size, more = [], 0, False
        for key in sorted(partition.newest):
            if after and key <= after:
                continue
            value, offset = partition.newest[key]
            if len(items) >= PAGE_ITEMS or (items and size + len(value) > PAGE_BYTES):
                more = True
                break
            size += len(value)
            items.append({"Key": key.decode(), "Value": base64.b64encode(value).decode(),
                          "Offset": offset})
        return 200, {"items": items, "HasMore": more, "EndOffset": len(partition.records)}


class Gate(App):
    """The store as the machines see it that it may turn away."""

    def __init__(self, store):
        super().__init__()
        self.store = store

    def handle(self, method, target, headers, body):
        if time.monotonic() < self.store.gate_closed_until:
            return 503, {}
        return self.store.handle(method, target, headers, body)


class Runner(App):
    """One life of a runner. The task's `Spec` is JSON: `ms` is its time, or a list of times by step;
    `cpu` is what it takes."""

    def __init__(self, name, service, rack, port, store_port, ledger, cpu, kind):
        super().__init__()
        self.id, self.service, self.rack, self.port = name, service, rack, port
        self.store_port, self.cpu, self.kind = store_port, cpu, kind
        self.ledger = open(ledger, "a", buffering=1)
        self.born = int(time.time() * 1000)
        self.started = time.monotonic()
        self.fence = 0
        self.lease_ms = 0
        self.running = {}
        self.highest_ended = {}
        self.ends = []
        self.last_end = 0
        self.used = 0
        self.ended = asyncio.Event()
        self.sequence = 0
        self.lapses_at_end = {}
        self.lapses = 0  # How often the lease has run out.
        self.lease_over = True

    def check_lease(self):
        if not self.lease_over and self.clock() > self.lease_ms:
            self.lease_over = True
            self.lapses += 1

    def clock(self):
        return int((time.monotonic() - self.started) * 1000)

    def note(self, event, task, run, how=""):
        self.ledger.write(json.dumps([time.time(), self.id, event, task, run, how]) + "\n")

    def handle(self, method, target, headers, body):
        self.check_lease()
        if target.startswith("/ctl/cut"):
            self.cut(float(dict(parse_qsl(urlsplit(target).query))["s"]))
            return 200, {}
        if headers.get("x-wigeonlane-target-instance") != self.id:
            return 421, {"ClockMs": self.clock(), "born": self.born}
        request = json.loads(body)
        if request.get("FencingToken", 0) < self.fence:
            return self.conflict("fence")
        self.fence = request.get("FencingToken", 0)
        if target == "/run-start":
            return self.start(request)
        if target == "/run-stop":
            return self.stop(request)
        if target == "/hold":
            return self.hold(request)
        return 200, {"ClockMs": self.clock(), "born": self.born}

    def conflict(self, reason):
        return 409, {"ClockMs": self.clock(), "born": self.born, "Reason": reason}

    def extend(self, deadline):
        self.lease_ms = max(self.lease_ms, min(deadline, self.clock() + MAX_HOLD_MS))
        self.lease_over = self.lease_over and self.clock() > self.lease_ms

    def start(self, request):
        task, run = request["Task"], request["RunId"]
        if request["DeadlineMs"] < self.clock():
            return self.conflict("late")
        self.extend(request["DeadlineMs"])
        here = self.running.get(task)
        if here is not None and here["run"] == run:
            return 200, {"ClockMs": self.clock(), "born": self.born}
        if here is not None or run <= self.highest_ended.get(task, 0):
            return self.conflict("old")
        spec = json.loads(request["Spec"])
        if self.used + spec["cpu"] > self.cpu:
            return self.conflict("room")
        self.used += spec["cpu"]
        millis = spec["ms"]
        if isinstance(millis, list):
            millis = millis[int(task.split(".")[2])]
        timer = asyncio.get_running_loop().call_later(
            millis / 1000, self.finish, task, run, "done")
        self.running[task] = {"run": run, "cpu": spec["cpu"], "timer": timer}
        self.note("start", task, run)
        return 200, {"ClockMs": self.clock(), "born": self.born}

    def finish(self, task, run, how):
        here = self.running.get(task)
        if here is None or here["run"] != run:
            return
        here["timer"].cancel()
        del self.running[task]
        self.used -= here["cpu"]
        self.highest_ended[task] = max(self.highest_ended.get(task, 0), run)
        self.last_end += 1
        self.check_lease()
        self.ends.append([self.last_end, task, run, how, ""])
        self.lapses_at_end[self.last_end] = self.lapses
        self.note("end", task, run, how)
        self.ended.set()
        self.ended = asyncio.Event()

    def stop(self, request):
        task, run = request["Task"], request["RunId"]
        self.highest_ended[task] = max(self.highest_ended.get(task, 0), run)
        here = self.running.get(task)
        if here is not None and here["run"] <= run:
            self.finish(task, here["run"], "stopped")
        return 200, {"ClockMs": self.clock(), "born": self.born}

    def hold(self, request):
        while self.ends and self.ends[0][0] <= request["LastSeen"]:
            number, task, run, how, _ = self.ends.pop(0)
            # An end isn't taken note of if the lease lapsed before LastSeen reached it.
            in_time = self.lapses_at_end.pop(number) == self.lapses
            self.note("noted" if in_time else "noted_after_lapse", task, run, how)
        if "DeadlineMs" in request:
            self.extend(request["DeadlineMs"])
        wait = min(request.get("WaitMs", 0), MAX_WAIT_MS)
        return self.lists() if self.ends or wait <= 0 else self.wait_for_end(wait / 1000)

    async def wait_for_end(self, seconds):
        try:
            await asyncio.wait_for(self.ended.wait(), seconds)
        except asyncio.TimeoutError:
            pass
        return self.lists()

    def lists(self):
        return 200, {"ClockMs": self.clock(), "born": self.born,
                     "Running": [[t, r["run"], "", 100, 0] for t, r in self.running.items()],
                     "Finished": self.ends[:MAX_LISTED_ENDS]}

    async def watch_lease(self):
        while True:
            await asyncio.sleep(0.02)
            self.check_lease()
            if self.running and self.clock() > self.lease_ms:
                for task, run in list(self.running.items()):
                    self.finish(task, run["run"], "lapsed")

    async def heartbeat(self):
        while True:
            self.sequence += 1
            entry = {"Service": self.service, "Address": f"{HOST}:{self.port}", "Zone": "z1",
                     "Version": "1", "Slots": 8, "State": "ready", "ColdLeftMs": 0,
                     "Seq": self.sequence, "Labels": [self.kind, self.rack], "Machine": self.id,
                     "Capacity": {"Cpu": self.cpu, "MemMb": 65536, "Gpus": 0}, "born": self.born}
            body = json.dumps(entry).encode()
            if not self.is_cut():
                try:
                    reader, writer = await asyncio.open_connection(HOST, self.store_port)
                    writer.write(b"POST /ctl/heartbeat?state=ready&id=%s HTTP/1.1\r\n"
                                 b"Content-Length: %d\r\n\r\n"
                                 % (self.id.encode(), len(body)) + body)
                    await asyncio.wait_for(reader.readline(), 1)
                    writer.close()
                except (OSError, asyncio.TimeoutError):
                    pass
            await asyncio.sleep(HEARTBEAT_S)


async def main():
    loop = asyncio.get_running_loop()
    if sys.argv[1] == "store":
        app = Store(int(sys.argv[3]))
        port, tasks = int(sys.argv[2]), [app.expire_runners()]
        if len(sys.argv) > 4:
            gate = Gate(app)
            server = await loop.create_server(lambda: HttpConnection(gate), HOST, int(sys.argv[4]))
            tasks.append(server.serve_forever())
    else:
        name, service, rack, port, store_port, ledger, cpu, kind = sys.argv[2:]
        port = int(port)
        app = Runner(name, service, rack, port, int(store_port), ledger, int(cpu), kind)
        tasks = [app.watch_lease(), app.heartbeat()]
    server = await loop.create_server(lambda: HttpConnection(app), HOST, port, backlog=512)
    await asyncio.gather(server.serve_forever(), *tasks)


asyncio.run(main())
