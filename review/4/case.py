"""A late status report reaches a node that was restarted after its endpoint's leave was confirmed."""
import asyncio
import pathlib
import signal
import sys
import time

FOLDER = pathlib.Path(__file__).resolve().parent
sys.path.insert(0, str(FOLDER.parent / "common"))
from standins import *  # noqa: E402,F403

SERVICE, OTHER = "huvo11a", "wuno96b"
HOST_NAME = "hulo84.example"
DRAIN_S = 2.0
STABLE_S = 3.0


async def body(record):
    fleet = Fleet(record)
    upstreams = []
    try:
        await fleet.store.start()
        fleet.store.operator_writes("op/config", config(
            7, [route("r-1", HOST_NAME, "/leny950/", SERVICE, "non_idempotent")], [SERVICE, OTHER]))
        nodes = [Node(fleet, "node-1", SERVICE), Node(fleet, "node-2", SERVICE),
                 Node(fleet, "node-3", OTHER)]
        for number, node in enumerate(nodes):
            node.start()
            upstream = Upstream(record, node.values["service"], node.app, f"i-{number}")
            upstreams.append(upstream)
            await upstream.start()
            upstream.start_beating(node.control)
        for node in nodes:
            await wait_until(f"{node.name} ready", node.is_ready, 15)
        await asyncio.sleep(4)
        entry, gate, leaving = nodes[2], nodes[0], upstreams[0]
        outcomes = []

        async def send(number):
            request = f"hold-{number}"
            status, _, answer = await call(
                (HOST, entry.outbound), "POST", "/leny950/2f", b"{}",
                {"Host": HOST_NAME, "X-Request-Id": request, "X-Deadline-Ms": "4000"})
            ran = [u.id for u in upstreams if any(r == request for _, r in u.runs)]
            record(f"sent {request} to {entry.name}: {status} {answer[:60]} run by {','.join(ran)}")
            outcomes.append((request, status))

        for number in range(20):
            await send(number)
        if not leaving.runs:
            raise CannotRun("the endpoint that shall leave got no request")

        # The endpoint sends one more status report, which is held up on its way for some seconds,
        # and then leaves as some endpoints do: DELETE first, then it serves on and ends.
        leaving.stop_beating()
        late = leaving.status_report()
        record(f"endpoint {leaving.id} sends report {late['sequence']} (state ready), which is delayed")
        status, _, _ = await call((HOST, gate.control), "DELETE", f"/v1/instances/{leaving.id}")
        if status != 200:
            raise CannotRun(f"the leave was answered with {status}")
        confirmed = time.monotonic()
        record(f"node {gate.name} confirmed that {leaving.id} leaves")
        await asyncio.sleep(0.3)
        if TROUBLE:
            # The node beside it is stopped and started again on its own.
            gate.signal(signal.SIGKILL)
            await gate.ended(5)
            await asyncio.sleep(0.5)
            gate.start()
            await wait_until("the restarted node ready", gate.is_ready, 10)
        restarted = time.monotonic()
        # stableWindow after its start the node is in touch again.
        await asyncio.sleep(STABLE_S + 0.2)
        status = await leaving.send_report(gate.control, late)
        record(f"the delayed report arrives at {gate.name}: {status}"
               f" ({time.monotonic() - confirmed:.1f} s after the confirmation)")
        await asyncio.sleep(0.7)
        # Requests that a consumer may not repeat, while the endpoint still serves, then its end: it
        # has told of its leave many seconds ago.
        leaving.work_s = 1.0
        tasks = [asyncio.create_task(send(number)) for number in range(100, 124)]
        await asyncio.sleep(0.5)
        running = {request for at, request in leaving.runs if at > confirmed + DRAIN_S}
        record(f"endpoint {leaving.id} ends {time.monotonic() - confirmed:.1f} s after the"
               f" confirmation, with {len(running)} requests running")
        leaving.stop()
        for task in tasks:
            await task
        lost = [request for request, status in outcomes if request in running and status != 200]
        late_runs = [(at - confirmed, request) for at, request in leaving.runs
                     if at > confirmed + DRAIN_S]
        record(f"requests that reached {leaving.id} later than drain after the confirmation:"
               f" {len(late_runs)}, of these without their answer: {len(lost)}")
        if late_runs:
            return (f"DRAIN: {len(late_runs)} requests reached {leaving.id} later than {DRAIN_S} s"
                    f" after its leave was confirmed, the first {late_runs[0][0]:.1f} s after it;"
                    f" {len(lost)} were lost when it ended")
        return ""
    finally:
        for upstream in upstreams:
            upstream.stop_beating()
            upstream.stop()
        fleet.stop()
        fleet.store.stop()


sys.exit(run_case(FOLDER, body))
