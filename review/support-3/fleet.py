"""Stand-ins for the users' platform: the store, workers and callers, and the daemons as processes.

All of them speak what PROTOCOL.md says, on 127.0.0.1. Only the standard library is used.
"""

import asyncio
import base64
import json
import os
import re
import signal
import socket
import subprocess
import tempfile
import time
import tomllib
import urllib.parse

ROOT = os.path.abspath(os.path.join(os.path.dirname(os.path.abspath(__file__)), "..", ".."))


def trouble():
    """False in a run without the disruption."""
    return os.environ.get("TROUBLE", "1") != "0"


def free_port(kind=socket.SOCK_STREAM):
    with socket.socket(socket.AF_INET, kind) as one:
        one.bind(("127.0.0.1", 0))
        return one.getsockname()[1]


class Record:
    """Writes what happens to a file, with the time since the start."""

    def __init__(self, path):
        self.file = open(path, "w", encoding="utf-8")
        self.start = time.monotonic()

    def __call__(self, text):
        self.file.write(f"{time.monotonic() - self.start:8.3f} {text}\n")
        self.file.flush()


# --- HTTP ---------------------------------------------------------------------------------------


class Message:
    def __init__(self, start, fields, body):
        self.start, self.fields, self.body = start, fields, body

    def field(self, name, default=""):
        return self.fields.get(name.lower(), default)


async def read_head(reader):
    """The start line and the fields; None at the end of the connection."""
    try:
        text = await reader.readuntil(b"\r\n\r\n")
    except (asyncio.IncompleteReadError, ConnectionError):
        return None
    lines = text.decode("latin-1").split("\r\n")
    fields = {}
    for line in lines[1:]:
        name, colon, value = line.partition(":")
        if colon:
            fields[name.strip().lower()] = value.strip()
    return lines[0], fields


async def read_chunk(reader):
    size = int((await reader.readuntil(b"\r\n")).split(b";")[0], 16)
    data = await reader.readexactly(size)
    await reader.readexactly(2)
    return data


async def read_message(reader):
    """A whole message; None at the end of the connection or for an incomplete one."""
    head = await read_head(reader)
    if head is None:
        return None
    start, fields = head
    try:
        if fields.get("transfer-encoding", "").lower() == "chunked":
            body = b""
            while chunk := await read_chunk(reader):
                body += chunk
        else:
            body = await reader.readexactly(int(fields.get("content-length", "0")))
    except (asyncio.IncompleteReadError, ConnectionError, ValueError):
        return None
    return Message(start, fields, body)


def answer_text(status, body=b"", fields=()):
    lines = [f"HTTP/1.1 {status} X"] + [f"{name}: {value}" for name, value in fields]
    lines.append(f"Content-Length: {len(body)}")
    return "\r\n".join(lines).encode() + b"\r\n\r\n" + body


# --- The platform's store -----------------------------------------------------------------------


PAGE_ITEMS, PAGE_BYTES = 500, 1_000_000  # "at most about 500 items or 1 MB"


