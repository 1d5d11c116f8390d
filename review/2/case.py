"""All open channels to the store and to the runners go silent at one moment, and new ones work."""

import asyncio
import pathlib
import sys
import time

sys.path.insert(0, str(pathlib.Path(__file__).resolve().parent.parent))
import standin

RUNNERS = 8
LASTING = "00000000000000f1"
LASTING_STEP = {"count": 8, "cpu": 2000, "memMb": 1024, "estimateMs": 1000, "longRunning": True, "work_s": 1.0,
                "maxPerServer": 1}
# Ordinary work before: jobs of 60 small tasks, as wide as the widest of the installation.
WIDE_JOBS = ["%016x" % (0xf10 + index) for index in range(5)]
WIDE_STEP = {"count": 60, "cpu": 400, "memMb": 256, "estimateMs": 500, "work_s": 0.5}
# Single small tasks, one job a second, from 1 s after the event on.
SMALL_JOBS = ["%016x" % (0xf30 + index) for index in range(20)]
SMALL_STEP = {"count": 1, "cpu": 1000, "memMb": 512, "estimateMs": 500, "work_s": 0.5}
# Any job may have nothing running for 3 s while its turn has come, if these and the 4 s before are calm.
CALM_S, BOUND_S = 4.0, 3.0
# A task that lasts has to run again by then: 6 s after its last run, and 3 s more without one.
LASTING_BOUND_S = 9.0


def cell(folder):
    return standin.Cell(folder, entries=3, runners=RUNNERS)


async def play(cell):
    if not await cell.submit(LASTING, [LASTING_STEP]):
        raise standin.Unable("the lasting job was not accepted")
    await asyncio.gather(*(cell.submit(job, [WIDE_STEP]) for job in WIDE_JOBS))
    await asyncio.sleep(8.0)
    if cell.trouble:
        runners = [runner.server.silence() for runner in cell.runners]
        cell.record(f"open channels go silent: {cell.store.server.silence()} to the store, {runners} to the runners")
    silent_at = time.monotonic()
    accepted = {}

    async def submit(job):
        if await cell.submit(job, [SMALL_STEP], tries=1):
            accepted[job] = time.monotonic()

    clients = []
    for job in SMALL_JOBS:
        await asyncio.sleep(1.0)
        clients.append(asyncio.create_task(submit(job)))
    await asyncio.gather(*clients)
    await asyncio.sleep(12.0)
    if not accepted:
        raise standin.Unable("no job was accepted")
    return judge_jobs(cell, accepted, silent_at) + judge_lasting(cell)


def judge_jobs(cell, accepted, silent_at):
    breaches, now = [], time.monotonic()
    for job, at in accepted.items():
        began = min((start[0] for start in cell.starts_of(job)), default=now)
        calm_gap = began - max(at, silent_at + CALM_S)
        cell.record(f"job {job} began {began - at:.1f} s after its acceptance, {began - silent_at:.1f} s after the event")
        if calm_gap > BOUND_S:
            breaches.append(f"LOST: job {job} had nothing running for {calm_gap:.1f} s of calm, beside free runners")
    return breaches


def judge_lasting(cell):
    breaches, now = [], time.monotonic()
    for index in range(LASTING_STEP["count"]):
        task = f"{LASTING}.0.0.{index}"
        starts = [at for at, _, name, _, _ in cell.starts if name == task]
        for end, how in [(at, how) for at, _, name, _, how in cell.ends if name == task]:
            gap = min((start for start in starts if start > end), default=now) - end
            cell.record(f"task {task}, which lasts, ended {how} and had no run for {gap:.1f} s")
            if gap > LASTING_BOUND_S:
                breaches.append(f"LOST: task {task}, which lasts, had no run for {gap:.1f} s beside free runners")
    return breaches


if __name__ == "__main__":
    sys.exit(standin.main(sys.modules[__name__], pathlib.Path(__file__).resolve().parent))
