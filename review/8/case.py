"""A route is removed whose prefix lies below that of another one; its jobs are then said not to exist, and a
cancel of one is acknowledged although its tasks run on."""

import asyncio
import os
import sys

FOLDER = os.path.dirname(os.path.abspath(__file__))
sys.path.insert(0, os.path.dirname(FOLDER))

from cell import Cell, CannotRun, Runner, job_id, main

RUNNERS = 8
CONFIG_APPLY_S = 2.5
VISIBLE_S = 3.0
CANCEL_S = 3.0
STOP_S = 0.4
STEP = {"count": 4, "cpu": 1000, "memMb": 1000, "estimateMs": 40000, "work_s": 40.0}
INNER = "desk/ab60"


async def case(record, trouble, cells):
    cell = Cell(record, queues={"desk": {"attempts": 4, "priority": 1}})
    cells.append(cell)
    for index in range(RUNNERS):
        runner = Runner(cell, f"i-{index + 1:08x}", rack=f"r1-{index // 4 + 1}")
        cell.runners.append(runner)
        await runner.start()
    whole = cell.manifest(1)
    inner = dict(whole["routes"][0], name="r-inner", pathPrefix=f"/{INNER}/")
    whole["routes"].append(inner)
    cell.manifest = lambda version: dict(whole, version=version)
    await cell.open()
    await asyncio.sleep(2)

    async def call(method, job, body=None):
        return await cell.call(method, "desk", f"ab60/{job}", body)

    watched, cancelled = job_id(), job_id()
    for job in (watched, cancelled):
        cell.runs.jobs[job] = {"steps": [STEP]}
        answer = await call("POST", job, cell.body(job, [STEP]))
        if not answer or answer[0] != 200:
            raise CannotRun("a job was not accepted")
    await asyncio.sleep(VISIBLE_S + 0.5)
    routes = [route for route in whole["routes"] if route is not inner or not trouble]
    cell.store.put("keyed.op", "config", dict(whole, version=2, routes=routes))
    record.write("operator writes version 2", "without the route of the jobs" if trouble else "with the same routes")
    await asyncio.sleep(CONFIG_APPLY_S + 1)
    seen = []
    for entry in cell.entries:
        answer = await cell.call("GET", "desk", f"ab60/{watched}", entry=entry)
        seen.append(answer[0] if answer else None)
    answer = await call("DELETE", cancelled)
    acknowledged = bool(answer) and (200 <= answer[0] < 300 or answer[0] == 410)
    await asyncio.sleep(CANCEL_S + STOP_S + 0.5)
    running = [run for run in cell.runs.all if run["task"].startswith(cancelled) and run["ended"] is None]
    record.write("GET of a running job:", *seen, "- DELETE of another one acknowledged:", acknowledged,
                 "- tasks of it that run on:", len(running))
    broken = []
    if 410 in seen:
        broken.append("LOST: a GET for an accepted job that nobody has cancelled is answered 410")
    if acknowledged and running:
        broken.append(f"UNASKED: {len(running)} tasks run on {CANCEL_S + STOP_S + 0.5:.1f} s after the cancel was acknowledged")
    return "; ".join(broken) or None


main(FOLDER, case)