class Store:
    """The platform's metadata store, form `kv`."""

    def __init__(self, record):
        self.record = record
        self.items = {}  # key -> (value, revision, created, lease)
        self.history = []  # (revision, key, value or None)
        self.revision = 100
        self.leases = {}  # number -> (end, time to live)
        self.last_lease = 7000
        self.changed = asyncio.Event()
        self.waiting = set()  # Writers of the connections on which a watch waits.
        self.on_write = None  # May take over the answer to a write: (body) -> "answer" or "drop".
        self.server = None
        self.port = free_port()

    async def start(self):
        self.server = await asyncio.start_server(self.serve, "127.0.0.1", self.port, limit=1 << 24)
        self.task = asyncio.create_task(self.end_leases())

    @property
    def address(self):
        return f"127.0.0.1:{self.port}"

    def put(self, key, value, lease=0):
        self.revision += 1
        created = self.items[key][2] if key in self.items else self.revision
        self.items[key] = (value, self.revision, created, lease)
        self.history.append((self.revision, key, value))
        self.wake()

    def put_json(self, key, value):
        self.put(key, json.dumps(value).encode())

    def remove(self, key):
        if self.items.pop(key, None) is not None:
            self.revision += 1
            self.history.append((self.revision, key, None))
            self.wake()

    def wake(self):
        self.changed.set()
        self.changed = asyncio.Event()

    def cut_waiting_watches(self):
        """Closes the connections on which a watch waits; returns how many."""
        cut = list(self.waiting)
        for writer in cut:
            writer.close()
        return len(cut)

    async def end_leases(self):
        while True:
            await asyncio.sleep(0.05)
            now = time.monotonic()
            for number in [one for one, (end, _) in self.leases.items() if end <= now]:
                del self.leases[number]
                for key in [k for k, item in self.items.items() if item[3] == number]:
                    self.remove(key)

    def item_json(self, key):
        value, revision, created, lease = self.items[key]
        return {
            "key": key,
            "value": base64.b64encode(value).decode(),
            "revision": revision,
            "createdRev": created,
            "lease": lease,
        }

    async def serve(self, reader, writer):
        try:
            while message := await read_message(reader):
                method, target, _ = message.start.split(" ")
                path, _, query = target.partition("?")
                asked = {k: v[0] for k, v in urllib.parse.parse_qs(query).items()}
                result = await self.handle(method, path, asked, message.body, writer)
                if result is None:
                    break  # The answer is lost, and the connection returns nothing further.
                status, body = result
                writer.write(
                    answer_text(
                        status, json.dumps(body).encode(), [("Content-Type", "application/json")]
                    )
                )
                await writer.drain()
        except (ConnectionError, asyncio.CancelledError):
            pass
        finally:
            writer.close()

    async def handle(self, method, path, asked, body, writer):
        if path == "/v1/kv-key":
            key = asked.get("key", "")
            if key not in self.items:
                return 404, {"currentRev": self.revision}
            return 200, {**self.item_json(key), "currentRev": self.revision}
        if path == "/v1/kv-range":
            keys = sorted(k for k in self.items if k.startswith(asked.get("prefix", "")))
            keys = [k for k in keys if k > asked.get("after", "")]
            page, size = [], 0
            for key in keys:
                size += len(self.items[key][0])
                if page and (size > PAGE_BYTES or len(page) == PAGE_ITEMS):
                    break
                page.append(self.item_json(key))
            return 200, {
                "items": page,
                "morePages": len(page) < len(keys),
                "currentRev": self.revision,
            }
        if path == "/v1/kv-watch":
            return await self.watch(asked, writer)
        if path == "/v1/kv-lease":
            ttl = max(int(json.loads(body)["ttlMs"]), 1000)
            self.last_lease += 1
            self.leases[self.last_lease] = (time.monotonic() + ttl / 1000, ttl)
            return 200, {"lease": self.last_lease, "ttlMs": ttl}
        if path.startswith("/v1/kv-keep/"):
            number = int(path.rsplit("/", 1)[1])
            if number not in self.leases:
                return 404, {}
            ttl = self.leases[number][1]
            self.leases[number] = (time.monotonic() + ttl / 1000, ttl)
            return 200, {"ttlMs": ttl}
        if path == "/v1/kv-txn":
            asked_for = json.loads(body)
            if self.on_write is not None and self.on_write(asked_for) == "drop":
                await asyncio.sleep(600)
                return None
            return self.commit(asked_for)
        return 404, {}

    def commit(self, asked):
        for row in asked.get("expectedRevision", []):
            known = self.items[row["key"]][1] if row["key"] in self.items else 0
            if known != row["revision"]:
                return 412, {"items": []}
        for one in asked.get("writes", []):
            if one.get("lease", 0) and one["lease"] not in self.leases:
                return 404, {}
        for one in asked.get("writes", []):
            self.put(one["key"], base64.b64decode(one["value"]), one.get("lease", 0))
        for key in asked.get("remove", []):
            self.remove(key)
        return 200, {"revision": self.revision}

    async def watch(self, asked, writer):
        prefix, after = asked.get("prefix", ""), int(asked.get("after", "0"))
        end = time.monotonic() + int(asked.get("waitMs", "0")) / 1000
        while True:
            events = [one for one in self.history if one[0] > after and one[1].startswith(prefix)]
            left = end - time.monotonic()
            if events or left <= 0:
                break
            self.waiting.add(writer)
            try:
                await asyncio.wait_for(self.changed.wait(), left)
            except asyncio.TimeoutError:
                pass
            finally:
                self.waiting.discard(writer)
            if writer.is_closing():
                return None
        found = []
        for revision, key, value in events:
            if value is None:
                found.append({"key": key, "revision": revision, "tombstone": True})
            else:
                text = base64.b64encode(value).decode()
                found.append({"key": key, "revision": revision, "value": text, "lease": 0})
        return 200, {"events": found, "currentRev": self.revision}


# --- Workers ------------------------------------------------------------------------------------


