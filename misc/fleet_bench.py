#!/usr/bin/env python3
"""Measures how the fleet scales with its size: real node processes and the platform stand-in, on loopback.

For each fleet size, measures the time until the last node has adopted an edit, platform calls per second,
control bytes per second, and CPU time and memory of the nodes. Then measures the propagation of edits at 20
edits per second, with a tenth of the nodes suspended, after a platform outage and with all readers killed.
Prints one JSON object per size.
"""

import argparse
import concurrent.futures
import json
import os
import signal
import subprocess
import sys
import tempfile
import time
import urllib.error
import urllib.request

HOST = "127.0.0.1"
PLATFORM_PORT = 21000
CONTROL_PORT = 21001
FIRST_NODE_PORT = 21100
PORTS_PER_NODE = 6
ZONES = [("west", "w1"), ("west", "w2"), ("west", "w3"), ("east", "e1"), ("east", "e2"), ("east", "e3")]
PROPAGATION_TIMEOUT_S = 30.0
POLL_INTERVAL_S = 0.25
CLOCK_TICKS = os.sysconf("SC_CLK_TCK")
PAGE_BYTES = os.sysconf("SC_PAGE_SIZE")


def send_request(url, method="GET", body=None, timeout=5):
    request = urllib.request.Request(url, data=body, method=method)
    with urllib.request.urlopen(request, timeout=timeout) as response:
        return response.read()


