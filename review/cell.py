"""Stand-ins of the platform for the cases of this review, and the processes of a small cell.

One Python process plays the store, the runners, the network between the entries and the runners,
and the clients. The entries are the project's own programs, started with the command of the deploy
file and with settings made from its template. All addresses are loopback addresses.

The stand-ins follow PROTOCOL.md. A `Record` keeps what was sent, answered and run.
"""

import asyncio
import base64
import json
import os
import random
import re
import resource
import shutil
import signal
import socket
import subprocess
import sys
import tempfile
import time
import tomllib
import urllib.parse

ROOT = os.path.dirname(os.path.dirname(os.path.abspath(__file__)))

# The bounds of a small installation (SYSTEM.md, kerdrean-licences).
MAX_HOLD_MS = 6000
STOP_MS = 400
GANG_TIMEOUT_MS = 3000
HEARTBEAT_S = 1.5
CHECKPOINT_S = 1.0
APPEND_S = 0.002
RECORD_BYTES = 262144
REQUEST_BYTES = 2097152
STORE_S = 0.004
DEADLINE_MS = 3000


class Record:
    """Writes what happens, with the time since the start, to record.txt."""

    def __init__(self, path):
        self.start = time.monotonic()
        self.file = open(path, "w", encoding="utf-8")

    def now(self):
        return time.monotonic() - self.start

    def write(self, *words):
        line = f"{self.now():8.3f}  " + " ".join(str(word) for word in words)
        self.file.write(line + "\n")
        self.file.flush()

    def close(self):
        self.file.close()


class Request:
    def __init__(self, method, target, headers, body):
        self.method = method
        self.headers = headers
        self.body = body
        url = urllib.parse.urlsplit(target)
        self.path = url.path
        self.query = {key: values[0] for key, values in urllib.parse.parse_qs(url.query, True).items()}

    def number(self, name):
        return int(self.query[name]) if name in self.query else None

    def json(self):
        return json.loads(self.body)


REASONS = {200: "OK", 400: "Bad Request", 404: "Not Found", 409: "Conflict", 410: "Gone",
           412: "Precondition Failed", 413: "Payload Too Large", 421: "Misdirected Request", 429: "Too Many Requests",
           503: "Service Unavailable"}


async def read_message(reader):
    """Reads one HTTP/1.1 message; returns its first line, headers and body, or None at the end."""
    head = await reader.readuntil(b"\r\n\r\n")
    lines = head.decode("latin-1").split("\r\n")
    headers = {}
    for line in lines[1:]:
        if line:
            name, value = line.split(":", 1)
            headers[name.strip().lower()] = value.strip()
    if headers.get("transfer-encoding", "").lower() == "chunked":
        body = b""
        while True:
            size = int((await reader.readline()).split(b";")[0], 16)
            chunk = await reader.readexactly(size + 2)
            if size == 0:
                break
            body += chunk[:-2]
    else:
        body = await reader.readexactly(int(headers.get("content-length", "0")))
    return lines[0], headers, body


class Server:
    """An HTTP/1.1 server. `serve(request)` returns a status and a body (bytes or an object for JSON);
    None leaves the request without a response."""

    def __init__(self, serve):
        self.serve = serve
        self.server = None
        self.writers = set()
        self.address = None

    async def open(self, host="127.0.0.1", port=0):
        self.server = await asyncio.start_server(self.connected, host, port)
        self.address = self.server.sockets[0].getsockname()[:2]
        return self

    async def connected(self, reader, writer):
        self.writers.add(writer)
        try:
            while True:
                line, headers, body = await read_message(reader)
                method, target, _ = line.split(" ", 2)
                answer = await self.serve(Request(method, target, headers, body))
                if answer is None:
                    await asyncio.sleep(3600)
                status, content = answer
                if not isinstance(content, bytes):
                    content = json.dumps(content).encode()
                head = (f"HTTP/1.1 {status} {REASONS.get(status, 'Status')}\r\n"
                        f"content-type: application/json\r\ncontent-length: {len(content)}\r\n\r\n")
                writer.write(head.encode() + content)
                await writer.drain()
        except (asyncio.IncompleteReadError, ConnectionError, asyncio.CancelledError):
            pass
        finally:
            self.writers.discard(writer)
            writer.close()

    def close(self):
        """Closes the port and all connections, as the end of a process does."""
        if self.server is not None:
            self.server.close()
            self.server = None
        for writer in list(self.writers):
            writer.transport.abort()


