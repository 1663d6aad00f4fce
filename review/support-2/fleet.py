"""Stand-ins of a small deployment: the platform's store, workers, callers, and the daemons as processes.

Everything listens on free ports of 127.0.0.1 and speaks what PROTOCOL.md says. Python's standard library only.
"""

import asyncio
import base64
import itertools
import json
import os
import re
import signal
import socket
import subprocess
import sys
import tempfile
import time
from urllib.parse import parse_qs, unquote, urlsplit

ROOT = os.path.dirname(os.path.dirname(os.path.dirname(os.path.abspath(__file__))))
PROGRAM = os.path.join(ROOT, "target", "bin", "endivejunction")
HOST = "ficu95.example"
KEY = "xd9dnn2ctnfzs989anu6"
TENANT = "huka270"
# The bounds of the small sites.
BOUNDS = {"configApplyMs": 2000, "drainMs": 2000, "graceS": 8, "retryBudgetRatio": 0.8, "budgetSlack": 150,
          "budgetWindowS": 10, "contactMs": 3000}
REASONS = {200: "OK", 404: "Not Found", 410: "Gone", 412: "Precondition Failed", 421: "Misdirected Request",
           500: "Internal Server Error", 503: "Service Unavailable"}


def now():
    return time.monotonic()


# Below the ports that the system gives to outgoing connections, so that they stay free; another part of the range for
# each process, so that scripts can run at the same time.
ports = itertools.cycle(range(20_000 + os.getpid() % 100 * 120, 20_000 + os.getpid() % 100 * 120 + 120))


def free_port(kind=socket.SOCK_STREAM):
    while True:
        port = next(ports)
        with socket.socket(socket.AF_INET, kind) as one:
            try:
                one.bind(("127.0.0.1", port))
                return port
            except OSError:
                continue


class Record:
    """record.txt: what was sent, answered and run, by seconds since the start."""

    def __init__(self, path):
        self.began = now()
        self.file = open(path, "w", encoding="utf-8")

    def line(self, text, at=None):
        self.file.write(f"{(now() if at is None else at) - self.began:9.3f} {text}\n")

    def close(self):
        self.file.close()


class Message:
    def __init__(self, start, fields, body):
        self.start = start
        self.fields = fields
        self.body = body

    def field(self, name):
        return self.fields.get(name.lower(), "")


async def read_message(reader):
    """A request or an answer; None at the end of the connection."""
    try:
        head = await reader.readuntil(b"\r\n\r\n")
    except (asyncio.IncompleteReadError, ConnectionError, OSError):
        return None
    lines = head.decode("latin-1").split("\r\n")
    fields = {}
    for line in lines[1:]:
        if ":" in line:
            name, value = line.split(":", 1)
            fields[name.strip().lower()] = value.strip()
    body = b""
    try:
        if fields.get("transfer-encoding", "").lower() == "chunked":
            while True:
                size = int((await reader.readline()).split(b";")[0], 16)
                body += await reader.readexactly(size)
                await reader.readexactly(2)
                if size == 0:
                    break
        elif "content-length" in fields:
            body = await reader.readexactly(int(fields["content-length"]))
    except (asyncio.IncompleteReadError, ConnectionError, OSError, ValueError):
        return None
    return Message(lines[0], fields, body)


def encode(status, fields, body):
    lines = [f"HTTP/1.1 {status} {REASONS.get(status, 'Status')}"]
    lines += [f"{name}: {value}" for name, value in fields]
    lines.append(f"Content-Length: {len(body)}")
    return ("\r\n".join(lines) + "\r\n\r\n").encode() + body


