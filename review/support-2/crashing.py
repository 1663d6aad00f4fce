"""A request that crashes each worker that begins to run it comes again, beside usual traffic.

The check is that of RULES.md, BUDGET: such a request reaches workers in three retries at most that machines in touch
send later than contactMs after it has crashed the third worker.
"""

import asyncio
import itertools
import socket

import fleet

ZONES = ("zone-a", "zone-b", "zone-c")
IN_TOUCH_S = fleet.BOUNDS["contactMs"] / 1000
MOST_RETRIES = 3
CRASHING = "/book/crash"
# The crashing request comes again after this pause.
AGAIN_S = 4.0
END_AT_S = 70.0
BACK_AFTER_S = 2.0
# A process that is killed is restarted after a short delay.
RESTART_S = 0.3
REQUESTS_PER_S = 60


class DarkPort:
    """A port that neither accepts nor refuses connections, like that of a machine without power."""

    def __init__(self, port):
        self.listener = socket.socket()
        self.listener.setsockopt(socket.SOL_SOCKET, socket.SO_REUSEADDR, 1)
        self.listener.bind(("127.0.0.1", port))
        self.listener.listen(0)
        self.fillers = []
        for _ in range(4):  # The queue of new connections is full from then on.
            one = socket.socket()
            one.setblocking(False)
            one.connect_ex(("127.0.0.1", port))
            self.fillers.append(one)

    def close(self):
        for one in (self.listener, *self.fillers):
            one.close()


class Crashes:
    """Workers that begin to run the request crash, and are back after some seconds."""

    def __init__(self, dark):
        self.dark = dark
        self.at = []

    def on_run(self, worker, message):
        if CRASHING not in message.start:
            return False
        self.at.append(fleet.now())
        if self.dark:
            worker.fall_silent()
            asyncio.get_running_loop().create_task(self.go_dark(worker))
        else:
            worker.crash()
            asyncio.get_running_loop().call_later(
                BACK_AFTER_S, lambda: asyncio.get_running_loop().create_task(worker.start()))
        return True

    async def go_dark(self, worker):
        """Its connections fall silent and new ones hang; it comes back at another port."""
        port = DarkPort(worker.port)
        worker.port = fleet.free_port()
        await asyncio.sleep(BACK_AFTER_S)
        await worker.start()
        await asyncio.sleep(BACK_AFTER_S)
        port.close()
        worker.close_silent()


async def traffic(caller, daemons, until):
    tasks = []
    for count in itertools.count():
        if until.is_set():
            break
        one = daemons[count % len(daemons)]
        body = f'{{"number":{count}}}'.encode()
        tasks.append(asyncio.create_task(caller.send(one, "POST", "/book/2f", body)))
        await asyncio.sleep(1 / REQUESTS_PER_S)
    await asyncio.gather(*tasks)


async def play(record, folder, daemons, dark=False, kill_at_s=None):
    """`dark`: the workers go dark as they crash. `kill_at_s`: when all daemons are killed at once."""
    store = fleet.Store(record)
    await store.start()
    store.put("op/config", fleet.configuration(
        [fleet.route("r-book", "/book/", "non_idempotent", "booking", 1)], [fleet.service("booking")]))
    crashes = Crashes(dark)
    workers = [fleet.Worker(record, store, "booking", zone, slots=6, work_s=0.1) for zone in ZONES]
    for one in workers:
        one.on_run = crashes.on_run
        await one.start()
    for number, zone in enumerate(ZONES):
        daemons.append(fleet.Daemon(record, folder, f"edge-{number + 1}", zone, store.port))
        daemons[-1].start()
    if not await fleet.until_ready(daemons):
        return 2, "the daemons were not ready in time"
    caller = fleet.Caller(record)
    stop = asyncio.Event()
    running = asyncio.create_task(traffic(caller, daemons, stop))
    await asyncio.sleep(4)
    began = fleet.now()
    killed = False
    sends = []  # (time, seconds since the machine's start, crashes that it caused, status)
    for count in itertools.count():
        if fleet.now() - began > END_AT_S:
            break
        if kill_at_s is not None and not killed and fleet.now() - began > kill_at_s:
            killed = True
            for one in daemons:
                one.kill()
            await asyncio.sleep(RESTART_S)
            for one in daemons:
                one.start()
            await asyncio.sleep(AGAIN_S - RESTART_S)
        one = daemons[count % len(daemons)]
        at, before = fleet.now(), len(crashes.at)
        _, status = await caller.send(one, "POST", CRASHING, b"{}", note="(crashes workers)")
        await asyncio.sleep(0.2)
        sends.append((at, at - one.started, len(crashes.at) - before, status))
        await asyncio.sleep(max(at + AGAIN_S - fleet.now(), 0))
    stop.set()
    await running
    if len(crashes.at) < 3:
        return 2, "fewer than three workers crashed"
    limit = crashes.at[2] + IN_TOUCH_S
    counted = [one for one in sends if one[0] > limit and one[1] > IN_TOUCH_S and one[2] > 0]
    for at, since_start, caused, status in sends:
        record.line(f"sent: answered {status}, {caused} workers crashed, {since_start:.1f} s after the machine's start, "
                    f"{at - crashes.at[2]:+.1f} s after the third crash", at)
    text = (f"{len(sends)} times the request was sent, {len(crashes.at)} workers crashed; {len(counted)} retries "
            f"reached workers later than contactMs after the third crash, sent by machines in touch")
    return (1 if len(counted) > MOST_RETRIES else 0), text