class Topic:
    def __init__(self):
        self.records = []
        self.newest = {}
        self.producers = {}
        self.grown = asyncio.Event()

    def push(self, keyed, content):
        if keyed:
            size = content[0]
            key, value = content[1:1 + size], content[1 + size:]
            if value:
                self.newest[key] = (len(self.records), value)
            else:
                self.newest.pop(key, None)
        self.records.append(content)
        self.grown.set()
        self.grown = asyncio.Event()


def split_frames(body):
    frames = []
    while body:
        size = int.from_bytes(body[:4], "big")
        frames.append(body[4:4 + size])
        body = body[4 + size:]
    return frames


class Store:
    """The platform's store: a log with conditional appends and keyed topics."""

    def __init__(self):
        self.topics = {}

    def topic(self, name):
        return self.topics.setdefault(name, Topic())

    def put(self, name, key, value):
        """Writes a keyed record; None drops the key."""
        content = bytes([len(key)]) + key.encode()
        if value is not None:
            content += json.dumps(value).encode()
        self.topic(name).push(True, content)

    async def serve(self, request):
        await asyncio.sleep(STORE_S)
        if request.path == "/log-append":
            await asyncio.sleep(APPEND_S)
            return self.append(request)
        if request.path == "/log-read":
            return await self.read(request)
        if request.path == "/log-newest":
            return self.read_newest(request)
        return 404, {}

    def append(self, request):
        name = request.query["topic"]
        topic = self.topic(name)
        end = len(topic.records)
        frames = split_frames(request.body)
        if any(len(frame) > RECORD_BYTES for frame in frames) or len(request.body) > REQUEST_BYTES:
            return 413, {"reason": "size"}
        at = request.number("at")
        if at is not None and at != end:
            return 412, {"endOffset": end}
        sequence = request.number("seq")
        producer = None
        if "producer" in request.query:
            epoch = request.number("epoch")
            producer = topic.producers.setdefault(request.query["producer"], {"epoch": -1})
            if epoch < producer["epoch"]:
                return 409, {"reason": "fenced"}
            if epoch > producer["epoch"]:
                producer.clear()
                producer.update(epoch=epoch, next=None, latest={})
            if sequence is not None:
                if sequence in producer["latest"]:
                    return 200, producer["latest"][sequence]
                if producer["next"] is not None and sequence != producer["next"]:
                    return 409, {"reason": "seq", "expected": producer["next"]}
        for frame in frames:
            topic.push(name.startswith("keyed."), frame)
        answer = {"offset": end, "endOffset": len(topic.records)}
        if producer is not None and sequence is not None:
            producer["next"] = sequence + 1
            producer["latest"][sequence] = answer
            while len(producer["latest"]) > 5:
                producer["latest"].pop(min(producer["latest"]))
        return 200, answer

    async def read(self, request):
        topic = self.topic(request.query["topic"])
        start = request.number("from")
        until = time.monotonic() + (request.number("waitMs") or 0) / 1000
        while len(topic.records) <= start:
            left = until - time.monotonic()
            if left <= 0:
                break
            grown = topic.grown
            try:
                await asyncio.wait_for(grown.wait(), left)
            except asyncio.TimeoutError:
                break
        limit = (request.number("maxKb") or 1024) * 1024
        body = len(topic.records).to_bytes(8, "big") + (0).to_bytes(8, "big")
        for content in topic.records[start:]:
            if len(body) > 16 and len(body) + len(content) > limit:
                break
            body += len(content).to_bytes(4, "big") + content
        return 200, body

    def read_newest(self, request):
        topic = self.topic(request.query["topic"])
        after = request.query.get("dependsOn", "").encode()
        keys = sorted(key for key in topic.newest if key > after)
        items = []
        for key in keys[:500]:
            offset, value = topic.newest[key]
            items.append({"key": key.decode(), "value": base64.b64encode(value).decode(), "offset": offset})
        return 200, {"items": items, "hasMore": len(keys) > 500, "endOffset": len(topic.records)}