class Store:
    """The platform's store: items, history, watches, transactions and leases."""

    def __init__(self, record):
        self.record = record
        self.items = {}
        self.history = []
        self.revision = 100
        self.leases = {}
        self.numbers = itertools.count(77120)
        self.changed = asyncio.Event()
        self.server = None
        self.port = 0

    async def start(self):
        self.port = free_port()
        self.server = await asyncio.start_server(self.serve, "127.0.0.1", self.port)

    def put(self, key, value, lease=0):
        self.revision += 1
        made = self.items[key]["createdRev"] if key in self.items else self.revision
        item = {"key": key, "value": base64.b64encode(value).decode(), "revision": self.revision,
                "createdRev": made, "lease": lease}
        self.items[key] = item
        self.note(item)

    def remove(self, key):
        if self.items.pop(key, None) is not None:
            self.revision += 1
            self.note({"key": key, "revision": self.revision, "tombstone": True})

    def note(self, event):
        self.history.append(event)
        self.changed.set()
        self.changed = asyncio.Event()

    def expire(self):
        for lease, (ttl, until) in list(self.leases.items()):
            if until <= now():
                self.end_lease(lease)

    def end_lease(self, lease):
        self.leases.pop(lease, None)
        for key in [key for key, item in self.items.items() if item["lease"] == lease]:
            self.remove(key)

    async def serve(self, reader, writer):
        while True:
            message = await read_message(reader)
            if message is None:
                break
            method, target, _ = message.start.split(" ")
            parts = urlsplit(target)
            query = {name: values[0] for name, values in parse_qs(parts.query, keep_blank_values=True).items()}
            self.expire()
            status, answer = await self.answer(method, unquote(parts.path), query, message.body)
            if writer.is_closing():
                break
            writer.write(encode(status, [("Content-Type", "application/json")], json.dumps(answer).encode()))
            try:
                await writer.drain()
            except (ConnectionError, OSError):
                break
        writer.close()

    async def answer(self, method, path, query, body):
        if path == "/v1/kv-key":
            item = self.items.get(query.get("key", ""))
            return (200, {**item, "currentRev": self.revision}) if item else (404, {"currentRev": self.revision})
        if path == "/v1/kv-range":
            after = query.get("after", "")
            keys = sorted(key for key in self.items if key.startswith(query.get("prefix", "")) and key > after)
            page = keys[:500]
            return 200, {"items": [self.items[key] for key in page], "morePages": len(keys) > len(page),
                         "currentRev": self.revision}
        if path == "/v1/kv-watch":
            return await self.watch(query)
        if path == "/v1/kv-txn":
            return self.transact(json.loads(body))
        if path == "/v1/kv-lease":
            ttl = int(json.loads(body)["ttlMs"])
            lease = next(self.numbers)
            self.leases[lease] = (ttl, now() + ttl / 1000)
            return 200, {"lease": lease, "ttlMs": ttl}
        lease = int(path.rsplit("/", 1)[1]) if path.rsplit("/", 1)[1].isdigit() else -1
        if path.startswith("/v1/kv-keep/"):
            if lease not in self.leases:
                return 404, {}
            ttl = self.leases[lease][0]
            self.leases[lease] = (ttl, now() + ttl / 1000)
            return 200, {"ttlMs": ttl}
        if path.startswith("/v1/kv-lease-end/"):
            self.end_lease(lease)
            return 200, {}
        return 404, {}

    async def watch(self, query):
        after, prefix = int(query["after"]), query.get("prefix", "")
        until = now() + int(query.get("waitMs", "0")) / 1000
        while True:
            events = [one for one in self.history if one["revision"] > after and one["key"].startswith(prefix)]
            left = until - now()
            if events or left <= 0:
                return 200, {"events": events, "currentRev": self.revision}
            try:
                await asyncio.wait_for(self.changed.wait(), left)
            except asyncio.TimeoutError:
                pass

    def transact(self, call):
        for row in call.get("expectedRevision", []):
            item = self.items.get(row["key"])
            if (item["revision"] if item else 0) != row["revision"]:
                rows = [self.items[one["key"]] for one in call["expectedRevision"] if one["key"] in self.items]
                return 412, {"items": rows}
        for write in call.get("writes", []):
            if write.get("lease", 0) and write["lease"] not in self.leases:
                return 404, {}
        for write in call.get("writes", []):
            self.put(write["key"], base64.b64decode(write["value"]), write.get("lease", 0))
        for key in call.get("remove", []):
            self.remove(key)
        return 200, {"revision": self.revision}