def make_document(number, size):
    """A preset document of about `size` bytes; `number` changes a single value in it."""
    classes = {f"class-{i:05}": {"priority": i % 1000, "deadline_ms": 1000 + i} for i in range(max(1, size // 60))}
    classes["class-00000"]["deadline_ms"] = 1000 + number
    document = {"format": 1, "in_force": "ordinary", "presets": {"ordinary": {"classes": classes}}}
    return json.dumps(document).encode()


class PlatformProcess:
    def __init__(self, program):
        listen = ["--listen", f"{HOST}:{PLATFORM_PORT}", "--control", f"{HOST}:{CONTROL_PORT}"]
        self.process = subprocess.Popen([program, *listen], stdout=subprocess.DEVNULL)
        self.control = f"http://{HOST}:{CONTROL_PORT}"
        wait_until(lambda: self.read_stats() is not None, 10)

    def read_stats(self):
        try:
            return json.loads(send_request(self.control + "/stats"))
        except OSError:
            return None

    def publish(self, kind, body):
        return json.loads(send_request(f"{self.control}/{kind}", "PUT", body))["revision"]

    def set_faults(self, **faults):
        send_request(self.control + "/faults", "POST", json.dumps(faults).encode())

    def read_max_calls_per_second(self, first_second):
        seconds = self.read_stats()["per_second"]
        return max(seconds[int(first_second):], default=0)


class NodeProcess:
    def __init__(self, program, index, folder, seeds, expected_nodes):
        self.index = index
        self.program = program
        self.region, self.zone = ZONES[index % len(ZONES)]
        self.port = FIRST_NODE_PORT + index * PORTS_PER_NODE
        self.settings_path = os.path.join(folder, f"node-{index}.json")
        self.folder = folder
        self.process = None
        listen = {name: f"{HOST}:{self.port + i}" for i, name in enumerate(["edge", "mesh", "egress", "peer", "admin"])}
        with open(self.settings_path, "w", encoding="utf-8") as file:
            json.dump({
                "instance": self.name, "service": f"service-{index % 8}", "region": self.region,
                "zone": self.zone, "listen": listen,
                "target": {"address": f"{HOST}:{self.port + 5}", "poll_ms": 60000},
                "platform": {"address": f"{HOST}:{PLATFORM_PORT}"},
                "fleet": {"keys": ["bench"], "seeds": seeds, "expected_nodes": expected_nodes},
            }, file)

    @property
    def name(self):
        return f"node-{self.index}"

    @property
    def peer(self):
        return f"{HOST}:{self.port + 3}"

    def start(self):
        log = open(os.path.join(self.folder, self.name + ".log"), "ab")
        self.process = subprocess.Popen(
            [self.program, "--settings", self.settings_path], stdout=log, stderr=log, cwd=self.folder)

    def send_signal(self, signal_number):
        os.kill(self.process.pid, signal_number)

    def kill(self):
        self.process.kill()
        self.process.wait()

    def read_json(self, path):
        return json.loads(send_request(f"http://{HOST}:{self.port + 4}{path}"))

    def read_status(self):
        try:
            return self.read_json("/status")
        except (OSError, ValueError):
            return None

    def read_adoption_time(self, revision):
        """Wall time in seconds at which this node adopted `revision` or a higher one; None if it did not."""
        try:
            entries = self.read_json("/audit?after=0")["entries"]
        except (OSError, ValueError):
            return None
        for entry in entries:
            if entry["event"] == "configuration-adopted" and entry["revision"] >= revision:
                return entry["wall_time_ms"] / 1000
        return None

    def read_cpu_seconds(self):
        with open(f"/proc/{self.process.pid}/stat", encoding="utf-8") as file:
            fields = file.read().rsplit(")", 1)[1].split()
        return (int(fields[11]) + int(fields[12])) / CLOCK_TICKS

    def read_resident_bytes(self):
        with open(f"/proc/{self.process.pid}/statm", encoding="utf-8") as file:
            return int(file.read().split()[1]) * PAGE_BYTES


def wait_until(predicate, timeout_s):
    end = time.time() + timeout_s
    while time.time() < end:
        if predicate():
            return True
        time.sleep(POLL_INTERVAL_S)
    return False


class FleetUnderTest:
    def __init__(self, options, size, folder):
        self.options = options
        self.platform = PlatformProcess(options.platform)
        self.edit_count = 0
        seeds = [f"{HOST}:{FIRST_NODE_PORT + index * PORTS_PER_NODE + 3}" for index in (0, size - 1)]
        self.nodes = [NodeProcess(options.node, i, folder, seeds, options.expected_nodes) for i in range(size)]
        self.pool = concurrent.futures.ThreadPoolExecutor(16)

    def publish_vms(self):
        vms = [{"instance": node.name, "service": f"service-{node.index % 8}",
                "region": node.region, "zone": node.zone,
                "mesh": f"{HOST}:{node.port + 1}", "peer": node.peer, "state": "live"} for node in self.nodes]
        self.platform.publish("vms", json.dumps({"vms": vms}).encode())

    def publish_edit(self):
        self.edit_count += 1
        return self.platform.publish("presets", make_document(self.edit_count, self.options.document_bytes))

    def start(self):
        self.publish_vms()
        self.publish_edit()
        for node in self.nodes:
            node.start()

    def stop(self):
        for node in self.nodes:
            if node.process and node.process.poll() is None:
                node.send_signal(signal.SIGCONT)
                node.kill()
        self.platform.process.kill()
        self.platform.process.wait()
        self.pool.shutdown()

    def read_statuses(self, nodes):
        return list(self.pool.map(lambda node: node.read_status(), nodes))

    def have_converged(self, nodes):
        return all(status and len(status["instances"]) + 1 >= len(self.nodes)
                   and status["configuration"]["revision"] > 0
                   and status["control"]["peers"] > 0 for status in self.read_statuses(nodes))

    def measure_propagation(self, nodes, revision, published_at):
        """Seconds from `published_at` until the last node adopted `revision`; None on time-out."""
        def have_all_adopted():
            return all(status and status["configuration"]["revision"] >= revision
                       for status in self.read_statuses(nodes))
        if not wait_until(have_all_adopted, PROPAGATION_TIMEOUT_S):
            return None
        adoption_times = list(self.pool.map(lambda node: node.read_adoption_time(revision), nodes))
        return round(max(adoption_times) - published_at, 3)

    def read_control_bytes(self, nodes):
        return [status["control"]["bytes_per_second"] * status["uptime_ms"] / 1000
                for status in self.read_statuses(nodes)]


def measure_edit(fleet, nodes):
    start = time.time()
    return fleet.measure_propagation(nodes, fleet.publish_edit(), start)


def measure_normal_operation(fleet, seconds):
    """Figures of a healthy fleet with one edit every 5 s."""
    calls_before = fleet.platform.read_stats()["calls"]
    bytes_before = fleet.read_control_bytes(fleet.nodes)
    cpu_before = [node.read_cpu_seconds() for node in fleet.nodes]
    start = time.time()
    edits = []
    while time.time() - start < seconds:
        edits.append(measure_edit(fleet, fleet.nodes))
        time.sleep(5)
    elapsed_s = time.time() - start
    cpu_used = [node.read_cpu_seconds() - before for node, before in zip(fleet.nodes, cpu_before)]
    control_bytes = [after - before for before, after in zip(bytes_before, fleet.read_control_bytes(fleet.nodes))]
    node_count = len(fleet.nodes)
    return {
        "edit_last_node_s": edits,
        "platform_calls_per_s": round((fleet.platform.read_stats()["calls"] - calls_before) / elapsed_s, 2),
        "control_bytes_per_s_mean": round(sum(control_bytes) / node_count / elapsed_s),
        "control_bytes_per_s_max": round(max(control_bytes) / elapsed_s),
        "core_percent_mean": round(100 * sum(cpu_used) / node_count / elapsed_s, 3),
        "core_percent_max": round(100 * max(cpu_used) / elapsed_s, 3),
        "resident_mib_max": round(max(node.read_resident_bytes() for node in fleet.nodes) / 2**20, 1),
    }


def measure_rapid_edits(fleet, seconds):
    """Figures with 20 edits per second, and the propagation time of the last edit."""
    calls_before = fleet.platform.read_stats()["calls"]
    bytes_before = fleet.read_control_bytes(fleet.nodes)
    first_edit_at = time.time()
    revision = 0
    while time.time() - first_edit_at < seconds:
        last_edit_at = time.time()
        revision = fleet.publish_edit()
        time.sleep(max(0.0, 0.05 - (time.time() - last_edit_at)))
    last = fleet.measure_propagation(fleet.nodes, revision, last_edit_at)
    elapsed_s = time.time() - first_edit_at
    control_bytes = [after - before for before, after in zip(bytes_before, fleet.read_control_bytes(fleet.nodes))]
    return {"last_node_s": last,
            "platform_calls_per_s": round((fleet.platform.read_stats()["calls"] - calls_before) / elapsed_s, 2),
            "control_bytes_per_s_mean": round(sum(control_bytes) / len(control_bytes) / elapsed_s)}


def measure_suspended_nodes(fleet):
    """Propagation times to the other nodes while a tenth is suspended, and to that tenth after it resumes."""
    suspended = fleet.nodes[::10]
    others = [node for node in fleet.nodes if node not in suspended]
    for node in suspended:
        node.send_signal(signal.SIGSTOP)
    time.sleep(8)
    start = time.time()
    revision = fleet.publish_edit()
    last = fleet.measure_propagation(others, revision, start)
    time.sleep(5)
    for node in suspended:
        node.send_signal(signal.SIGCONT)
    resumed_at = time.time()
    return {"last_of_the_others_s": last,
            "woken_last_s": fleet.measure_propagation(suspended, revision, resumed_at)}


def measure_outage(fleet, seconds):
    """Propagation time after a platform outage, and the peak rate of platform calls during and after it."""
    fleet.platform.set_faults(outage=True)
    time.sleep(seconds)
    revision = fleet.publish_edit()
    max_calls_during = fleet.platform.read_max_calls_per_second(fleet.platform.read_stats()["now_second"] - seconds)
    end_second = fleet.platform.read_stats()["now_second"]
    start = time.time()
    fleet.platform.set_faults(outage=False)
    last = fleet.measure_propagation(fleet.nodes, revision, start)
    time.sleep(5)
    return {"last_node_s": last, "most_calls_in_a_second_during": max_calls_during,
            "most_calls_in_a_second_after": fleet.platform.read_max_calls_per_second(end_second)}


def measure_readers_killed(fleet):
    """Propagation time of an edit after all readers were killed; at least one node is kept running."""
    statuses = fleet.read_statuses(fleet.nodes)
    killed = [node for node, status in zip(fleet.nodes, statuses) if status["control"]["is_reader"]]
    if len(killed) == len(fleet.nodes):
        killed = killed[:-1]
    others = [node for node in fleet.nodes if node not in killed]
    for node in killed:
        node.kill()
    last = measure_edit(fleet, others)
    for node in killed:
        node.start()
    return {"killed": len(killed), "last_node_s": last}


def measure(options, size):
    with tempfile.TemporaryDirectory() as folder:
        fleet = FleetUnderTest(options, size, folder)
        try:
            start = time.time()
            fleet.start()
            has_converged = wait_until(lambda: fleet.have_converged(fleet.nodes), 90)
            result = {"nodes": size, "document_bytes": options.document_bytes,
                      "settled_s": round(time.time() - start, 1) if has_converged else None}
            if not has_converged:
                return result
            time.sleep(10)
            result["ordinary"] = measure_normal_operation(fleet, options.seconds)
            if options.faults:
                result["twenty_edits_a_second"] = measure_rapid_edits(fleet, 5)
                result["tenth_frozen"] = measure_suspended_nodes(fleet)
                result["outage"] = measure_outage(fleet, 40)
                result["readers_killed"] = measure_readers_killed(fleet)
            return result
        finally:
            fleet.stop()


def main():
    parser = argparse.ArgumentParser(description=__doc__)
    parser.add_argument("--sizes", default="10,20,40,80")
    parser.add_argument("--node", default="build/main/fuchsiagauged")
    parser.add_argument("--platform", default="build/tests/stand_ins/stand_in_platform")
    parser.add_argument("--document-bytes", type=int, default=16384)
    parser.add_argument("--expected-nodes", type=int, default=800)
    parser.add_argument("--seconds", type=float, default=20)
    parser.add_argument("--no-faults", dest="faults", action="store_false")
    options = parser.parse_args()
    options.node = os.path.abspath(options.node)
    options.platform = os.path.abspath(options.platform)
    for size in (int(text) for text in options.sizes.split(",")):
        print(json.dumps(measure(options, size)), flush=True)
    return 0


if __name__ == "__main__":
    sys.exit(main())
