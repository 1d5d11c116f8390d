"""A job whose tasks work only together, while one runner after the other crashes and comes back."""

import asyncio
import pathlib
import sys

sys.path.insert(0, str(pathlib.Path(__file__).resolve().parent.parent))
import standin

RUNNERS = 8
CRASHES = 5
# More than the crashes, so that even a run which is lost with its runner leaves some.
ATTEMPTS = 6
FIRST_CRASH_S = 3.0
# From one crash to the next. Each crash takes one of eight runners, so one eighth of the service.
INTERVAL_S = 5.0
DOWN_S = 1.5
JOB = "00000000000000a1"
# One task fills more than half of a runner, so that the job has a task on each.
STEP = {"count": RUNNERS, "cpu": 9000, "memMb": 4096, "estimateMs": 8000, "gang": True,
        "work_s": 8.0}


def cell(folder):
    return standin.Cell(folder, entries=3, runners=RUNNERS, attempts=ATTEMPTS)


async def play(cell):
    if not await cell.submit(JOB, [STEP]):
        raise standin.Unable("the job was not accepted")
    await cell.until(lambda: len(cell.starts_of(JOB)) >= RUNNERS, 10, "all tasks have begun")
    await asyncio.sleep(FIRST_CRASH_S)
    for index in range(CRASHES if cell.trouble else 0):
        runner = cell.runners[index % RUNNERS]
        runner.crash()
        await asyncio.sleep(DOWN_S)
        await runner.start()
        await asyncio.sleep(INTERVAL_S - DOWN_S)
    # Time for all of the work, and for the leases of the last crash.
    state = "unanswered"
    for _ in range(30):
        state = await cell.state(JOB)
        if state in ("completed", "failed", "cancelled", "gone"):
            break
        await asyncio.sleep(1.0)
    failed = {end[3] for end in cell.ends_of(JOB, "failed")}
    cell.record(f"state {state}; runs that ended failed: {len(failed)}; attempts of the queue: {cell.attempts}")
    if state in ("failed", "cancelled", "gone") and len(failed) < cell.attempts:
        return [f"LOST: nobody cancelled job {JOB}, {len(failed)} of its runs ended failed, and it is shown as {state}"]
    if state != "completed":
        raise standin.Unable(f"the job is {state} at the end")
    return []


if __name__ == "__main__":
    sys.exit(standin.main(sys.modules[__name__], pathlib.Path(__file__).resolve().parent))