class Worker:
    """A worker of a plain service."""

    def __init__(self, record, store, service, zone, slots=6, work_s=0.03):
        self.record, self.store, self.service, self.zone = record, store, service, zone
        self.slots, self.work_s = slots, work_s
        self.number = 0
        self.id = ""
        self.born = 0
        self.port = free_port()
        self.server = None
        self.connections = set()
        self.silent = set()
        self.running = 0
        self.sequence = 0
        self.beats = None
        self.arrivals = []  # (time, attempt, what)
        self.on_run = None  # May crash the worker, or end it: returns True if the run is over.

    def entry(self, state="ready"):
        self.sequence += 1
        return json.dumps({"service": self.service, "address": f"127.0.0.1:{self.port}", "zone": self.zone,
                           "version": "v1", "slots": self.slots, "state": state, "coldRemainingMs": 0,
                           "sequence": self.sequence, "born": self.born}).encode()

    async def start(self):
        self.number += 1
        self.id = f"i-{self.zone}-{self.port}-{self.number}"
        self.born = int(time.time() * 1000)
        self.sequence = self.running = 0
        self.server = await asyncio.start_server(self.serve, "127.0.0.1", self.port)
        self.register()
        self.beats = asyncio.get_running_loop().create_task(self.beat())
        self.record.line(f"worker {self.id} of {self.service} starts")

    def register(self):
        self.store.put("servers/" + self.id, self.entry())

    async def beat(self):
        while True:
            await asyncio.sleep(1.2)
            self.register()

    def crash(self):
        """All connections are reset; the entry lapses after three silent intervals."""
        self.record.line(f"worker {self.id} crashes")
        self.beats.cancel()
        self.server.close()
        for writer in list(self.connections):
            writer.transport.abort()
        name = self.id
        asyncio.get_running_loop().call_later(3.6, lambda: self.store.remove("servers/" + name))

    def fall_silent(self):
        """Like `crash`, but its connections stay open and are silent from now on."""
        self.record.line(f"worker {self.id} goes dark")
        self.beats.cancel()
        self.server.close()
        for writer in self.connections:
            writer.transport.pause_reading()
            self.silent.add(writer)
        self.connections = set()
        name, self.id = self.id, ""
        asyncio.get_running_loop().call_later(3.6, lambda: self.store.remove("servers/" + name))

    def close_silent(self):
        for writer in list(self.silent):
            writer.transport.abort()

    async def serve(self, reader, writer):
        self.connections.add(writer)
        me = self.id
        try:
            while me == self.id:
                message = await read_message(reader)
                if message is None or me != self.id:
                    break
                answer = await self.answer(message)
                if answer is None or writer in self.silent or writer.is_closing():
                    break
                writer.write(answer)
                await writer.drain()
        except (ConnectionError, OSError):
            pass
        finally:
            self.connections.discard(writer)
            if writer not in self.silent:
                writer.close()

    async def answer(self, message):
        attempt = message.field("Endivejunction-Attempt-Id")
        echo = [("Endivejunction-Attempt-Id", attempt)] if attempt else []
        load = [("Endivejunction-Server-Load", f"{min(self.running, self.slots)},"
                 f"{max(self.running - self.slots, 0)},{self.slots}")]
        if message.start.startswith("GET /healthz"):
            return encode(200, [("Endivejunction-Instance-Id", self.id)] + load, b"ok\n")
        if message.field("Endivejunction-Expected-Instance") not in ("", self.id):
            return encode(421, echo + [("Endivejunction-Instance-Id", self.id),
                                       ("Endivejunction-Not-Executed", "1")], b"")
        self.arrivals.append((now(), attempt, message.start))
        self.record.line(f"  {attempt} reaches {self.id}: {message.start}")
        self.running += 1
        try:
            if self.on_run is not None and self.on_run(self, message):
                return None
            await asyncio.sleep(self.work_s)
        finally:
            self.running -= 1
        return encode(200, echo + [("Endivejunction-Response-Signature", f"{self.id}.{attempt}")] + load,
                      b"x" * 200)


class Daemon:
    """A daemon of the deploy file as a process, with deploy/settings.conf filled in."""

    def __init__(self, record, folder, name, zone, store_port, memory_mb=195):
        self.record, self.name, self.zone = record, name, zone
        self.port, self.ready_port = free_port(), free_port()
        self.peer_port = free_port(socket.SOCK_DGRAM)
        self.settings = os.path.join(folder, name + ".conf")
        self.log = os.path.join(folder, name + ".log")
        self.values = {"nodeName": name, "zone": zone, "ip": "127.0.0.1",
                       "listen.front": f"127.0.0.1:{self.port}", "listen.ready": f"127.0.0.1:{self.ready_port}",
                       "internalPorts.0": self.peer_port, "platform.address": f"127.0.0.1:{store_port}",
                       "limits.memoryMb": memory_mb}
        self.values.update({"bounds." + key: value for key, value in BOUNDS.items()})
        self.write_settings()
        self.process = None
        self.started = 0.0

    def write_settings(self):
        with open(os.path.join(ROOT, "deploy", "settings.conf"), encoding="utf-8") as template:
            text = re.sub(r"\{\{([^}]*)\}\}", lambda found: str(self.values.get(found.group(1), "")), template.read())
        with open(self.settings + ".new", "w", encoding="utf-8") as file:
            file.write(text)
        os.replace(self.settings + ".new", self.settings)

    def start(self):
        with open(os.path.join(ROOT, "deploy", "system.toml"), encoding="utf-8") as file:
            command = re.search(r'^run = "([^"]*)"', file.read(), re.MULTILINE).group(1).split(" ")
        environment = {"PATH": os.environ.get("PATH", ""), "HOME": os.environ.get("HOME", "/"),
                       "LANG": "C", "ENDIVEJUNCTION_CONFIG": self.settings}
        with open(self.log, "ab") as log:
            self.process = subprocess.Popen(command, cwd=ROOT, env=environment, stdout=log, stderr=log)
        self.started = now()
        self.record.line(f"daemon {self.name} starts")

    def signal(self, number):
        if self.process is not None and self.process.poll() is None:
            self.process.send_signal(number)

    def kill(self):
        self.record.line(f"daemon {self.name} is killed")
        self.signal(signal.SIGKILL)
        self.process.wait()

    async def ready(self):
        try:
            reader, writer = await asyncio.open_connection("127.0.0.1", self.ready_port)
            writer.write(b"GET /v1/ready HTTP/1.1\r\nHost: ready\r\nConnection: close\r\n\r\n")
            message = await asyncio.wait_for(read_message(reader), 2)
            writer.close()
            return message is not None and " 200 " in message.start
        except (OSError, asyncio.TimeoutError):
            return False


