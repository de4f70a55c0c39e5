"""The main job end to end with real processes; see scripts/setup-and-demo."""
import datetime
import re
import sys
import time

from fleet import Fleet, FleetError, http, wait_for

RATE_PER_S = 300
CALL_SECONDS = 75
MOVE_DEADLINE_S = 45
RESOURCES = """
[[service]]
name = "catalogue"
owner = "members"
version = "v1"
reserved_slots = 16
[[service]]
name = "reservations"
owner = "counter"
version = "v1"
reserved_slots = 16
[[route]]
name = "browse"
service = "catalogue"
path_prefix = "/catalogue"
idempotent = true
timeout_ms = 2000
[[route]]
name = "reserve"
service = "reservations"
path_prefix = "/reservations"
timeout_ms = 2000
[[upstream_version]]
name = "v1"
service = "catalogue"
[[upstream_version]]
name = "v2"
service = "catalogue"
[[upstream_version]]
name = "v1"
service = "reservations"
[[upstream_version]]
name = "v2"
service = "reservations"
"""


def say(text):
    print(f"[{datetime.datetime.now():%H:%M:%S}] {text}", flush=True)


def start_fleet(fleet):
    fleet.start_store()
    layout = [("n1", "brescia", "catalogue", "v1"), ("n2", "brescia", "reservations", "v1"),
              ("n3", "bergamo", "catalogue", "v1"), ("n4", "bergamo", "reservations", "v1"),
              ("n5", "milano", "catalogue", "v2"), ("n6", "milano", "reservations", "v2")]
    for name, data_centre, _, _ in layout:
        fleet.add_host(name, data_centre)
    for host in fleet.hosts:
        host.start_node()
    for host in fleet.hosts:
        wait_for(f"{host.name} ready", host.is_ready, 30)
    for host, (_, _, service, version) in zip(fleet.hosts, layout):
        faults = ["--bad-after-s", 0, "--bad-share", 0.3] if (service, version) == ("reservations", "v2") else []
        host.start_upstream(service, version, 16, 2, *faults)


def in_force_ms(fleet, version):
    """Milliseconds from acceptance to being in force everywhere, as the first node saw it."""
    found = {}

    def is_in_force():
        for each in fleet.hosts[0].get("/v1/status")["progress"]:
            if each["version"] >= version and each["in_force"]:
                found.update(each)
                return True
        return False

    wait_for(f"version {version} in force", is_in_force, 15)
    times = [datetime.datetime.fromisoformat(found[key].replace("Z", "+00:00"))
             for key in ("accepted", "in_force")]
    return (times[1] - times[0]).total_seconds() * 1000


def apply_resources(fleet):
    path = fleet.folder / "resources.toml"
    path.write_text(RESOURCES)
    code, text = fleet.cli("apply", "-f", path)
    if code != 0:
        raise FleetError(f"apply exited {code}: {text}")
    wait_for("the first version", lambda: fleet.hosts[0].get("/v1/status")["version"] >= 1, 10)
    return in_force_ms(fleet, fleet.hosts[0].get("/v1/status")["version"])


def start_move(fleet, service, name):
    deadline = datetime.datetime.now(datetime.timezone.utc) + datetime.timedelta(
        seconds=MOVE_DEADLINE_S)
    code, text = fleet.cli("move", "start", "--service", service, "--name", name, "--from", "v1",
                           "--to", "v2", "--deadline", f"{deadline:%Y-%m-%dT%H:%M:%SZ}",
                           "--min-calls", 50, "--bake", 5)
    if code != 0:
        raise FleetError(f"move start exited {code}: {text}")
    say(f"move {name} of {service} started, deadline {deadline:%H:%M:%S}Z")


def move_ending(fleet, service, name):
    status, answer = http("GET", f"{fleet.hosts[0].admin}/v1/moves/{service}/{name}")
    if status != 200:
        return None
    ending = answer.get("ending")
    return ending if ending and ending.get("outcome") not in (None, "none") else None


def wait_for_ending(fleet, service, name):
    wait_for(f"ending of {name}", lambda: move_ending(fleet, service, name), MOVE_DEADLINE_S + 20)
    ending = move_ending(fleet, service, name)
    say(f"move {name} ended: {ending['outcome']} ({ending['reason']})")
    return ending


