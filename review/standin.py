"""Stand-ins for the platform, its runners and clients, and the start of real entries.

Everything runs on loopback addresses of one network, 127.A.B.0/24, that is drawn at the start, so that
cases beside each other share no port. The store, the runners and the clients live in this process; each
entry is a process of its own, started with the command and the template of the deploy file.
"""

import asyncio
import base64
import json
import os
import pathlib
import re
import shutil
import signal
import struct
import subprocess
import sys
import tempfile
import time
import tomllib

REPOSITORY = pathlib.Path(__file__).resolve().parent.parent

# The bounds of the small installation `sites/kerdrean-licences.toml`.
BOUNDS = {
    "graceS": 6, "maxHoldMs": 6000, "stopMs": 400, "gangTimeoutMs": 3000, "remoteFactor": 3,
    "status_s": 120, "cancel_ms": 3000, "visible_ms": 3000, "checkpointIntervalS": 1,
    "restoreMs": 600,
}
HEARTBEAT_S = 1.5
# How many channels a runner takes, as the sheets and the manifest (`maxConns`) say.
CHANNELS = 64


class Unable(Exception):
    """The case could not be run."""


class Record:
    """Writes what was sent, answered and run."""

    def __init__(self, path):
        self.file = open(path, "w", encoding="utf-8")
        self.began = time.monotonic()

    def __call__(self, text):
        self.file.write(f"{time.monotonic() - self.began:8.3f} {text}\n")
        self.file.flush()


# HTTP


class Request:
    def __init__(self, method, target, headers, body):
        self.method, self.headers, self.body = method, headers, body
        self.path, _, query = target.partition("?")
        self.query = dict(part.partition("=")[::2] for part in query.split("&") if part)

    def number(self, name):
        return int(self.query[name]) if name in self.query else None


async def read_message(reader):
    head = await reader.readuntil(b"\r\n\r\n")
    first, *lines = head.decode("latin-1").split("\r\n")
    headers = {}
    for line in lines:
        name, separator, value = line.partition(":")
        if separator:
            headers[name.strip().lower()] = value.strip()
    if headers.get("transfer-encoding", "").lower() == "chunked":
        body = b""
        while True:
            size = int((await reader.readline()).split(b";")[0], 16)
            body += await reader.readexactly(size)
            await reader.readexactly(2)
            if size == 0:
                break
    else:
        body = await reader.readexactly(int(headers.get("content-length", 0)))
    return first, headers, body


class Server:
    """An HTTP server. `handle` returns a status and a body, or None to close the connection unanswered.

    Channels beyond `limit` are closed at once.
    """

    def __init__(self, handle, limit=None):
        self.handle, self.limit = handle, limit
        self.server = None
        self.writers = set()
        self.silent = set()

    def silence(self):
        """Lets all open channels go silent for good, without a reset. New ones work."""
        self.silent |= self.writers
        return len(self.writers)

    async def start(self, host, port):
        self.server = await asyncio.start_server(self.connection, host, port, backlog=512)

    def stop(self):
        if self.server:
            self.server.close()
            self.server = None
        for writer in list(self.writers):
            writer.transport.abort()

    async def connection(self, reader, writer):
        if self.limit is not None and len(self.writers) >= self.limit:
            writer.transport.abort()
            return
        self.writers.add(writer)
        try:
            while True:
                first, headers, body = await read_message(reader)
                if writer in self.silent:
                    continue
                method, target, _ = first.split(" ", 2)
                answer = await self.handle(Request(method, target, headers, body))
                if writer in self.silent:
                    continue
                if answer is None:
                    break
                status, content = answer
                if not isinstance(content, bytes):
                    content = json.dumps(content).encode()
                writer.write(f"HTTP/1.1 {status} X\r\nContent-Length: {len(content)}\r\n"
                             f"Content-Type: application/json\r\n\r\n".encode() + content)
                await writer.drain()
        except (asyncio.IncompleteReadError, ConnectionError, asyncio.LimitOverrunError):
            pass
        finally:
            self.writers.discard(writer)
            self.silent.discard(writer)
            writer.transport.abort()


