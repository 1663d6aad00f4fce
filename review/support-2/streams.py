"""Engines whose answers are streams of events, and a caller of streams."""

import asyncio

import fleet

EVENTS = 20
EVENT_INTERVAL_S = 0.02


class Engine(fleet.Worker):
    """A model worker. `on_event` is told of each event made and may end the run; then it returns True."""

    on_event = None

    def chunk(self, text):
        return f"{len(text):x}\r\n{text}\r\n".encode()

    async def serve(self, reader, writer):
        self.connections.add(writer)
        me = self.id
        try:
            while me == self.id:
                message = await fleet.read_message(reader)
                if message is None or me != self.id or not await self.stream(message, writer):
                    break
        except (ConnectionError, OSError):
            pass
        finally:
            self.connections.discard(writer)
            writer.close()

    async def stream(self, message, writer):
        attempt = message.field("Endivejunction-Attempt-Id")
        if not message.start.startswith("POST "):
            writer.write(await self.answer(message))
            return True
        if message.field("Endivejunction-Expected-Instance") not in ("", self.id):
            writer.write(fleet.encode(421, [("Endivejunction-Attempt-Id", attempt),
                                            ("Endivejunction-Instance-Id", self.id),
                                            ("Endivejunction-Not-Executed", "1")], b""))
            return True
        me = self.id
        first = int(message.field("Last-Event-Id") or 0) + 1
        self.arrivals.append((fleet.now(), attempt, message.start))
        self.record.line(f"  {attempt} reaches {me}: from event {first}")
        self.running += 1
        try:
            writer.write((f"HTTP/1.1 200 OK\r\nContent-Type: text/event-stream\r\nTransfer-Encoding: chunked\r\n"
                          f"Endivejunction-Attempt-Id: {attempt}\r\n"
                          f"Endivejunction-Response-Signature: {me}.{attempt}\r\n\r\n").encode())
            for number in range(first, EVENTS + 1):
                await asyncio.sleep(EVENT_INTERVAL_S)
                if me != self.id or writer.is_closing():
                    return False
                writer.write(self.chunk(f"id: {number}\ndata: {attempt}.{number}\n\n"))
                await writer.drain()
                if self.on_event is not None and self.on_event(self, message, number - first + 1):
                    return False
            writer.write(b"0\r\n\r\n")
            await writer.drain()
            return True
        finally:
            self.running -= 1


def route(service):
    made = fleet.route("r-draft", "/draft/", "streaming", service, 5, timeout_ms=25000, target_ms=4500)
    made.update(sticky=True, resumable=True, gapAimMs=700)
    return made


def service(name):
    made = fleet.service(name, connections=370)
    made["engine"] = {"slots": 64, "kvTokens": 55000, "kvBytes": 163840, "linkMbps": 740000.0, "moves": False,
                      "backups": False, "stride": 6, "models": [{"name": "m"}]}
    return made


async def send(caller, daemon, body, part, note=""):
    """Sends a streamed request; returns its identifier, the status and the numbers of the events received."""
    attempt = f"{next(caller.numbers):016x}"
    caller.record.line(f"{attempt} sent to {daemon.name}: POST /draft/2f {note}".rstrip())
    status, numbers = 0, []
    text = (f"POST /draft/2f HTTP/1.1\r\nHost: {fleet.HOST}\r\nEndivejunction-Attempt-Id: {attempt}\r\n"
            f"Endivejunction-Deadline-Ms: 25000\r\nAuthorization: Token {fleet.KEY}\r\nEndivejunction-Model: m\r\n"
            f"Endivejunction-Token-Usage: 500,120\r\nEndivejunction-Prompt-Prefix: 5c1e07a2:200,{part}:300\r\n"
            f"Content-Length: {len(body)}\r\n\r\n")
    try:
        reader, writer = await asyncio.wait_for(asyncio.open_connection("127.0.0.1", daemon.port), 1)
        writer.write(text.encode() + body)
        message = await asyncio.wait_for(fleet.read_message(reader), 26)
        writer.close()
        if message is not None:
            status = int(message.start.split(" ")[1])
            numbers = [int(line[4:]) for line in message.body.decode().split("\n") if line.startswith("id: ")]
    except (OSError, asyncio.TimeoutError):
        pass
    caller.record.line(f"{attempt} answered {status}, {len(numbers)} events")
    caller.answers[attempt] = status
    return attempt, status, numbers
