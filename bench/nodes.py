#!/usr/bin/env python3
"""Measures real daemons on loopback: the control traffic of a node and the time to install a change.

usage: bench/nodes.py BUILD_FOLDER [--sizes 4,32,128] [--changes 20] [--idle 10] [--fault none|watcher|domain]

For each size it starts one stand-in platform and that many `jaynotchd`, applies changes one after
another, and prints one Markdown row: the time from acceptance until the last node has installed the
change (from the nodes' logs), calls to the key-value service, and for each node the bytes sent to
peers, CPU time and resident memory. All processes are child processes and are terminated by pid.
"""
import argparse
import json
import os
import re
import shutil
import signal
import subprocess
import sys
import tempfile
import time
import urllib.error
import urllib.request

FAILURE_DOMAINS = 4
CLOCK_TICKS = os.sysconf("SC_CLK_TCK")
GROUPS = 8
ROUTES = """deployment = "bench"
[[route]]
name = "chat"
kind = "chat"
model = "m"
workspaces = ["*"]
pool = "models"
timeout_ms = {timeout}
"""
POOLS = """deployment = "bench"
[[pool]]
name = "models"
kind = "model"
model = "m"
version = "1"
replica_vms = 4
replicas = 8
standbys = 2
"""


class Fleet:
    """One stand-in platform and its daemons, with logs in a temporary folder."""

    def __init__(self, build, nodes, port):
        self.build, self.folder = build, tempfile.mkdtemp(prefix="jaynotch-bench-")
        self.children, self.nodes = [], []
        try:
            self.start(nodes, port)
        except BaseException:
            self.end()
            raise

    def start(self, nodes, port):
        fleet_file = os.path.join(self.folder, "fleet.json")
        domains = ",".join(f"d{i}" for i in range(FAILURE_DOMAINS))
        self.spawn("standin", ["jaynotch-standin", "fleet", "--engines=40", f"--fabric_domains={FAILURE_DOMAINS}",
                               f"--failure_domains={domains}", f"--out={fleet_file}"])
        until(20, lambda: os.path.exists(fleet_file) and os.path.getsize(fleet_file) > 0)
        self.platform = json.load(open(fleet_file))
        seeds = ",".join(f"127.0.0.1:{port + 3 * i + 1}" for i in range(min(5, nodes)))
        for i in range(nodes):
            caller_port = port + 3 * i
            child = self.spawn(f"node-{i}", [
                "jaynotchd", f"--node=node-{i}", f"--failure_domain=d{i % FAILURE_DOMAINS}",
                "--deployment=bench", f"--listen=127.0.0.1:{caller_port}",
                f"--peer_listen=127.0.0.1:{caller_port + 1}",
                f"--admin_listen=127.0.0.1:{caller_port + 2}", f"--seed_peers={seeds}",
                f"--key_value={self.platform['kv']}", f"--vm_list={self.platform['vms']}",
                f"--weight_store={self.platform['weights']}", "--balancer_wait_ms=0"])
            self.nodes.append({"child": child, "admin": f"127.0.0.1:{caller_port + 2}", "name": f"node-{i}"})

    def spawn(self, name, command):
        log = open(os.path.join(self.folder, name + ".log"), "w")
        child = subprocess.Popen([os.path.join(self.build, command[0])] + command[1:], stderr=log,
                                 stdout=log)
        self.children.append(child)
        return child

    def end(self):
        for child in self.children:
            child.send_signal(signal.SIGCONT)
            child.kill()
        for child in self.children:
            child.wait()
        shutil.rmtree(self.folder, ignore_errors=True)

    def installed(self):
        """Returns for each node the time at which it installed each revision, in ms since 1970."""
        times = {}
        for node in self.nodes:
            installed_at = times.setdefault(node["name"], {})
            for line in open(os.path.join(self.folder, node["name"] + ".log")):
                if '"config_installed"' not in line:
                    continue
                entry = json.loads(line)
                installed_at[int(entry["revision"])] = int(entry["ts_ms"])
        return times

    def metric(self, node, name):
        try:
            text = urllib.request.urlopen(f"http://{node['admin']}/metrics", timeout=5).read().decode()
        except urllib.error.URLError:
            return 0.0  # the daemon is not listening yet
        found = re.search(rf"^{name}(?:{{[^}}]*}})? ([0-9.e+]+)", text, re.M)
        return float(found.group(1)) if found else 0.0

    def kv_calls(self):
        text = urllib.request.urlopen(f"http://{self.platform['kv']}/stats", timeout=5).read()
        return sum(value for value in json.loads(text).values() if isinstance(value, (int, float)))


def holds_within(seconds, holds):
    end = time.monotonic() + seconds
    while not holds():
        if time.monotonic() > end:
            return False
        time.sleep(0.05)
    return True


def until(seconds, holds):
    if not holds_within(seconds, holds):
        sys.exit("bench: gave up waiting")


def processor_seconds(child):
    fields = open(f"/proc/{child.pid}/stat").read().rsplit(")", 1)[1].split()
    return (int(fields[11]) + int(fields[12])) / CLOCK_TICKS


def resident_mb(child):
    for line in open(f"/proc/{child.pid}/status"):
        if line.startswith("VmRSS"):
            return int(line.split()[1]) / 1024
    return 0.0