async def call(host, port, method, path, headers=None, body=b"", timeout=3.0):
    """Sends one request on a channel of its own. Returns status, headers and body; None without an answer."""
    writer = None
    try:
        async with asyncio.timeout(timeout):
            reader, writer = await asyncio.open_connection(host, port)
            fields = {"Host": "x", "Content-Length": str(len(body)), "Connection": "close", **(headers or {})}
            head = "".join(f"{name}: {value}\r\n" for name, value in fields.items())
            writer.write(f"{method} {path} HTTP/1.1\r\n{head}\r\n".encode() + body)
            first, headers, content = await read_message(reader)
            return int(first.split(" ")[1]), headers, content
    except (OSError, TimeoutError, asyncio.IncompleteReadError, ValueError):
        return None
    finally:
        if writer:
            writer.transport.abort()


# The store


class Topic:
    def __init__(self):
        self.records, self.newest, self.producers = [], {}, {}
        self.grown = asyncio.Event()


class Store:
    """A log with conditional appends and keyed topics. While `is_away`, all calls get 503."""

    APPEND_S = 0.002

    def __init__(self):
        self.topics = {}
        self.server = Server(self.handle)
        self.is_away = False

    def topic(self, name):
        return self.topics.setdefault(name, Topic())

    def push(self, name, content):
        topic = self.topic(name)
        if name.startswith("keyed."):
            key, value = content[1:1 + content[0]], content[1 + content[0]:]
            if value:
                topic.newest[key] = (len(topic.records), value)
            else:
                topic.newest.pop(key, None)
        topic.records.append(content)
        topic.grown.set()
        topic.grown = asyncio.Event()

    def put(self, name, key, value):
        value = json.dumps(value).encode() if value is not None else b""
        self.push(name, bytes([len(key)]) + key.encode() + value)

    async def handle(self, request):
        if self.is_away:
            return 503, {}
        if request.path == "/log-append":
            await asyncio.sleep(self.APPEND_S)
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
        if request.number("at") not in (None, end):
            return 412, {"endOffset": end}
        producer, sequence = None, request.number("seq")
        if "producer" in request.query:
            epoch = request.number("epoch") or 0
            producer = topic.producers.setdefault(request.query["producer"], {"epoch": 0, "next": None, "last": []})
            if epoch < producer["epoch"]:
                return 409, {"reason": "fenced"}
            if epoch > producer["epoch"]:
                producer.update(epoch=epoch, next=None, last=[])
            if sequence is not None:
                for known, response in producer["last"]:
                    if known == sequence:
                        return 200, response
                if producer["next"] not in (None, sequence):
                    return 409, {"reason": "seq", "expected": producer["next"]}
        body = request.body
        while body:
            length = struct.unpack(">I", body[:4])[0]
            self.push(name, body[4:4 + length])
            body = body[4 + length:]
        response = {"offset": end, "endOffset": len(topic.records)}
        if producer is not None and sequence is not None:
            producer["next"] = sequence + 1
            producer["last"] = (producer["last"] + [(sequence, response)])[-5:]
        return 200, response

    async def read(self, request):
        topic, start = self.topic(request.query["topic"]), request.number("from")
        wait = (request.number("waitMs") or 0) / 1000
        if len(topic.records) <= start and wait:
            try:
                await asyncio.wait_for(topic.grown.wait(), wait)
            except TimeoutError:
                pass
        body = struct.pack(">QQ", len(topic.records), 0)
        limit = (request.number("maxKb") or 1024) * 1024
        for record in topic.records[start:]:
            if len(body) > 16 and len(body) + len(record) > limit:
                break
            body += struct.pack(">I", len(record)) + record
        return 200, body

    def read_newest(self, request):
        topic = self.topic(request.query["topic"])
        after = request.query.get("dependsOn", "")
        after = re.sub("%(..)", lambda match: chr(int(match[1], 16)), after).encode("latin-1")
        keys = sorted(key for key in topic.newest if key > after)
        items = [{"key": key.decode(), "offset": topic.newest[key][0],
                  "value": base64.b64encode(topic.newest[key][1]).decode()} for key in keys[:500]]
        return 200, {"items": items, "hasMore": len(keys) > 500, "endOffset": len(topic.records)}


# Runners


