"""A gang whose runners crash now and then is given up, although no run of it has failed."""

import asyncio
import os
import random
import sys

FOLDER = os.path.dirname(os.path.abspath(__file__))
sys.path.insert(0, os.path.dirname(FOLDER))

from cell import Cell, CannotRun, Runner, job_id, main

RUNNERS = 8
ATTEMPTS = 4
WORK_S = 8.0
CRASHES = 6
CRASH_INTERVAL_S = 4.0
DOWN_S = 1.0
# A gang of 24 tasks of 4.5 cores needs all eight runners with 16 cores.
GANG = {"count": 24, "cpu": 4500, "memMb": 17000, "estimateMs": 8000, "gang": True, "work_s": WORK_S}


async def crash_now_and_then(cell):
    """One runner of eight, drawn at random, is down for a second, every four seconds."""
    for _ in range(CRASHES):
        await asyncio.sleep(CRASH_INTERVAL_S - DOWN_S)
        runner = random.choice(cell.runners)
        runner.crash()
        await asyncio.sleep(DOWN_S)
        await runner.start()


async def case(record, trouble, cells):
    cell = Cell(record, queues={"desk": {"attempts": ATTEMPTS, "priority": 1}})
    cells.append(cell)
    for index in range(RUNNERS):
        runner = Runner(cell, f"i-{index + 1:08x}", rack=f"r1-{index // 4 + 1}")
        cell.runners.append(runner)
        await runner.start()
    await cell.open()
    await asyncio.sleep(2)
    job = job_id()
    if not await cell.submit("desk", job, [GANG]):
        raise CannotRun("the job was not accepted")
    await cell.until(lambda: len([run for run in cell.runs.all if run["ended"] is None]) == GANG["count"],
                     10, "the gang did not start")
    crashes = asyncio.create_task(crash_now_and_then(cell)) if trouble else None
    state = None
    for _ in range(70):
        await asyncio.sleep(1)
        state = await cell.state("desk", job)
        if state in ("completed", "failed", "cancelled"):
            break
    if crashes:
        crashes.cancel()
    failed = {run["run"] for run in cell.runs.all if run["how"] == "failed"}
    record.write("shown as", state, "after", len(failed), "runs that ended failed, of", ATTEMPTS, "attempts")
    if state == "failed" and len(failed) < ATTEMPTS:
        return f"LOST: the job is shown as failed after {len(failed)} runs that ended failed; it has {ATTEMPTS} attempts"
    if state != "completed":
        raise CannotRun(f"the job is shown as {state}")
    return None


main(FOLDER, case)
