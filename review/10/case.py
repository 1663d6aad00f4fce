"""CONFIG: entries of another writer name the addresses of sound workers."""

import asyncio
import json
import os
import sys
import time

HERE = os.path.dirname(os.path.abspath(__file__))
sys.path.insert(0, os.path.join(os.path.dirname(HERE), "support-2"))

import fleet  # noqa: E402

TROUBLE = os.environ.get("TROUBLE", "1") != "0"
ZONES = ("zone-a", "zone-b", "zone-c")
FIRST, LATER = "/first/", "/later/"
# The calm time before what is counted; longer than contactMs and configApplyMs.
CALM_S = 5
COUNTED_S = 10
REQUESTS_PER_S = 20


def put_configuration(store, version, with_later_route):
    routes = [fleet.route("r-first", FIRST, "idempotent", "first", 2)]
    if with_later_route:
        routes.append(fleet.route("r-later", LATER, "idempotent", "later", 2))
    store.put("op/config", fleet.configuration(routes, [fleet.service("first"), fleet.service("later")], version))


def write_foreign_entries(record, store, workers):
    """Entries of a service that no configuration names, each at the address of a worker."""
    for number, one in enumerate(workers):
        entry = {"service": "later-before", "address": f"127.0.0.1:{one.port}", "zone": one.zone, "version": "v0",
                 "slots": one.slots, "state": "ready", "coldRemainingMs": 0, "sequence": 1,
                 "born": int(time.time() * 1000)}
        store.put(f"servers/before-{number}", json.dumps(entry).encode())
        record.line(f"another writer writes servers/before-{number}: {json.dumps(entry)}")


async def traffic(caller, daemons, end, served):
    tasks = []

    async def send(one, prefix):
        _, status = await caller.send(one, "GET", prefix + "2f")
        served[prefix].append(status == 200)

    count = 0
    while fleet.now() < end:
        one = daemons[count % len(daemons)]
        tasks += [asyncio.create_task(send(one, prefix)) for prefix in (FIRST, LATER)]
        count += 1
        await asyncio.sleep(1 / REQUESTS_PER_S)
    await asyncio.gather(*tasks)


async def scenario(record, folder, daemons):
    store = fleet.Store(record)
    await store.start()
    put_configuration(store, 7, False)
    workers = [fleet.Worker(record, store, name, zone) for name in ("first", "later") for zone in ZONES]
    for one in workers:
        await one.start()
    for number, zone in enumerate(ZONES):
        daemons.append(fleet.Daemon(record, folder, f"edge-{number + 1}", zone, store.port))
        daemons[-1].start()
    if not await fleet.until_ready(daemons):
        return 2, "the daemons were not ready in time"
    await asyncio.sleep(CALM_S)
    put_configuration(store, 9, True)
    record.line("version 9 adds a route")
    await asyncio.sleep(CALM_S)
    caller = fleet.Caller(record)
    before = {FIRST: [], LATER: []}
    await traffic(caller, daemons, fleet.now() + COUNTED_S / 2, before)
    if TROUBLE:
        write_foreign_entries(record, store, [one for one in workers if one.service == "later"])
    await asyncio.sleep(CALM_S)
    served = {FIRST: [], LATER: []}
    await traffic(caller, daemons, fleet.now() + COUNTED_S, served)
    shares = {prefix: sum(all_) / len(all_) for prefix, all_ in served.items()}
    text = (f"served: {sum(served[FIRST])} of {len(served[FIRST])} requests on the first route, {sum(served[LATER])} of "
            f"{len(served[LATER])} on the route that was added later (before: {sum(before[FIRST])} of "
            f"{len(before[FIRST])}, {sum(before[LATER])} of {len(before[LATER])})")
    broken = len(served[LATER]) >= 20 and shares[LATER] < shares[FIRST] / 4
    return (1 if broken else 0), text


fleet.run_case(HERE, scenario)