class Run:
    def __init__(self, task, number, step, checkpoint):
        self.task, self.number, self.step = task, number, step
        self.job, _, self.index, _ = task.split(".")
        self.arrived = time.monotonic()
        self.worked = float(checkpoint) if checkpoint else 0.0
        self.saved = checkpoint or ""
        self.restores_until = self.arrived + (BOUNDS["restoreMs"] / 1000 if checkpoint else 0)
        self.stops_at = None
        self.is_together = not step.get("gang")

    @property
    def gang(self):
        return self.task.rsplit(".", 1)[0], self.number


class Runner:
    """A runner. A crash ends all that runs on it without a trace, and `start` begins a new lifetime."""

    def __init__(self, cell, name, address, capacity, labels):
        self.cell, self.name, self.address = cell, name, address
        self.capacity, self.labels = capacity, labels
        self.server = None
        self.runs, self.dead = {}, {}
        self.ends, self.end_count, self.fence = [], 0, 0
        self.changed = asyncio.Event()
        self.is_up = self.drains = False
        self.sequence = 0

    async def start(self):
        self.born = int(time.time() * 1000)
        self.origin = time.monotonic()
        self.runs, self.dead, self.ends, self.end_count = {}, {}, [], 0
        self.fence, self.deadline, self.sequence = 0, None, 0
        self.is_up = True
        self.server = Server(self.handle, CHANNELS)
        await self.server.start(*self.address)
        self.report()

    def crash(self):
        self.cell.record(f"{self.name} crashes with {sorted((run.task, run.number) for run in self.runs.values())}")
        self.is_up = False
        self.server.stop()
        lost, self.runs = list(self.runs.values()), {}
        for run in lost:
            self.cell.log_end(self, run, "lost")
        for run in lost:
            self.cell.break_gang(run)
        self.changed.set()

    def clock_ms(self):
        return int((time.monotonic() - self.origin) * 1000)

    def report(self):
        self.sequence += 1
        self.cell.store.put("keyed.servers", self.name, {
            "service": self.cell.service, "address": "%s:%d" % self.address, "zone": "quimper", "version": "v1",
            "slots": 8, "state": "draining" if self.drains else "ready", "coldRemainingMs": 0,
            "capacity": self.capacity, "labels": self.labels, "seq": self.sequence, "born": self.born,
            "clockMs": self.clock_ms()})

    async def handle(self, request):
        born = self.born
        if not self.is_up:
            return None
        if request.headers.get("x-laburnumplank-target-instance", self.name) != self.name:
            return 421, {}
        order = json.loads(request.body) if request.body else {}
        action = {"/run-start": self.run_start, "/run-stop": self.run_stop, "/hold": self.hold}.get(request.path)
        if action is None:
            return 200 if request.path == "/healthz" else 404, {}
        answer = await action(order)
        return answer if self.is_up and self.born == born else None

    def refuse(self, reason):
        return 409, {"clockMs": self.clock_ms(), "reason": reason}

    def extend(self, deadline_ms):
        if deadline_ms is not None:
            latest = self.clock_ms() + BOUNDS["maxHoldMs"]
            self.deadline = max(self.deadline or 0, min(deadline_ms, latest))

    def is_fenced(self, order):
        token = order.get("fencingToken", 0)
        if token < self.fence:
            return True
        self.fence = token
        return False

    async def run_start(self, order):
        task, number = order["task"], order["run"]
        self.cell.record(f"{self.name} gets start {task} run {number} token {order.get('fencingToken', 0)}")
        if self.is_fenced(order):
            return self.refuse("fence")
        if (task, number) in self.runs:
            self.extend(order["deadlineMs"])
            return 200, {"clockMs": self.clock_ms()}
        if order["deadlineMs"] <= self.clock_ms():
            return self.refuse("late")
        self.extend(order["deadlineMs"])
        if number <= self.dead.get(task, 0):
            return self.refuse("old")
        step = self.cell.step_of(task)
        run = Run(task, number, step, order.get("checkpoint"))
        self.runs[task, number] = run
        self.cell.log_start(self, run, order)
        return 200, {"clockMs": self.clock_ms()}

    async def run_stop(self, order):
        self.cell.record(f"{self.name} gets stop {order['task']} run {order['run']}")
        if self.is_fenced(order):
            return self.refuse("fence")
        task, number = order["task"], order["run"]
        run = self.runs.get((task, number))
        if run is None:
            self.dead[task] = max(self.dead.get(task, 0), number)
        elif run.stops_at is None:
            run.stops_at = time.monotonic() + 0.1
        return 200, {"clockMs": self.clock_ms()}

    async def hold(self, order):
        if self.is_fenced(order):
            return self.refuse("fence")
        acknowledged = order.get("ackedSeq", 0)
        for end in self.ends:
            if end[0] <= acknowledged:
                self.cell.record(f"{self.name} end {end[0]} of {end[1]} run {end[2]} ({end[3]}) taken note of")
        self.ends = [end for end in self.ends if end[0] > acknowledged]
        self.extend(order.get("deadlineMs"))
        wait = min(order.get("waitMs", 0), 2000) / 1000
        if not self.ends and wait:
            self.changed.clear()
            try:
                await asyncio.wait_for(self.changed.wait(), wait)
            except TimeoutError:
                pass
        running = [[run.task, run.number, run.saved, run_percent(run)] for run in self.runs.values()]
        return 200, {"clockMs": self.clock_ms(), "born": self.born, "running": running, "finished": self.ends[:500]}

    def end(self, run, how):
        if self.runs.pop((run.task, run.number), None) is None:
            return
        self.dead[run.task] = max(self.dead.get(run.task, 0), run.number)
        self.end_count += 1
        self.ends.append([self.end_count, run.task, run.number, how, run.saved])
        self.cell.log_end(self, run, how)
        self.changed.set()

    def advance(self, now, span):
        if self.deadline is not None and self.clock_ms() > self.deadline:
            for run in list(self.runs.values()):
                self.end(run, "lapsed")
                self.cell.break_gang(run)
            self.deadline = None
        for run in list(self.runs.values()):
            if (run.task, run.number) not in self.runs:
                continue
            if run.stops_at is not None and now >= run.stops_at:
                self.end(run, "stopped")
                self.cell.break_gang(run)
            elif not run.is_together:
                if now - run.arrived >= BOUNDS["gangTimeoutMs"] / 1000:
                    self.end(run, "alone")
                    self.cell.break_gang(run)
            elif now >= run.restores_until:
                run.worked += span
                if run.step.get("checkpoints"):
                    whole = int(run.worked / BOUNDS["checkpointIntervalS"]) * BOUNDS["checkpointIntervalS"]
                    run.saved = str(whole) if whole else run.saved
                if run.worked >= run.step["work_s"] and not run.step.get("longRunning"):
                    self.cell.finish(self, run)


