"""A delayed start reaches the next lifetime of a runner, after the task was started elsewhere."""

import asyncio
import os
import sys

FOLDER = os.path.dirname(os.path.abspath(__file__))
sys.path.insert(0, os.path.dirname(FOLDER))

from cell import Cell, CannotRun, Path, Runner, job_id, main

RUNNERS = 8
DELAY_S = 7.0
CRASH_AFTER_S = 4.0
DOWN_S = 1.0
STEP = {"count": 1, "cpu": 2000, "memMb": 1000, "estimateMs": 20000, "work_s": 20.0}


async def case(record, trouble, cells):
    cell = Cell(record)
    cells.append(cell)
    delayed = asyncio.get_running_loop().create_future()

    def hook(runner):
        def decide(request):
            if trouble and request.path == "/run-start" and not delayed.done():
                record.write("network delays the start to", runner.name, "by", DELAY_S, "s:", request.body.decode())
                delayed.set_result(runner)
                return DELAY_S
            return "pass"
        return decide

    for index in range(RUNNERS):
        runner = Runner(cell, f"i-{index + 1:08x}", rack=f"r1-{index // 4 + 1}")
        cell.runners.append(runner)
        await Path(cell, runner, hook(runner)).open()
        await runner.start()
    await cell.open()
    await asyncio.sleep(2)
    job = job_id()
    if not await cell.submit("desk", job, [STEP]):
        raise CannotRun("the job was not accepted")
    if trouble:
        runner = await asyncio.wait_for(delayed, 10)
        await asyncio.sleep(CRASH_AFTER_S)
        runner.crash()
        await asyncio.sleep(DOWN_S)
        await runner.start()
        await asyncio.sleep(DELAY_S - CRASH_AFTER_S - DOWN_S + 2)
    state = None
    for _ in range(40):
        await asyncio.sleep(1)
        state = await cell.state("desk", job)
        if state in ("completed", "failed", "cancelled"):
            break
    overlap = cell.runs.find_overlap()
    if overlap:
        first, second = overlap
        return (f"TWICE: {first['task']} ran on {first['runner']} from {first['begun']:.3f} to {first['ended']} "
                f"and on {second['runner']} from {second['begun']:.3f} to {second['ended']}")
    if state != "completed":
        raise CannotRun(f"the job is shown as {state}")
    return None


main(FOLDER, case)
