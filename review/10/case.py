"""LOST: the settings shorten graceS before a planned stop."""

import asyncio
import itertools
import os
import signal
import sys

HERE = os.path.dirname(os.path.abspath(__file__))
sys.path.insert(0, os.path.join(os.path.dirname(HERE), "support-2"))

import fleet  # noqa: E402

TROUBLE = os.environ.get("TROUBLE", "1") != "0"
GRACE_S = 4 if TROUBLE else fleet.BOUNDS["graceS"]
# One zone with three daemons, of which two are stopped: fewer than half are in rotation, so that the platform goes on
# using all of them.
STOPPED = 2
WORK_S = 0.6
REQUESTS_PER_S = 30


class Run:
    """What callers and workers saw of one request."""

    def __init__(self, daemon):
        self.daemon = daemon
        self.sent = fleet.now()
        self.ended = 0.0
        self.status = 0


async def traffic(caller, daemons, until, runs):
    tasks = []

    async def send(one):
        run = Run(one)
        attempt, run.status = await caller.send(one, "POST", "/book/2f", b"{}")
        run.ended = fleet.now()
        runs[attempt] = run

    for count in itertools.count():
        if until.is_set():
            break
        one = daemons[count % len(daemons)]
        if one.process.poll() is None:
            tasks.append(asyncio.create_task(send(one)))
        await asyncio.sleep(1 / REQUESTS_PER_S)
    await asyncio.gather(*tasks)


async def scenario(record, folder, daemons):
    store = fleet.Store(record)
    await store.start()
    store.put("op/config", fleet.configuration(
        [fleet.route("r-book", "/book/", "non_idempotent", "booking", 1)], [fleet.service("booking")]))
    workers = [fleet.Worker(record, store, "booking", "zone-a", slots=20, work_s=WORK_S) for _ in range(3)]
    for one in workers:
        await one.start()
    for number in range(3):
        daemons.append(fleet.Daemon(record, folder, f"edge-{number + 1}", "zone-a", store.port))
        daemons[-1].start()
    if not await fleet.until_ready(daemons):
        return 2, "the daemons were not ready in time"
    caller = fleet.Caller(record)
    stop, runs = asyncio.Event(), {}
    running = asyncio.create_task(traffic(caller, daemons, stop, runs))
    await asyncio.sleep(2)
    if TROUBLE:
        for one in daemons:
            one.change_settings(bounds__graceS=GRACE_S)
    await asyncio.sleep(6)
    stopped = daemons[:STOPPED]
    began = fleet.now()
    for one in stopped:
        record.line(f"daemon {one.name}: SIGTERM")
        one.signal(signal.SIGTERM)
    while fleet.now() < began + GRACE_S and any(one.process.poll() is None for one in stopped):
        await asyncio.sleep(0.02)
    for one in stopped:
        if one.process.poll() is None:
            record.line(f"daemon {one.name}: SIGKILL")
            one.kill()
    await asyncio.sleep(2)
    stop.set()
    await running
    arrived = {attempt: at for one in workers for at, attempt, _ in one.arrivals}
    lost = []
    for attempt, run in runs.items():
        if run.daemon not in stopped or run.status != 0 or attempt not in arrived:
            continue
        # A request that a worker was still at work on in the last sixth of graceS isn't counted if it was sent no
        # later than 3 s after the SIGTERM.
        excused = run.sent <= began + 3 and arrived[attempt] + WORK_S >= began + GRACE_S * 5 / 6
        record.line(f"{attempt}, sent {run.sent - began:.3f} s after the SIGTERM and passed on {arrived[attempt] - began:.3f}"
                    f" s after it, had no answer{' (excused)' if excused else ''}")
        if not excused:
            lost.append(attempt)
    after = sum(1 for run in runs.values() if run.daemon in stopped and run.sent > began)
    text = (f"graceS {GRACE_S}: {after} requests were sent to the stopped daemons after the SIGTERM; {len(lost)} were "
            f"passed on to a worker and had no answer")
    return (1 if lost else 0), text


fleet.run_case(HERE, scenario)