def run_percent(run):
    if run.step.get("longRunning"):
        return 100
    return min(99, int(100 * run.worked / run.step["work_s"]))


# The cell


class Cell:
    """The platform, its runners and the entries of one small installation."""

    def __init__(self, folder, entries=3, runners=8, cpu=16000, mem_mb=65536, attempts=4):
        self.folder = pathlib.Path(folder)
        self.record = Record(self.folder / "record.txt")
        self.trouble = os.environ.get("TROUBLE", "1") != "0"
        self.record(f"disruption {'on' if self.trouble else 'off'}")
        process = os.getpid()
        self.network = f"127.{1 + process // 250 % 250}.{1 + process % 250}"
        self.service, self.host, self.prefix = "desk", "desk.example", "/jobs/"
        self.attempts = attempts
        self.store = Store()
        self.jobs, self.starts, self.ends = {}, [], []
        self.runners = [
            Runner(self, f"i-{index:04x}", (f"{self.network}.200", 9000 + index),
                   {"cpu": cpu, "memMb": mem_mb, "gpu": 0}, ["a", f"r{index // 8}"])
            for index in range(runners)
        ]
        self.entries = [Entry(self, index) for index in range(entries)]
        self.tasks = []
        self.files = pathlib.Path(tempfile.mkdtemp(prefix="review-"))

    async def start(self):
        await self.store.server.start(f"{self.network}.250", 8169)
        self.store.put("keyed.op", "config", self.manifest(1))
        for runner in self.runners:
            await runner.start()
        self.tasks = [asyncio.create_task(self.heartbeat()), asyncio.create_task(self.advance())]
        for entry in self.entries:
            entry.start()
        await self.until(lambda: self.all_ready(), 15, "entries are ready")

    async def all_ready(self):
        for entry in self.entries:
            if entry.is_running() and not await entry.ready():
                return False
        return True

    def manifest(self, version):
        route = {"name": "r-jobs", "host": self.host, "pathPrefix": self.prefix, "type": "non_idempotent",
                 "timeoutMs": 3000, "targetCompletionMs": 1200, "priority": 1, "service": self.service,
                 "attempts": self.attempts, "slackFactor": 2.2}
        service = {"name": self.service, "healthPath": "/healthz", "maxConns": 64, "protocol": "h1", "tls": False,
                   "enforcesCapacity": False, "standby": False}
        return {"version": version, "routes": [route], "services": [service], "limits": {
            "maxHeaderBytes": 16384, "maxBodyBytes": 262144, "headerTimeoutMs": 3000, "idleTimeoutMs": 15000}}

    async def heartbeat(self):
        while True:
            await asyncio.sleep(HEARTBEAT_S)
            for runner in self.runners:
                if runner.is_up:
                    runner.report()

    async def advance(self):
        last = time.monotonic()
        while True:
            await asyncio.sleep(0.01)
            now = time.monotonic()
            gangs = {}
            for runner in self.runners:
                for run in runner.runs.values():
                    if not run.is_together:
                        gangs.setdefault(run.gang, []).append(run)
            for runs in gangs.values():
                if len({run.task for run in runs}) == runs[0].step["count"]:
                    for run in runs:
                        run.is_together = True
            for runner in self.runners:
                if runner.is_up:
                    runner.advance(now, now - last)
            last = now

    def step_of(self, task):
        job, _, step, _ = task.split(".")
        return self.jobs[job]["steps"][int(step)]

    def members(self, run):
        return [(runner, other) for runner in self.runners for other in list(runner.runs.values())
                if other.gang == run.gang]

    def break_gang(self, run):
        if run.step.get("gang"):
            for runner, other in self.members(run):
                runner.end(other, "broken")

    def finish(self, runner, run):
        if run.step.get("gang"):
            for other_runner, other in self.members(run):
                other_runner.end(other, "done")
        else:
            runner.end(run, "failed" if run.step.get("fails") else "done")

    def log_start(self, runner, run, order):
        self.starts.append((time.monotonic(), runner.name, run.task, run.number, order))
        self.record(f"{runner.name} begins {run.task} run {run.number}")

    def log_end(self, runner, run, how):
        self.ends.append((time.monotonic(), runner.name, run.task, run.number, how))
        self.record(f"{runner.name} ends {run.task} run {run.number}: {how}")

    # Clients

    async def request(self, method, job, body=None, entry=None, timeout=3.0):
        entry = entry or next(entry for entry in self.entries if entry.is_running())
        content = json.dumps(body).encode() if body is not None else b""
        headers = {"Host": self.host, "Content-Type": "application/json",
                   "X-Laburnumplank-Deadline-Ms": str(int(timeout * 1000))}
        answer = await call(entry.ip, 8161, method, self.prefix + job, headers, content, timeout)
        status = answer[0] if answer else None
        text = answer[2].decode() if answer else ""
        self.record(f"client {method} {job} to {entry.name}: {status} {text}")
        return status, (json.loads(text) if text.startswith("{") else {})

    async def submit(self, job, steps, tries=5, **fields):
        """Hands a job in as a client does, at the entries in turn; returns whether it was accepted."""
        self.jobs[job] = {"steps": steps}
        known = ("count", "cpu", "memMb", "gpu", "estimateMs", "dependsOn", "checkpoints", "gang", "longRunning",
                 "maxPerServer", "requiredLabel", "sameRack", "affinity", "maxUnavailable")
        body = {"spec": f"work of {job}", "steps": [
            {name: step[name] for name in known if step.get(name)} for step in steps], **fields}
        for attempt in range(tries):
            running = [entry for entry in self.entries if entry.is_running()]
            status, _ = await self.request("POST", job, body, running[attempt % len(running)])
            if status == 200:
                return True
            await asyncio.sleep(0.5)
        return False

    async def state(self, job, tries=8):
        for attempt in range(tries):
            running = [entry for entry in self.entries if entry.is_running()]
            status, body = await self.request("GET", job, entry=running[attempt % len(running)])
            if status == 200:
                return body["state"]
            if status == 410:
                return "gone"
            await asyncio.sleep(0.5)
        return "unanswered"

    async def until(self, condition, timeout, what):
        end = time.monotonic() + timeout
        while time.monotonic() < end:
            met = condition()
            if asyncio.iscoroutine(met):
                met = await met
            if met:
                return
            await asyncio.sleep(0.05)
        raise Unable(f"not in {timeout} s: {what}")

    def ends_of(self, job, how):
        return [end for end in self.ends if end[2].startswith(job + ".") and end[4] == how]

    def starts_of(self, job):
        return [start for start in self.starts if start[2].startswith(job + ".")]

    def stop(self):
        for entry in self.entries:
            entry.end()
        for task in self.tasks:
            task.cancel()
        for runner in self.runners:
            if runner.server:
                runner.server.stop()
        self.store.server.stop()
        shutil.rmtree(self.files, ignore_errors=True)