def apply(fleet, timeout):
    """Applies a change through the first node; returns (revision, ms since 1970 at acceptance)."""
    folder = os.path.join(fleet.folder, "tables")
    os.makedirs(folder, exist_ok=True)
    open(os.path.join(folder, "routes.toml"), "w").write(ROUTES.format(timeout=timeout))
    open(os.path.join(folder, "pools.toml"), "w").write(POOLS)
    done = subprocess.run(
        [os.path.join(fleet.build, "jaynotch"), "apply", "--output=json", f"--dir={folder}",
         "--admin=" + ",".join(node["admin"] for node in fleet.nodes[:3])],
        capture_output=True, text=True)
    if done.returncode != 0:
        sys.exit("bench: apply failed: " + done.stderr)
    return int(json.loads(done.stdout)["revision"]), time.time() * 1000


def alive(fleet):
    return [node for node in fleet.nodes if not node.get("lost")]


def in_force(fleet, revision):
    times = fleet.installed()
    return all(any(installed >= revision for installed in times[node["name"]]) for node in alive(fleet))


def lateness(fleet, accepted):
    """Returns, sorted, the ms from acceptance of each revision until every node had it or a later one."""
    times, delays = fleet.installed(), []
    for revision, accepted_at in accepted:
        last = max(min(when for installed, when in times[node["name"]].items() if installed >= revision)
                   for node in alive(fleet))
        delays.append(max(0.0, last - accepted_at))
    return sorted(delays)


def groups_seen(fleet, seconds):
    """Samples the number of complete groups that each node knows: (fewest, average, most) of all samples."""
    samples, end = [], time.monotonic() + seconds
    while time.monotonic() < end:
        samples += [fleet.metric(node, "jaynotch_complete_groups") for node in alive(fleet)]
        time.sleep(0.5)
    return min(samples), sum(samples) / len(samples), max(samples)


def percentile(values, share):
    return values[min(len(values) - 1, int(share * len(values)))]


def bring_about(fleet, fault):
    if fault == "watcher":
        # A node that watches the store makes the most calls to the key-value service.
        busiest = max(fleet.nodes[1:], key=lambda node: fleet.metric(node, "jaynotch_kv_calls"))
        busiest["lost"] = True
        busiest["child"].kill()
    if fault == "domain":
        for node in fleet.nodes:
            if node["name"] != "node-0" and int(node["name"].split("-")[1]) % FAILURE_DOMAINS == 1:
                node["lost"] = True
                node["child"].kill()


def measure(options, size, port):
    fleet = Fleet(options.build, size, port)
    try:
        until(60, lambda: all(node["child"].poll() is None for node in fleet.nodes) and
              fleet.metric(fleet.nodes[0], "jaynotch_live_members") >= size)
        first, _ = apply(fleet, 1000)
        until(60, lambda: in_force(fleet, first))
        # In large fleets a node may never know all groups; the last column shows how many it knows.
        holds_within(60, lambda: max(fleet.metric(n, "jaynotch_complete_groups")
                                     for n in fleet.nodes[:FAILURE_DOMAINS]) >= GROUPS)
        time.sleep(5)
        before = [(processor_seconds(n["child"]), fleet.metric(n, "jaynotch_peer_sent_bytes"))
                  for n in fleet.nodes]
        calls, began = fleet.kv_calls(), time.monotonic()
        time.sleep(options.idle)
        idle_for = time.monotonic() - began
        idle_calls = (fleet.kv_calls() - calls) / idle_for
        after = [(processor_seconds(n["child"]), fleet.metric(n, "jaynotch_peer_sent_bytes"))
                 for n in fleet.nodes]
        cores = [100 * (b[0] - a[0]) / idle_for for a, b in zip(before, after)]
        sent = [(b[1] - a[1]) / idle_for for a, b in zip(before, after)]
        memory = [resident_mb(n["child"]) for n in fleet.nodes]
        fewest, average, most = groups_seen(fleet, options.idle / 2)
        bring_about(fleet, options.fault)
        accepted = []
        for change in range(options.changes):
            accepted.append(apply(fleet, 2000 + change))
            time.sleep(0.2)
        until(60, lambda: in_force(fleet, accepted[-1][0]))
        late = lateness(fleet, accepted)
        print(f"| {size} | {options.fault} | {percentile(late, 0.5):.0f} | {percentile(late, 0.99):.0f} "
              f"| {late[-1]:.0f} | {idle_calls:.1f} | {sum(sent) / size:.0f} | {max(sent):.0f} "
              f"| {sum(cores) / size:.2f} | {max(cores):.2f} | {max(memory):.1f} "
              f"| {fewest:.0f} / {average:.1f} / {most:.0f} |", flush=True)
    finally:
        fleet.end()


def main():
    parser = argparse.ArgumentParser(description=__doc__, formatter_class=argparse.RawTextHelpFormatter)
    parser.add_argument("build")
    parser.add_argument("--sizes", default="4,32,128")
    parser.add_argument("--changes", type=int, default=20)
    parser.add_argument("--idle", type=float, default=10)
    parser.add_argument("--fault", choices=["none", "watcher", "domain"], default="none")
    parser.add_argument("--port", type=int, default=21000)
    options = parser.parse_args()
    print("| nodes | lost | in force p50 ms | p99 ms | max ms | key-value calls/s, all | sent bytes/s a node "
          "| most | core % a node | most | most MB | groups seen least / average / most |")
    print("| --- | --- | --- | --- | --- | --- | --- | --- | --- | --- | --- | --- |")
    for size in options.sizes.split(","):
        measure(options, int(size), options.port)


if __name__ == "__main__":
    main()