class Caller:
    """Sends requests, each with its own identifier."""

    def __init__(self, record):
        self.record = record
        self.numbers = itertools.count(1)
        self.answers = {}

    async def send(self, daemon, method, path, body=b"", deadline_ms=1500, note=""):
        """The status of the answer; 0 if the connection ended without one."""
        attempt = f"{next(self.numbers):016x}"
        text = (f"{method} {path} HTTP/1.1\r\nHost: {HOST}\r\nEndivejunction-Attempt-Id: {attempt}\r\n"
                f"Endivejunction-Deadline-Ms: {deadline_ms}\r\nAuthorization: Token {KEY}\r\n")
        text += f"Content-Length: {len(body)}\r\n" if body else ""
        self.record.line(f"{attempt} sent to {daemon.name}: {method} {path} {note}".rstrip())
        status, message = 0, None
        try:
            reader, writer = await asyncio.wait_for(asyncio.open_connection("127.0.0.1", daemon.port), 1)
            writer.write(text.encode() + b"\r\n" + body)
            message = await asyncio.wait_for(read_message(reader), deadline_ms / 1000 + 1)
            writer.close()
        except (OSError, asyncio.TimeoutError):
            pass
        if message is not None:
            status = int(message.start.split(" ")[1])
        signature = "" if message is None else message.field("Endivejunction-Response-Signature")
        self.record.line(f"{attempt} answered {status} {signature}".rstrip())
        self.answers[attempt] = status
        return attempt, status


def configuration(routes, services, version=7):
    return json.dumps({"version": version, "routes": routes, "services": services,
                       "limits": {"maxHeaderBytes": 16384, "maxBodyBytes": 4194304, "headerTimeoutMs": 3000,
                                  "idleTimeoutMs": 15000},
                       "tenants": [{"name": TENANT, "apiKeys": [KEY], "priority": 1}]}).encode()


def route(name, prefix, kind, service, attempts, timeout_ms=1500, target_ms=150):
    return {"name": name, "host": HOST, "prefix": prefix, "kind": kind, "timeoutMs": timeout_ms,
            "targetLatencyMs": target_ms, "priority": 2, "service": service, "maxAttempts": attempts,
            "public": False, "sticky": False, "resumable": False}


def service(name, connections=110):
    return {"name": name, "healthPath": "/healthz", "maxConnections": connections, "protocol": "h1", "tls": False}


async def until_ready(daemons, within_s=15):
    end = now() + within_s
    while now() < end:
        if all([await one.ready() for one in daemons]):
            return True
        await asyncio.sleep(0.1)
    return False


def run_case(folder, scenario):
    """Runs `scenario(record, folder, daemons)`, ends all processes that were started, and exits."""
    record = Record(os.path.join(folder, "record.txt"))
    daemons = []
    signal.signal(signal.SIGTERM, lambda *_: sys.exit(2))
    with tempfile.TemporaryDirectory() as temporary:
        try:
            if os.access(PROGRAM, os.X_OK):
                code, text = asyncio.run(asyncio.wait_for(scenario(record, temporary, daemons), 115))
            else:
                code, text = 2, "target/bin/endivejunction is missing"
        except asyncio.TimeoutError:
            code, text = 2, "the case took too long"
        except (Exception, SystemExit) as fault:  # A fault of the case itself, or its end from outside.
            code, text = 2, f"{type(fault).__name__}: {fault}"
        finally:
            for one in daemons:
                one.signal(signal.SIGCONT)
                one.signal(signal.SIGKILL)
                if one.process is not None:
                    one.process.wait()
        if os.environ.get("KEEP_LOGS"):
            subprocess.run(["cp", "-r", temporary, os.environ["KEEP_LOGS"]], check=False)
    record.line(text)
    record.line({0: "held", 1: "BROKEN", 2: "could not run"}[code])
    record.close()
    print(text)
    # Connections that are still open complain that their loop has ended.
    sys.unraisablehook = lambda _: None
    sys.exit(code)