class Worker:
    """A server of one service. `run` answers one request and may be replaced."""

    def __init__(self, store, record, name, service, zone, slots=8, work_s=0.05):
        self.store, self.record = store, record
        self.name, self.service, self.zone, self.slots = name, service, zone, slots
        self.work_s = work_s
        self.port = free_port()
        self.born = int(time.time() * 1000)
        self.sequence = 0
        self.running = 0
        self.arrivals = []  # (time, request id, method)
        self.finished = []  # request ids that ran to their end
        self.writers = set()
        self.server = None
        self.beating = None

    @property
    def address(self):
        return f"127.0.0.1:{self.port}"

    @property
    def key(self):
        return "servers/" + self.name

    async def start(self):
        self.server = await asyncio.start_server(self.serve, "127.0.0.1", self.port, limit=1 << 24)
        self.beating = asyncio.create_task(self.beat())

    def entry(self, state="ready"):
        return {
            "service": self.service,
            "address": self.address,
            "zone": self.zone,
            "version": "v1",
            "slots": self.slots,
            "state": state,
            "coldRemainingMs": 0,
            "sequence": self.sequence,
            "born": self.born,
        }

    async def beat(self):
        # "The entry changes when more than `sequence` changes": nothing else does here.
        while True:
            self.sequence += 1
            if self.key not in self.store.items:
                self.store.put_json(self.key, self.entry())
            await asyncio.sleep(1.2)

    async def leave_unannounced(self, serve_s):
        """The entry is removed; the worker serves on for `serve_s` and exits. Returns the times of
        the removal (the store's ack) and of the exit."""
        self.beating.cancel()
        self.store.remove(self.key)
        removed = time.monotonic()
        self.record(f"worker {self.name}: entry removed, serves on for {serve_s} s")
        await asyncio.sleep(serve_s)
        self.exit()
        return removed, time.monotonic()

    def exit(self):
        """The process ends: nothing listens, and all connections are reset."""
        if self.beating is not None:
            self.beating.cancel()
        self.server.close()
        for writer in list(self.writers):
            writer.transport.abort()
        self.record(f"worker {self.name}: exited")

    async def serve(self, reader, writer):
        self.writers.add(writer)
        try:
            while message := await read_message(reader):
                if not await self.answer(message, reader, writer):
                    break
        except (ConnectionError, asyncio.CancelledError):
            pass
        finally:
            self.writers.discard(writer)
            writer.close()

    async def answer(self, message, reader, writer):
        """False if the connection is of no further use."""
        request = message.field("Endivejunction-Attempt-Id")
        method = message.start.split(" ")[0]
        expected = message.field("Endivejunction-Expected-Instance")
        echo = [("Endivejunction-Attempt-Id", request), ("Keep-Alive", "timeout=10")]
        if expected and expected != self.name:
            writer.write(answer_text(421, b"", echo))
            return True
        if self.running >= self.slots:
            writer.write(answer_text(503, b"", echo + [("Endivejunction-Not-Executed", "1")]))
            return True
        self.arrivals.append((time.monotonic(), request, method))
        self.running += 1
        self.record(f"worker {self.name}: runs {request}")
        try:
            return await self.run(message, request, echo, writer)
        finally:
            self.running -= 1

    async def run(self, message, request, echo, writer):
        await asyncio.sleep(self.work_s)
        if writer.is_closing():
            return False
        self.finished.append(request)
        writer.write(
            answer_text(200, b"done", echo + [("Endivejunction-Response-Signature", "s." + request)])
        )
        return True


# --- Daemons ------------------------------------------------------------------------------------


class Daemon:
    """One VM: the command and the settings template of the deploy file."""

    def __init__(self, name, zone, store, folder, memory_mb=195, bounds=None):
        self.name, self.zone = name, zone
        self.port, self.ready_port = free_port(), free_port()
        self.peer_port = free_port(socket.SOCK_DGRAM)
        self.settings = os.path.join(folder, name + ".conf")
        self.log = os.path.join(folder, name + ".log")
        values = {
            "nodeName": name,
            "zone": zone,
            "listen.front": f"127.0.0.1:{self.port}",
            "listen.ready": f"127.0.0.1:{self.ready_port}",
            "ip": "127.0.0.1",
            "internalPorts.0": self.peer_port,
            "platform.address": store.address,
            "bounds.configApplyMs": 2000,
            "bounds.drainMs": 2000,
            "bounds.graceS": 8,
            "limits.memoryMb": memory_mb,
            "bounds.retryBudgetRatio": 0.8,
            "bounds.budgetSlack": 150,
            "bounds.budgetWindowS": 10,
        }
        values.update(bounds or {})
        with open(os.path.join(ROOT, "deploy", "system.toml"), "rb") as file:
            role = next(iter(tomllib.load(file)["roles"].values()))
        with open(os.path.join(ROOT, role["template"]), encoding="utf-8") as file:
            text = re.sub(r"\{\{(.*?)\}\}", lambda m: str(values[m.group(1)]), file.read())
        with open(self.settings, "w", encoding="utf-8") as file:
            file.write(text)
        self.command = role["run"].split(" ")
        self.process = None

    def start(self):
        # "It receives no environment variables from the caller except PATH, HOME, JAVA_HOME and
        # LANG"; one arena is the least memory that the C library can do with.
        kept = ("PATH", "HOME", "JAVA_HOME", "LANG")
        environment = {name: os.environ[name] for name in kept if name in os.environ}
        environment |= {"ENDIVEJUNCTION_CONFIG": self.settings, "MALLOC_ARENA_MAX": "1"}
        self.process = subprocess.Popen(
            self.command,
            cwd=ROOT,
            env=environment,
            stdout=open(self.log, "ab"),
            stderr=subprocess.STDOUT,
        )

    def signal(self, number):
        self.process.send_signal(number)

    def stop(self):
        if self.process is not None and self.process.poll() is None:
            self.process.send_signal(signal.SIGCONT)
            self.process.kill()
            self.process.wait()

    async def ready(self):
        try:
            reader, writer = await asyncio.open_connection("127.0.0.1", self.ready_port)
            writer.write(b"GET /v1/ready HTTP/1.1\r\nHost: x\r\n\r\n")
            message = await asyncio.wait_for(read_message(reader), 1)
            writer.close()
            return message is not None and " 200 " in message.start
        except (OSError, asyncio.TimeoutError):
            return False

    async def until_ready(self, seconds=10):
        end = time.monotonic() + seconds
        while time.monotonic() < end:
            if await self.ready():
                return
            await asyncio.sleep(0.05)
        raise CannotRun(f"{self.name} did not become ready")


