"""Measures configuration spread on real processes: convergence, control bytes, CPU, memory, store load.

    python3 bench/spread.py BUILD_FOLDER --nodes 20 --changes 20

Prints one line of key=value pairs per phase: start, idle, change, churn, herd. All traffic uses
the loopback interface, and only processes started here are ended, by their ids. The nodes are assigned in
turn to seven data centres in three regions.
"""
import argparse
import os
import pathlib
import random
import signal
import sys
import time

sys.path.insert(0, str(pathlib.Path(__file__).resolve().parent.parent / "scripts"))
from fleet import Fleet, http, wait_for  # noqa: E402

DATA_CENTRES = [("dc-1", "region-1"), ("dc-2", "region-1"), ("dc-3", "region-1"),
                ("dc-4", "region-2"), ("dc-5", "region-2"), ("dc-6", "region-3"),
                ("dc-7", "region-3")]
SERVICES = 39
TICKS_PER_S = os.sysconf("SC_CLK_TCK")


def cpu_seconds(process):
    fields = pathlib.Path(f"/proc/{process.pid}/stat").read_text().rsplit(")", 1)[1].split()
    return (int(fields[11]) + int(fields[12])) / TICKS_PER_S


def resident_mb(process):
    pages = int(pathlib.Path(f"/proc/{process.pid}/statm").read_text().split()[1])
    return pages * os.sysconf("SC_PAGE_SIZE") / 2**20


def counter(text, name):
    for line in text.splitlines():
        if line.startswith(name + " "):
            return int(line.rsplit(" ", 1)[1])
    return 0


def sample(fleet):
    """Returns the counters of the fleet, summed over its hosts, and the time."""
    sent = sum(counter(host.get("/metrics"), "cyclamenhatch_control_bytes_sent_total")
               for host in fleet.hosts)
    store = http("GET", f"http://127.0.0.1:{fleet.store_port + 1}/standin/counters")[1]
    return {"time": time.monotonic(), "sent": sent,
            "cpu": sum(cpu_seconds(host.node) for host in fleet.hosts), "store": store}


def print_phase(phase, fleet, before, after, extra=""):
    elapsed = after["time"] - before["time"]
    count = len(fleet.hosts)
    store = " ".join(f"store_{key}_per_s={(after['store'][key] - before['store'].get(key, 0)) / elapsed:.2f}"
                     for key, value in after["store"].items() if isinstance(value, int))
    print(f"phase={phase} nodes={count} seconds={elapsed:.1f} "
          f"control_bytes_per_node_s={(after['sent'] - before['sent']) / count / elapsed:.0f} "
          f"cpu_percent_per_node={100 * (after['cpu'] - before['cpu']) / count / elapsed:.3f} "
          f"rss_mb_max={max(resident_mb(host.node) for host in fleet.hosts):.1f} {store} {extra}",
          flush=True)


def measure(phase, fleet, action):
    before = sample(fleet)
    extra = action() or ""
    print_phase(phase, fleet, before, sample(fleet), extra)


def resources(change):
    """Returns a full-size configuration; the timeout of one route depends on `change`."""
    body = {"service": [], "route": [], "upstream_version": []}
    for i in range(SERVICES):
        name = f"service-{i}"
        body["service"].append({"name": name, "owner": f"owner-{i % 5}", "version": "v1"})
        body["upstream_version"] += [{"name": "v1", "service": name}, {"name": "v2", "service": name}]
        body["route"].append({"name": "all", "service": name, "path_prefix": f"/{name}",
                              "timeout_ms": 1000 + (change if i == change % SERVICES else 0)})
    return body


def apply(host, body):
    status, answer = http("POST", host.admin + "/v1/apply", body, timeout=10)
    if status not in (200, 201, 202):
        raise OSError(f"apply answered {status}: {answer}")


def current_version(host):
    return host.get("/v1/status")["version"]


def progress_ms(host, version):
    """Returns the time from acceptance of a version to in force everywhere; None while it is not in force."""
    import datetime
    for progress in host.get("/v1/status")["progress"]:
        if progress["version"] == version and progress["in_force"]:
            begin, end = (datetime.datetime.fromisoformat(progress[key].replace("Z", "+00:00"))
                          for key in ("accepted", "in_force"))
            return (end - begin).total_seconds() * 1000
    return None


