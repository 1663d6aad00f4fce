"""BUDGET: all daemons are killed at once after a request that crashes workers was recognised."""

import os
import sys

HERE = os.path.dirname(os.path.abspath(__file__))
sys.path.insert(0, os.path.join(os.path.dirname(HERE), "support-2"))

import crashing  # noqa: E402
import fleet  # noqa: E402

TROUBLE = os.environ.get("TROUBLE", "1") != "0"


async def scenario(record, folder, daemons):
    return await crashing.play(record, folder, daemons, kill_at_s=30.0 if TROUBLE else None)


fleet.run_case(HERE, scenario)