class Runs:
    """What all runners have begun and ended, as the platform sees it."""

    def __init__(self, record):
        self.record = record
        # Each entry: task, run, runner (id and lifetime), begun, ended, how, noted.
        self.all = []
        self.jobs = {}
        self.gangs = {}

    def step(self, task):
        job, _, step, _ = task.split(".")
        return self.jobs[job]["steps"][int(step)]

    def find_overlap(self):
        """Returns two runs of one task that were there at the same time, on runners that were up."""
        for index, run in enumerate(self.all):
            for other in self.all[:index]:
                ended = other["ended"] if other["ended"] is not None else float("inf")
                if other["task"] == run["task"] and other is not run and run["begun"] < ended:
                    return other, run
        return None

    def find_start_after_done(self):
        """Returns a run that had ended done and been taken note of, and a later start of its task."""
        for run in self.all:
            for other in self.all:
                is_done = other["how"] == "done" and other["noted"] is not None
                if is_done and other["task"] == run["task"] and run["begun"] > other["ended"]:
                    return other, run
        return None


class Runner:
    """A runner. Its lease is measured on a clock that begins with each lifetime."""

    def __init__(self, cell, name, cpu=16000, mem_mb=65536, rack="r1-1", clock_rate=1.0):
        self.cell, self.name, self.rack, self.clock_rate = cell, name, rack, clock_rate
        self.capacity = {"cpu": cpu, "memMb": mem_mb, "gpu": 0}
        self.server = None
        self.address = None
        self.is_up = False
        self.begin()

    def begin(self):
        """Begins a lifetime: it runs and knows nothing of the one before."""
        self.born = int(time.time() * 1000)
        self.began = time.monotonic()
        self.token = 0
        self.lease_ms = 0
        self.running = {}
        self.ended = []
        self.ends = 0
        self.voided = {}
        self.seq = 0
        self.changed = asyncio.Event()

    def clock_ms(self):
        return int((time.monotonic() - self.began) * 1000 * self.clock_rate)

    def key(self):
        return f"{self.name}@{self.born}"

    async def start(self, keep_address=True):
        self.begin()
        host, port = self.address if keep_address and self.address else ("127.0.0.1", 0)
        self.server = await Server(self.serve).open(host, port)
        self.address = self.server.address
        self.is_up = True
        self.cell.record.write("runner", self.name, "is up, born", self.born)
        self.write_entry()

    def crash(self):
        """Ends the process: what runs is gone without a trace."""
        self.is_up = False
        self.server.close()
        for run in self.running.values():
            run["ended"] = self.cell.record.now()
            run["how"] = "lost with its runner"
        self.cell.record.write("runner", self.name, "crashes with", len(self.running), "runs")
        self.running = {}
        self.changed.set()

    def write_entry(self):
        self.seq += 1
        self.cell.store.put("keyed.servers", self.name, {
            "service": "desk", "address": "%s:%d" % self.listed(), "zone": "quimper", "version": "v1",
            "slots": 8, "state": "ready", "coldRemainingMs": 0, "seq": self.seq, "born": self.born,
            "capacity": self.capacity, "labels": ["a", self.rack], "clockMs": self.clock_ms()})

    def listed(self):
        """Returns the address in the directory, which may be one of a proxy."""
        return self.cell.routes.get(self.name, self.address)

    async def heartbeat(self):
        silent_since = None
        while True:
            await asyncio.sleep(HEARTBEAT_S)
            if self.is_up:
                silent_since = None
                self.write_entry()
                continue
            silent_since = silent_since or time.monotonic()
            if time.monotonic() - silent_since >= 3 * HEARTBEAT_S:
                self.cell.store.put("keyed.servers", self.name, None)
                silent_since = float("inf")

    async def work(self):
        """Lets time pass on the runner."""
        while True:
            await asyncio.sleep(0.01)
            if not self.is_up:
                continue
            if self.running and self.clock_ms() >= self.lease_ms:
                for task in list(self.running):
                    self.end(task, "lapsed")
                for end in self.ended:
                    end["lapsed"] = True
            now = time.monotonic()
            for task, run in list(self.running.items()):
                if run["stop_at"] is not None and now >= run["stop_at"]:
                    self.end(task, "stopped")
                elif run["gang"] is not None:
                    self.work_gang(task, run, now)
                elif now >= run["work_until"]:
                    self.end(task, "done")

    def work_gang(self, task, run, now):
        members = self.cell.runs.gangs[run["gang"]]
        count = self.cell.runs.step(task)["count"]
        if any(member["ended"] is not None and member["how"] != "done" for member in members):
            self.end(task, "broken")
        elif run["work_until"] is not None and now >= run["work_until"]:
            self.end(task, "done")
        elif run["work_until"] is None and len(members) == count:
            for member in members:
                member["work_until"] = now + run["work_s"]
        elif run["work_until"] is None and now >= run["gang_until"]:
            self.end(task, "alone")

    def end(self, task, how):
        run = self.running.pop(task)
        run["ended"], run["how"] = self.cell.record.now(), how
        self.ends += 1
        self.ended.append({"n": self.ends, "run": run, "how": how, "lapsed": how == "lapsed"})
        self.void(task, run["run"])
        self.cell.record.write("runner", self.name, "ends", task, "run", run["run"], how)
        self.changed.set()
        self.changed = asyncio.Event()

    def void(self, task, run):
        self.voided[task] = max(self.voided.get(task, 0), run)

    def extend(self, deadline_ms):
        if deadline_ms is not None:
            longest = self.clock_ms() + MAX_HOLD_MS
            self.lease_ms = max(self.lease_ms, min(deadline_ms, longest))

    async def serve(self, request):
        if request.headers.get("x-laburnumplank-target-instance", self.name) != self.name:
            return 421, {}
        order = request.json()
        if order.get("fencingToken", 0) < self.token:
            return 409, {"clockMs": self.clock_ms(), "reason": "fence"}
        self.token = order.get("fencingToken", 0)
        if request.path == "/run-start":
            return self.run_start(order)
        if request.path == "/run-stop":
            return self.run_stop(order)
        if request.path == "/hold":
            return await self.hold(order)
        return 404, {}

    def refuse(self, order, reason):
        self.cell.record.write("runner", self.name, "rejects the start of", order["task"], "run",
                               order["run"], reason)
        return 409, {"clockMs": self.clock_ms(), "reason": reason}

    def run_start(self, order):
        task, number = order["task"], order["run"]
        known = self.running.get(task)
        if known is not None and known["run"] == number:
            return 200, {"clockMs": self.clock_ms()}
        if number <= self.voided.get(task, 0):
            self.extend(order["deadlineMs"])
            return self.refuse(order, "old")
        if order["deadlineMs"] <= self.clock_ms():
            return self.refuse(order, "late")
        self.extend(order["deadlineMs"])
        step = self.cell.runs.step(task)
        gang = f"{task.rsplit('.', 1)[0]} {number}" if step.get("gang") else None
        now = time.monotonic()
        run = {"task": task, "run": number, "runner": self.key(), "name": self.name,
               "begun": self.cell.record.now(), "ended": None, "how": None, "noted": None,
               "stop_at": None, "gang": gang, "work_s": step["work_s"],
               "work_until": None if gang else now + step["work_s"],
               "gang_until": now + GANG_TIMEOUT_MS / 1000}
        if gang:
            self.cell.runs.gangs.setdefault(gang, []).append(run)
        self.running[task] = run
        self.cell.runs.all.append(run)
        self.cell.record.write("runner", self.name, "starts", task, "run", number, "token", order["fencingToken"])
        return 200, {"clockMs": self.clock_ms()}

    def run_stop(self, order):
        task, number = order["task"], order["run"]
        self.void(task, number)
        run = self.running.get(task)
        if run is not None and run["run"] <= number and run["stop_at"] is None:
            run["stop_at"] = time.monotonic() + random.uniform(0.02, STOP_MS / 1000)
        self.cell.record.write("runner", self.name, "confirms the stop of", task, "run", number,
                               "" if run else "(not there)")
        return 200, {"clockMs": self.clock_ms()}

    async def hold(self, order):
        born = self.born
        self.extend(order.get("deadlineMs"))
        acked = order.get("ackedSeq", 0)
        for end in self.ended:
            if end["n"] <= acked and end["run"]["noted"] is None and not end["lapsed"]:
                end["run"]["noted"] = self.cell.record.now()
        self.ended = [end for end in self.ended if end["n"] > acked]
        until = time.monotonic() + min(order.get("waitMs", 0), 2000) / 1000
        while not self.ended and born == self.born and self.is_up:
            left = until - time.monotonic()
            if left <= 0:
                break
            try:
                await asyncio.wait_for(self.changed.wait(), left)
            except asyncio.TimeoutError:
                break
        if born != self.born or not self.is_up:
            return None
        now = time.monotonic()
        running = [[task, run["run"], "", self.percent(run, now), 0] for task, run in self.running.items()]
        finished = [[end["n"], end["run"]["task"], end["run"]["run"], end["how"], ""] for end in self.ended[:500]]
        return 200, {"clockMs": self.clock_ms(), "born": self.born, "running": running, "finished": finished}

    def percent(self, run, now):
        if run["work_until"] is None:
            return 0
        return max(0, min(99, int(100 * (1 - (run["work_until"] - now) / run["work_s"]))))


