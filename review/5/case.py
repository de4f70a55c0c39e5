"""A version number of the operator's passes a multiple of 2^26 between two changes."""
import asyncio
import pathlib
import sys

FOLDER = pathlib.Path(__file__).resolve().parent
sys.path.insert(0, str(FOLDER.parent / "common"))
from standins import *  # noqa: E402,F403

OLD, NEW = "huvo11a", "lovo22d"
HOST_NAME = "hulo84.example"
# The operator numbers its configurations by the time of day in ms: steps are uneven, all go up.
FIRST = 1796428800000
STEP_MS = 40_000_000  # about 11 hours between two changes
BEFORE_WRAP = (FIRST // 2**26 + 1) * 2**26 - STEP_MS // 2


async def body(record):
    fleet = Fleet(record)
    upstreams = []
    try:
        await fleet.store.start()
        version = BEFORE_WRAP
        services = [OLD, NEW]
        fleet.store.operator_writes(
            "op/config", config(version, [route("r-1", HOST_NAME, "/leny950/", OLD)], services))
        record(f"operator confirmed version {version}: /leny950/ goes to {OLD}")
        nodes = [Node(fleet, "node-1", OLD), Node(fleet, "node-2", NEW), Node(fleet, "node-3", OLD)]
        for number, node in enumerate(nodes):
            node.start()
            upstream = Upstream(record, node.values["service"], node.app, f"i-{number}")
            upstreams.append(upstream)
            await upstream.start()
            upstream.start_beating(node.control)
        for node in nodes:
            await wait_until(f"{node.name} ready", node.is_ready, 15)
        await asyncio.sleep(4)  # stableWindow after the start

        async def send(count, tag):
            seen = {OLD: 0, NEW: 0, "other": 0}
            for number in range(count):
                node = nodes[number % len(nodes)]
                request = f"{tag}-{number}"
                status, _, answer = await call(
                    (HOST, node.outbound), "GET", "/leny950/2f",
                    headers={"Host": HOST_NAME, "X-Request-Id": request, "X-Deadline-Ms": "1200"})
                ran = [u.service for u in upstreams if any(r == request for _, r in u.runs)]
                record(f"sent {request} to {node.name}: {status} run by {','.join(ran)}")
                seen[ran[0] if status == 200 and ran else "other"] += 1
            return seen

        before = await send(30, "before")
        if before[OLD] < 25:
            raise CannotRun(f"the first version is not served: {before}")
        # Without the disruption's point, the same change under a number that is 1 higher.
        version += STEP_MS if TROUBLE else 1
        fleet.store.operator_writes(
            "op/config", config(version, [route("r-1", HOST_NAME, "/leny950/", NEW)], services))
        record(f"operator confirmed version {version}: /leny950/ goes to {NEW}")
        await asyncio.sleep(2.0 + 5.0)  # configApply, and maxStretch on top of it
        after = await send(60, "after")
        record(f"before the change {before}, 7 s after it {after}")
        if after[OLD] > 0:
            return (f"CONFIG: {after[OLD]} of 60 requests sent later than configApply + maxStretch "
                    f"after the confirmation were run by the old service")
        if after[NEW] < 50:
            raise CannotRun(f"the new version is not served: {after}")
        return ""
    finally:
        for upstream in upstreams:
            upstream.stop_beating()
            upstream.stop()
        fleet.stop()
        fleet.store.stop()


sys.exit(run_case(FOLDER, body))