def percentile(values, share):
    ordered = sorted(values)
    return ordered[min(len(ordered) - 1, int(share * len(ordered)))]


def change_phase(fleet, changes):
    times = []
    for change in range(changes):
        writer = random.choice(fleet.hosts)
        before = current_version(writer)
        body = resources(change + 1)
        apply(writer, {"route": [body["route"][(change + 1) % SERVICES]]})
        wait_for("the version at its writer", lambda: current_version(writer) > before, 10)
        version = current_version(writer)
        wait_for("in force", lambda: progress_ms(writer, version) is not None, 30)
        times.append(progress_ms(writer, version))
    return (f"changes={changes} in_force_ms_p50={percentile(times, 0.5):.0f} "
            f"in_force_ms_p99={percentile(times, 0.99):.0f} in_force_ms_max={max(times):.0f}")


def announce(host, state, version="v1"):
    http("POST", host.admin + "/v1/upstream",
         {"service": "service-0", "version": version, "slots": 8, "state": state,
          "port": host.upstream_port})


def sees_draining(watcher, name):
    return any(member["node"] == name and member["upstream"] and member["upstream"]["state"] == "draining"
               for member in watcher.get("/v1/dump")["members"])


def churn_phase(fleet):
    """Measures the time until the drain of an upstream is known to a sample of about ten other nodes."""
    times = []
    for _ in range(5):
        host = random.choice(fleet.hosts)
        announce(host, "ready")
        time.sleep(1)
        announce(host, "draining")
        begin = time.monotonic()
        watchers = [other for other in fleet.hosts if other is not host][::max(1, len(fleet.hosts) // 10)]
        for watcher in watchers:
            wait_for("drain known", lambda w=watcher: sees_draining(w, host.name), 15)
        times.append(1000 * (time.monotonic() - begin))
    return f"drain_known_ms_p50={percentile(times, 0.5):.0f} drain_known_ms_max={max(times):.0f}"


def herd_phase(fleet):
    herd = fleet.hosts[::2]
    for host in herd:
        host.node.send_signal(signal.SIGKILL)
    for host in herd:
        host.node.wait()
    begin = time.monotonic()
    for host in herd:
        host.start_node()
    ready = []
    for host in herd:
        wait_for(f"{host.name} ready again", host.is_ready, 60)
        ready.append(time.monotonic() - begin)
    return f"herd={len(herd)} all_ready_s={max(ready):.1f}"


def main():
    parser = argparse.ArgumentParser(description=__doc__.splitlines()[0])
    parser.add_argument("build")
    parser.add_argument("--nodes", type=int, default=20)
    parser.add_argument("--changes", type=int, default=20)
    parser.add_argument("--idle-s", type=float, default=10)
    options = parser.parse_args()
    random.seed(1)
    with Fleet(options.build) as fleet:
        fleet.start_store()
        begin = time.monotonic()
        for i in range(options.nodes):
            fleet.add_host(f"n{i}", *DATA_CENTRES[i % len(DATA_CENTRES)])
        for host in fleet.hosts:
            host.start_node()
        for host in fleet.hosts:
            wait_for(f"{host.name} ready", host.is_ready, 120)
        print(f"phase=start nodes={options.nodes} all_ready_s={time.monotonic() - begin:.1f}", flush=True)
        apply(fleet.hosts[0], resources(0))
        time.sleep(5)
        measure("idle", fleet, lambda: time.sleep(options.idle_s))
        measure("change", fleet, lambda: change_phase(fleet, options.changes))
        measure("churn", fleet, lambda: churn_phase(fleet))
        herd_before = sample(fleet)["store"]
        extra = herd_phase(fleet)
        after = sample(fleet)["store"]
        store = " ".join(f"store_{key}={after[key] - herd_before.get(key, 0)}"
                         for key, value in after.items() if isinstance(value, int))
        print(f"phase=herd nodes={options.nodes} {extra} {store}", flush=True)


main()