class Path:
    """A proxy between the entries and a runner. `hook(request)` may answer a request in place of the
    runner: it returns "pass", "drop" (no answer, not delivered), or a number of seconds after which the
    request is delivered although nobody waits for the response any more."""

    def __init__(self, cell, runner, hook=None):
        self.cell, self.runner, self.hook = cell, runner, hook
        self.server = None

    async def open(self):
        self.server = await Server(self.serve).open()
        self.cell.routes[self.runner.name] = self.server.address
        return self

    async def serve(self, request):
        verdict = self.hook(request) if self.hook else "pass"
        if verdict == "drop":
            return None
        if verdict != "pass":
            asyncio.get_running_loop().create_task(self.deliver_late(request, verdict))
            return None
        try:
            return await send(self.runner.address, request.method, request.path, request.headers, request.body)
        except (OSError, asyncio.IncompleteReadError):
            return await self.reset()

    async def reset(self):
        """Ends the connection without a response, as a runner that is down does."""
        raise ConnectionResetError

    async def deliver_late(self, request, seconds):
        await asyncio.sleep(seconds)
        try:
            status, body = await send(self.runner.address, request.method, request.path, request.headers, request.body)
            self.cell.record.write("network delivers a delayed", request.path, "to", self.runner.name, request.body.decode(),
                                   "-> status", status, body.decode())
        except (OSError, asyncio.IncompleteReadError):
            self.cell.record.write("network cannot deliver a delayed", request.path, "to", self.runner.name)


