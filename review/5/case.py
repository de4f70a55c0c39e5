"""A node gets SIGTERM while its callers' requests run at endpoints that need a few seconds."""
import asyncio
import pathlib
import signal
import sys
import time

FOLDER = pathlib.Path(__file__).resolve().parent
sys.path.insert(0, str(FOLDER.parent / "common"))
from standins import *  # noqa: E402,F403

SERVICE, OTHER = "prenota", "vetrina"
HOST_NAME = "hulo84.example"
GRACE_S = 10.0
# The longest work of a frame-hold is 2.6 s in the site file, and the slowest endpoints of its service
# (speed 0.5) need twice as long; the route's timeout is 4 s.
WORK_S = 3.7
BOUNDS = {"stableWindow": 4000, "ack": 5000, "catchUp": 6, "drain": 3000, "grace": 10,
          "configApply": 3000, "maxStretch": 6000, "budgetSlack": 630}


async def body(record):
    fleet = Fleet(record)
    upstreams = []
    try:
        await fleet.store.start()
        fleet.store.operator_writes("op/config", config(
            7, [route("r-1", HOST_NAME, "/leny950/", SERVICE, "non_idempotent", 4000, 2, 1200)],
            [SERVICE, OTHER]))
        nodes = [Node(fleet, "node-1", SERVICE, BOUNDS), Node(fleet, "node-2", SERVICE, BOUNDS),
                 Node(fleet, "node-3", OTHER, BOUNDS)]
        for number, node in enumerate(nodes):
            node.start()
            upstream = Upstream(record, node.values["service"], node.app, f"i-{number}", slots=8,
                                work_s=WORK_S)
            upstreams.append(upstream)
            await upstream.start()
            upstream.start_beating(node.control)
        for node in nodes:
            await wait_until(f"{node.name} ready", node.is_ready, 15)
        await asyncio.sleep(4.5)
        entry = nodes[2]
        results = []

        async def send(number, wait):
            await asyncio.sleep(wait)
            request = f"hold-{number}"
            sent = time.monotonic()
            status, headers, answer = await call(
                (HOST, entry.outbound), "POST", "/leny950/2f", b"{}",
                {"Host": HOST_NAME, "X-Request-Id": request, "X-Deadline-Ms": "8000"}, 9.0)
            whole = status == 200 and headers.get("x-server-stamp", "").endswith(request)
            ran = any(r == request for u in upstreams for _, r in u.runs)
            results.append((request, sent, time.monotonic(), status, whole, ran))
            record(f"{request} sent {sent - record.start:.2f} answered {status}"
                   f" after {time.monotonic() - sent:.2f} s whole={whole} ran={ran} {answer[:120]}")

        # The consumers on the machine send to it for two seconds more, until two questions for its
        # readiness have failed.
        tasks = [asyncio.create_task(send(number, 0.15 * number)) for number in range(16)]
        await asyncio.sleep(0.3)
        told = time.monotonic()
        if TROUBLE:
            entry.signal(signal.SIGTERM)
        for task in tasks:
            await task
        if TROUBLE:
            await entry.ended(told + GRACE_S + 1 - time.monotonic())
            record(f"{entry.name} ended {time.monotonic() - told:.2f} s after SIGTERM")
        # Counted: passed on to an endpoint and cut, or answered in its place, before the last sixth
        # of grace.
        lost = [r for r in results
                if r[5] and not r[4] and r[1] - told <= 3.0 and r[2] - told < GRACE_S * 5 / 6]
        if not any(r[4] for r in results):
            raise CannotRun("no request was served")
        if lost:
            return (f"LOST: {len(lost)} requests that ran at a sound endpoint were broken off after"
                    f" SIGTERM, the first {min(r[2] for r in lost) - told:.1f} s after it of"
                    f" {GRACE_S} s grace")
        return ""
    finally:
        for upstream in upstreams:
            upstream.stop_beating()
            upstream.stop()
        fleet.stop()
        fleet.store.stop()


sys.exit(run_case(FOLDER, body))