def start_callers(fleet):
    targets = ",".join(host.caller for host in fleet.hosts)
    callers = {}
    for service, method in (("catalogue", "GET"), ("reservations", "POST")):
        ledgers = ",".join(f"http://127.0.0.1:{host.upstream_port}" for host in fleet.hosts)
        callers[service] = fleet.start(
            f"caller-{service}",
            [fleet.standin, "caller", "--targets", targets, "--rate", RATE_PER_S, "--seconds",
             CALL_SECONDS, "--paths", f"/{service}/item", "--method", method, "--key-prefix",
             service, "--service", service, "--timeout-ms", 3000, "--ledgers", ledgers])
    return callers


def read_result(fleet, service):
    text = (fleet.folder / f"caller-{service}.log").read_text()
    lines = [line for line in text.splitlines() if line.startswith("sent=") or " sent=" in line]
    if not lines:
        raise FleetError(f"the caller of {service} printed no result: {text[-300:]}")
    return dict(re.findall(r"(\S+?)=(\S+)", lines[-1]))


def control_bytes(fleet):
    return [host.get("/v1/dump")["counters"]["control_bytes_sent"] for host in fleet.hosts]


def check(broken, text, holds):
    say(f"{'holds ' if holds else 'BROKEN'} {text}")
    if not holds:
        broken.append(text)


def report(fleet, convergence_ms, endings, bytes_per_s):
    broken = []
    for service in ("catalogue", "reservations"):
        result = read_result(fleet, service)
        say(f"calls {service}: " + " ".join(f"{key}={value}" for key, value in result.items()))
        for key in ("doubled", "lost", "wrong", "false_not_run"):
            check(broken, f"{service}: {key}=0", int(result.get(key, "-1")) == 0)
        if service == "reservations":
            on_bad = int(result.get("version.v2", 0))
            check(broken, "the bad version was met at all", on_bad > 0)
            share = 100 * on_bad / max(1, int(result["answered"]))
            say(f"share of calls that met the bad version: {share:.2f} %")
            check(broken, "the bad version met less than 1 % of calls", share < 1)
    say(f"convergence_ms={convergence_ms:.0f} control_bytes_per_node_and_s={bytes_per_s:.0f}")
    check(broken, "in force everywhere within 3 s", convergence_ms <= 3000)
    check(broken, "control under 16 KB/s a node", bytes_per_s <= 16384)
    check(broken, "the good move is done", endings["catalogue"]["outcome"] == "done")
    check(broken, "the bad move is taken back", endings["reservations"]["outcome"] == "taken_back")
    return broken


def run(build):
    with Fleet(build) as fleet:
        say(f"logs in {fleet.folder}")
        start_fleet(fleet)
        say("six nodes ready; applying the resources")
        convergence_ms = apply_resources(fleet)
        say(f"in force on all nodes after {convergence_ms:.0f} ms; calls start")
        callers = start_callers(fleet)
        begin, before = time.monotonic(), control_bytes(fleet)
        time.sleep(3)
        start_move(fleet, "catalogue", "catalogue-v2")
        start_move(fleet, "reservations", "reservations-v2")
        time.sleep(5)
        say("store down for 8 s")
        fleet.store_faults(down=True)
        time.sleep(8)
        fleet.store_faults(down=False)
        say("store up again")
        endings = {service: wait_for_ending(fleet, service, f"{service}-v2")
                   for service in ("reservations", "catalogue")}
        for caller in callers.values():
            caller.wait(CALL_SECONDS + 30)
        after, passed = control_bytes(fleet), time.monotonic() - begin
        bytes_per_s = (sum(after) - sum(before)) / len(fleet.hosts) / passed
        broken = report(fleet, convergence_ms, endings, bytes_per_s)
    return broken


def main():
    try:
        broken = run(sys.argv[1])
    except FleetError as failed:
        say(f"FAILED {failed}")
        return 1
    say("demo passed" if not broken else f"demo FAILED: {len(broken)} promises broken")
    return 1 if broken else 0


sys.exit(main())