async def send(address, method, path, headers, body, timeout=None):
    """Sends an HTTP request over a connection of its own; returns status and body."""
    async def exchange():
        reader, writer = await asyncio.open_connection(*address)
        try:
            lines = [f"{method} {path} HTTP/1.1"]
            kept = {name: value for name, value in headers.items()
                    if name not in ("content-length", "transfer-encoding", "connection", "accept-encoding")}
            kept.setdefault("host", "%s:%d" % address)
            lines += [f"{name}: {value}" for name, value in kept.items()]
            lines += [f"content-length: {len(body)}", "connection: close", "", ""]
            writer.write("\r\n".join(lines).encode() + body)
            line, _, content = await read_message(reader)
            return int(line.split(" ")[1]), content
        finally:
            writer.close()
    return await asyncio.wait_for(exchange(), timeout)


def encode(body):
    return json.dumps(body, separators=(",", ":")).encode()


def fill(template, fields):
    """Fills in the plain placeholders of a settings template."""
    def value(match):
        found = fields
        for name in match.group(1).split("."):
            found = found[int(name)] if isinstance(found, list) else found[name]
        return str(found)
    return re.sub(r"\{\{([A-Za-z_0-9.]+)\}\}", value, template)


class Entry:
    """An entry: the project's own process."""

    def __init__(self, cell, name, ip):
        self.cell, self.name, self.ip = cell, name, ip
        self.process = None
        self.output = open(os.path.join(cell.folder, f"{name}.log"), "ab")
        self.is_wanted = False

    def fields(self):
        return {
            "node": self.name, "zone": "quimper", "region": "finistere", "ip": self.ip,
            "listen": {"front": f"{self.ip}:8161", "ready": f"{self.ip}:8167"},
            "internalPortRange": [7720, 7735],
            "limits": {"cpuShare": 0.25, "maxFds": 4200},
            "bounds": {"graceS": 6, "maxHoldMs": MAX_HOLD_MS, "stopMs": STOP_MS,
                       "gangTimeoutMs": GANG_TIMEOUT_MS, "remoteFactor": 3, "status_s": 120},
            "platform": {"address": "%s:%d" % self.cell.store_server.address},
            "advice": "%s:%d" % self.cell.store_server.address,
        }

    def start(self):
        role = self.cell.role
        with open(os.path.join(ROOT, role["template"]), encoding="utf-8") as file:
            settings = fill(file.read(), self.fields())
        path = os.path.join(self.cell.folder, f"{self.name}.json")
        with open(path, "w", encoding="utf-8") as file:
            file.write(settings)
        environment = {name: os.environ[name] for name in ("PATH", "HOME", "LANG") if name in os.environ}
        environment["LABURNUMPLANK_BOOT"] = path
        self.process = subprocess.Popen(role["run"].split(), cwd=ROOT, env=environment,
                                        stdout=self.output, stderr=self.output)
        self.is_wanted = True
        self.cell.record.write("entry", self.name, "starts")

    def signal(self, number):
        self.cell.record.write("entry", self.name, "gets", signal.Signals(number).name)
        self.process.send_signal(number)

    def kill(self):
        self.is_wanted = False
        self.signal(signal.SIGKILL)
        self.process.wait()

    def has_ended(self):
        return self.process is not None and self.process.poll() is not None

    def end(self):
        if self.process is not None and self.process.poll() is None:
            self.process.kill()
            self.process.wait()
        self.output.close()