class CannotRun(Exception):
    pass


# --- Callers ------------------------------------------------------------------------------------


def request_text(method, path, request, deadline_ms, body=b"", host="shop.example", fields=()):
    lines = [
        f"{method} {path} HTTP/1.1",
        f"Host: {host}",
        f"Endivejunction-Attempt-Id: {request}",
        f"Endivejunction-Deadline-Ms: {deadline_ms}",
    ]
    lines += [f"{name}: {value}" for name, value in fields]
    if body or method == "POST":
        lines.append(f"Content-Length: {len(body)}")
    return ("\r\n".join(lines) + "\r\n\r\n").encode() + body


class Caller:
    """A keep-alive connection to one daemon, one request at a time."""

    def __init__(self, port):
        self.port = port
        self.reader = self.writer = None

    async def ask(self, text, seconds):
        """The answer; None if the connection ended without a whole one."""
        if self.writer is None:
            try:
                self.reader, self.writer = await asyncio.open_connection(
                    "127.0.0.1", self.port, limit=1 << 24
                )
            except OSError:
                return None
        try:
            self.writer.write(text)
            answer = await asyncio.wait_for(read_message(self.reader), seconds)
        except (ConnectionError, asyncio.TimeoutError):
            answer = None
        if answer is None or answer.field("Connection").lower() == "close":
            self.close()
        return answer

    def close(self):
        if self.writer is not None:
            self.writer.close()
            self.writer = None


def config(version, routes, services, tenants=None):
    made = {
        "version": version,
        "routes": routes,
        "services": services,
        "limits": {
            "maxHeaderBytes": 16384,
            "maxBodyBytes": 4194304,
            "headerTimeoutMs": 3000,
            "idleTimeoutMs": 15000,
        },
    }
    if tenants is not None:
        made["tenants"] = tenants
    return made


def route(name, prefix, kind, service, timeout_ms, attempts=1, target_ms=100, **more):
    return {
        "name": name,
        "host": "shop.example",
        "prefix": prefix,
        "kind": kind,
        "timeoutMs": timeout_ms,
        "targetLatencyMs": target_ms,
        "priority": 1,
        "service": service,
        "maxAttempts": attempts,
        "public": True,
        **more,
    }


def run_case(folder, case):
    """Runs `case(record, scratch, daemons)`, which returns True if the rule held. Exit status: 0 if
    it held, 1 if it was broken, 2 if the case could not run."""
    record = Record(os.path.join(folder, "record.txt"))
    daemons = []

    async def whole():
        loop = asyncio.get_running_loop()
        # Tasks that are cancelled at the end are no failures of the case.
        loop.set_exception_handler(lambda loop, what: None)
        # The processes are ended also if the script is told to stop.
        loop.add_signal_handler(signal.SIGTERM, asyncio.current_task().cancel)
        with tempfile.TemporaryDirectory() as scratch:
            try:
                return await asyncio.wait_for(case(record, scratch, daemons), 110)
            finally:
                for one in daemons:
                    one.stop()
                if os.environ.get("KEEP_LOGS"):
                    for one in daemons:
                        with open(one.log, encoding="utf-8", errors="replace") as log:
                            with open(os.path.join(os.environ["KEEP_LOGS"], one.name), "w") as to:
                                to.write(log.read())

    try:
        held = asyncio.run(whole())
    except (Exception, asyncio.CancelledError) as error:  # A fault of the script or its surroundings is no broken rule.
        record(f"could not run: {error!r}")
        print(f"could not run: {error!r}")
        return 2
    record("the rule held" if held else "the rule was broken")
    print("the rule held" if held else "the rule was broken")
    return 0 if held else 1