class Entry:
    """A process of the system."""

    def __init__(self, cell, index):
        self.cell, self.index = cell, index
        self.name, self.ip = f"front-quimper-{index + 1}", f"{cell.network}.{index + 1}"
        self.process = None

    def start(self):
        deploy = tomllib.loads((REPOSITORY / "deploy/system.toml").read_text())
        role = deploy["roles"]["entry"]
        values = {
            "node": self.name, "zone": "quimper", "region": "finistere", "ip": self.ip,
            "listen": {"front": f"{self.ip}:8161", "ready": f"{self.ip}:8167"},
            "internalPortRange": [7720, 7735], "limits": {"cpuShare": 0.25, "maxFds": 4200}, "bounds": BOUNDS,
            "platform": {"address": f"{self.cell.network}.250:8169"}, "advice": f"{self.cell.network}.251:8169",
        }
        settings = self.cell.files / f"{self.name}.json"
        settings.write_text(render((REPOSITORY / role["template"]).read_text(), values))
        command = role["run"].split()
        program = REPOSITORY / command[0]
        if not program.exists():
            raise Unable(f"{command[0]} is not built")
        environment = {"PATH": os.environ.get("PATH", ""), "LABURNUMPLANK_BOOT": str(settings)}
        log = os.environ.get("ENTRY_LOGS")
        output = open(pathlib.Path(log) / f"{self.name}.log", "ab") if log else None
        self.process = subprocess.Popen([str(program), *command[1:]], cwd=REPOSITORY, env=environment,
                                        stdout=output or subprocess.DEVNULL, stderr=subprocess.STDOUT)
        self.cell.record(f"{self.name} started")

    def is_running(self):
        return self.process is not None and self.process.poll() is None

    async def ready(self):
        answer = await call(self.ip, 8167, "GET", "/readyz", timeout=1.0)
        return answer is not None and answer[0] == 200

    def signal(self, number):
        self.cell.record(f"{self.name} gets {signal.Signals(number).name}")
        self.process.send_signal(number)

    def end(self):
        if self.is_running():
            self.process.send_signal(signal.SIGKILL)
            self.process.wait()


def render(text, values):
    def value(match):
        found = values
        for part in match[1].split("."):
            found = found[int(part)] if part.isdigit() else found[part]
        return str(found)
    return re.sub(r"\{\{([a-zA-Z0-9_.]+)\}\}", value, text)


def main(case, folder, limit_s=115):
    """Plays `case`, which returns a list of breaches of the rule, and exits as a case does."""
    async def play():
        cell = case.cell(folder)
        try:
            await cell.start()
            breaches = await case.play(cell)
            for breach in breaches:
                cell.record(f"BROKEN {breach}")
            cell.record(f"verdict: {'broken' if breaches else 'held'}")
            return 1 if breaches else 0
        finally:
            cell.stop()

    try:
        return asyncio.run(asyncio.wait_for(play(), limit_s))
    except (Unable, OSError, TimeoutError) as error:
        print(f"the case could not run: {error!r}", file=sys.stderr)
        return 2