class Cell:
    """A small installation: a store, runners and entries."""

    def __init__(self, record, entries=3, queues=None):
        self.record = record
        self.store = Store()
        self.runs = Runs(record)
        self.runners = []
        self.routes = {}
        self.tasks = []
        self.folder = tempfile.mkdtemp(prefix="cell-")
        with open(os.path.join(ROOT, "deploy/system.toml"), "rb") as file:
            self.role = tomllib.load(file)["roles"]["entry"]
        self.entries = []
        self.count = entries
        self.queues = queues or {"desk": {"attempts": 4, "priority": 1}}

    async def open(self):
        self.store_server = await Server(self.store.serve).open()
        self.store.put("keyed.op", "config", self.manifest(1))
        network = f"127.{random.randint(16, 250)}.{random.randint(1, 250)}"
        self.entries = [Entry(self, f"front-{index + 1}", f"{network}.{index + 1}") for index in range(self.count)]
        for runner in self.runners:
            self.tasks.append(asyncio.create_task(runner.heartbeat()))
            self.tasks.append(asyncio.create_task(runner.work()))
        for entry in self.entries:
            entry.start()
        await self.until(self.is_ready, 15, "the entries are not ready")

    def manifest(self, version):
        routes = [{"name": f"r-{name}", "host": f"{name}.example", "pathPrefix": f"/{name}/", "type": "non_idempotent",
                   "timeoutMs": 3000, "targetCompletionMs": 1200, "priority": queue["priority"], "service": "desk",
                   "attempts": queue["attempts"], "slackFactor": 2.2} for name, queue in self.queues.items()]
        service = {"name": "desk", "healthPath": "/healthz", "maxConns": 64, "protocol": "h1", "tls": False,
                   "enforcesCapacity": False, "standby": False}
        limits = {"maxHeaderBytes": 16384, "maxBodyBytes": 262144, "headerTimeoutMs": 3000, "idleTimeoutMs": 15000}
        return {"version": version, "routes": routes, "services": [service], "limits": limits}

    async def is_ready(self):
        for entry in self.entries:
            try:
                status, _ = await send((entry.ip, 8167), "GET", "/readyz", {}, b"", 0.5)
            except (OSError, asyncio.TimeoutError, asyncio.IncompleteReadError):
                return False
            if status != 200:
                return False
        return True

    async def until(self, condition, seconds, message):
        end = time.monotonic() + seconds
        while time.monotonic() < end:
            result = condition()
            if asyncio.iscoroutine(result):
                result = await result
            if result:
                return
            await asyncio.sleep(0.02)
        raise CannotRun(message)

    async def call(self, method, queue, job, body=None, entry=None, timeout_ms=DEADLINE_MS):
        """Makes one call of a client; returns status and body, or None without an answer."""
        entry = entry or random.choice([entry for entry in self.entries if not entry.has_ended()])
        headers = {"host": f"{queue}.example", "x-laburnumplank-deadline-ms": str(timeout_ms)}
        content = encode(body) if body is not None else b""
        if content:
            headers["content-type"] = "application/json"
        try:
            answer = await send((entry.ip, 8161), method, f"/{queue}/{job}", headers, content, timeout_ms / 1000 + 0.5)
        except (OSError, asyncio.TimeoutError, asyncio.IncompleteReadError):
            answer = None
        text = f"{answer[0]} {answer[1].decode()}" if answer else "no answer"
        self.record.write("client", method, f"/{queue}/{job}", "at", entry.name, "->", text)
        return answer

    async def submit(self, queue, job, steps, attempts=5):
        """Hands a job in, with retries at other entries; returns whether it was accepted."""
        self.runs.jobs[job] = {"steps": steps}
        body = self.body(job, steps)
        for _ in range(attempts):
            answer = await self.call("POST", queue, job, body)
            if answer and 200 <= answer[0] < 300:
                return True
            await asyncio.sleep(0.5)
        return False

    @staticmethod
    def body(job, steps):
        return {"spec": f"spec of {job}", "steps": [
            {name: value for name, value in step.items() if name != "work_s"} for step in steps]}

    def body_size(self, job, steps):
        return len(encode(self.body(job, steps)))

    async def state(self, queue, job):
        answer = await self.call("GET", queue, job)
        if answer and answer[0] == 200:
            return json.loads(answer[1])["state"]
        return answer[0] if answer else None

    def find_owner(self):
        """Returns the entry whose log says last that it has taken the cell over."""
        owners = []
        for entry in self.entries:
            with open(os.path.join(self.folder, f"{entry.name}.log"), encoding="utf-8", errors="replace") as file:
                for line in file:
                    if '"cell taken over"' in line:
                        owners.append((json.loads(line)["token"], entry))
        return max(owners, key=lambda pair: pair[0])[1] if owners else None

    def close(self, keep=None):
        for task in self.tasks:
            task.cancel()
        for entry in self.entries:
            entry.end()
        for runner in self.runners:
            if runner.server is not None:
                runner.server.close()
        if keep:
            shutil.copytree(self.folder, keep, dirs_exist_ok=True)
        shutil.rmtree(self.folder, ignore_errors=True)


class CannotRun(Exception):
    """The case could not run."""


def job_id():
    return f"{random.getrandbits(64):016x}"


def main(folder, case, limit_s=115):
    """Runs a case; exits with 1 if the rule was broken, 0 if it held, and 2 if the case could not run."""
    record = Record(os.path.join(folder, "record.txt"))
    trouble = os.environ.get("TROUBLE", "1") != "0"
    record.write("disruption:", "yes" if trouble else "no")
    limit = resource.getrlimit(resource.RLIMIT_NOFILE)
    assert limit[0] >= 1024, "too few file descriptors"

    async def run():
        cells = []
        try:
            return await asyncio.wait_for(case(record, trouble, cells), limit_s)
        finally:
            for cell in cells:
                cell.close(os.environ.get("KEEP_LOGS"))

    try:
        broken = asyncio.run(run())
    except Exception as error:  # an exit status of 1 would say that the rule was broken
        record.write("the case could not run:", repr(error))
        print("could not run:", repr(error))
        sys.exit(2)
    finally_text = f"broken: {broken}" if broken else "held"
    record.write("rule", finally_text)
    record.close()
    print("rule", finally_text)
    sys.exit(1 if broken else 0)
