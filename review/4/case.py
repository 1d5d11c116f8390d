"""A version of the manifest gives a queue another name, at the same host and prefix."""

import asyncio
import pathlib
import sys

sys.path.insert(0, str(pathlib.Path(__file__).resolve().parent.parent))
import standin

WATCHED, CANCELLED = "00000000000000b1", "00000000000000b2"
STEP = {"count": 4, "cpu": 2000, "memMb": 1024, "estimateMs": 30000, "work_s": 30.0}
# The version is in force after configApplyMs, 2.5 s.
APPLY_S = 6.0


def cell(folder):
    return standin.Cell(folder, entries=3, runners=4)


async def play(cell):
    for job in (WATCHED, CANCELLED):
        if not await cell.submit(job, [STEP]):
            raise standin.Unable("a job was not accepted")
    await cell.until(lambda: len(cell.starts) >= 8, 10, "all tasks have begun")
    await asyncio.sleep(4.0)
    if cell.trouble:
        manifest = cell.manifest(2)
        manifest["routes"][0]["name"] = "r-filings"
        cell.store.put("keyed.op", "config", manifest)
        cell.record("operator writes version 2: route r-jobs removed, route r-filings added at its host and prefix")
    await asyncio.sleep(APPLY_S)
    breaches = []
    for entry in cell.entries:
        status, _ = await cell.request("GET", WATCHED, entry=entry)
        if status == 410:
            breaches.append(f"LOST: {entry.name} answers 410 for job {WATCHED}, which was accepted and not cancelled")
        elif status != 200:
            raise standin.Unable(f"GET is answered with {status}")
    status, _ = await cell.request("DELETE", CANCELLED)
    if status not in (200, 410):
        raise standin.Unable(f"DELETE is answered with {status}")
    bound = (standin.BOUNDS["cancel_ms"] + standin.BOUNDS["stopMs"]) / 1000
    await asyncio.sleep(bound + 1.0)
    running = [run.task for runner in cell.runners for run in runner.runs.values() if run.job == CANCELLED]
    cell.record(f"{bound + 1.0} s after the answer to DELETE, {len(running)} tasks of job {CANCELLED} run")
    if running:
        breaches.append(f"UNASKED: DELETE of job {CANCELLED} was answered with {status}, and {len(running)} of its "
                        f"tasks run on over {bound} s later")
    return breaches


if __name__ == "__main__":
    sys.exit(standin.main(sys.modules[__name__], pathlib.Path(__file__).resolve().parent))
