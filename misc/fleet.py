"""Runs a fleet on loopback: the platform stand-in, targets and their nodes, each as a separate process."""

import json
import os
import signal
from dataclasses import dataclass
from pathlib import Path

from fleet_process import (FleetError, Process, STOP_TIMEOUT_S, check_port, read_json, request, send_json,
                           wait_until_ready)

ROOT = Path(__file__).resolve().parent.parent
HOST = "127.0.0.1"
PORTS_PER_INSTANCE = 10


@dataclass
class Instance:
    """One VM: a target and the node beside it, on consecutive ports from `base_port`."""

    name: str
    service: object
    region: str
    zone: str
    base_port: int
    node: Process = None
    target: Process = None
    is_leaving: bool = False

    def address(self, offset):
        return f"{HOST}:{self.base_port + offset}"

    @property
    def edge(self):
        return self.address(0)

    @property
    def mesh(self):
        return self.address(1)

    @property
    def egress(self):
        return self.address(2)

    @property
    def peer(self):
        return self.address(3)

    @property
    def admin(self):
        return self.address(4)

    @property
    def target_address(self):
        return self.address(5)

    @property
    def target_control(self):
        return self.address(6)


class Fleet:
    """The fleet of one user on loopback. A context manager that stops the processes it started."""

    def __init__(self, user, out, build=None, base_port=23000, instances_per_zone=1, keys=("demo-key",), seed=1,
                 journal_all=False, node_settings=None, platform_limit=2000):
        self.user = user
        self.out = Path(out)
        self.build = Path(build or os.environ.get("BUILD", ROOT / "build")).resolve()
        self.base_port = base_port
        self.keys = list(keys)
        self.seed = seed
        self.journal_all = journal_all
        self.node_settings = node_settings or {}
        self.platform_limit = platform_limit
        self.platform_address = f"{HOST}:{base_port}"
        self.platform_control = f"{HOST}:{base_port + 1}"
        self.platform = None
        self.exit_statuses = {}
        self.links = None  # Set to a fleet_links.RelayLinks to send traffic through the relay.
        self.document = user.make_document()
        self.instances = self._make_instances(instances_per_zone)

    def __enter__(self):
        try:
            self.start()
        except BaseException:
            self.stop()
            raise
        return self

    def __exit__(self, *_):
        self.stop()

    def _make_instances(self, instances_per_zone):
        instances = []
        for service in self.user.services:
            for region, zones in self.user.zones.items():
                if service.regions and region not in service.regions:
                    continue
                for zone in zones:
                    for number in range(instances_per_zone):
                        port = self.base_port + PORTS_PER_INSTANCE * (len(instances) + 1)
                        name = f"{service.name}-{zone}-{number}"
                        instances.append(Instance(name, service, region, zone, port))
        return instances

    def find_instances(self, service=None, region=None, zone=None):
        """The instances that match every given criterion."""
        return [
            instance for instance in self.instances
            if service in (None, instance.service.name) and region in (None, instance.region)
            and zone in (None, instance.zone)
        ]

    # Files

    def make_vms(self):
        """The VM list in the format that the platform publishes."""
        return {"vms": [
            {
                "instance": instance.name, "service": instance.service.name,
                "region": instance.region, "zone": instance.zone,
                "mesh": instance.mesh, "peer": instance.peer, "state": "leaving" if instance.is_leaving else "live",
            }
            for instance in self.instances
        ]}

    def make_settings(self, instance):
        """The settings of an instance's node, by dotted key.

        The fleet seeds are up to three peers of its own zone and up to two of other zones.
        """
        seeds = [other.peer for other in self.instances if other is not instance and other.zone == instance.zone][:3]
        seeds += [other.peer for other in self.instances if other.zone != instance.zone][:2]
        values = {
            "instance": instance.name, "service": instance.service.name,
            "region": instance.region, "zone": instance.zone,
            "listen.edge": instance.edge, "listen.mesh": instance.mesh, "listen.egress": instance.egress,
            "listen.peer": instance.peer, "listen.admin": instance.admin,
            "target.address": instance.target_address,
            "platform.address": self.platform_address, "fleet.keys": self.keys, "fleet.seeds": seeds,
        }
        if self.links:
            values.update(self.links.make_settings(instance))
        values.update(self.node_settings)
        return values

    def write_settings(self, instance):
        """Writes the settings file of an instance's node and returns its path."""
        nested = {}
        for key, value in self.make_settings(instance).items():
            section = nested
            *parents, last = key.split(".")
            for parent in parents:
                section = section.setdefault(parent, {})
            section[last] = value
        path = self.out / f"{instance.name}.settings.json"
        path.write_text(json.dumps(nested, indent=1) + "\n")
        return path

    # Processes

    def start(self, report_progress=None):
        """Starts all processes and waits until every node is healthy."""
        self.out.mkdir(parents=True, exist_ok=True)
        for pattern in ("*.log", "*.journal", "*.report.json", "*.record.jsonl"):
            for old_file in self.out.glob(pattern):
                old_file.unlink()
        for port in [self.base_port, *(instance.base_port for instance in self.instances)]:
            check_port(HOST, port)
        self.start_platform()
        if self.links:
            self.links.start()
        for instance in self.instances:
            self.start_target(instance)
        for instance in self.instances:
            self.start_node(instance)
        for number, instance in enumerate(self.instances):
            self.wait_for_node(instance)
            if report_progress:
                report_progress(f"nodes ready: {number + 1}/{len(self.instances)}")

    def start_platform(self):
        presets = self.out / "presets.json"
        vms = self.out / "vms.json"
        presets.write_text(json.dumps(self.document, indent=1) + "\n")
        vms.write_text(json.dumps(self.make_vms(), indent=1) + "\n")
        self.platform = Process("platform", [
            self.build / "tests/stand_ins/stand_in_platform", "--listen", self.platform_address,
            "--control", self.platform_control, "--presets", presets, "--vms", vms,
            "--limit", self.platform_limit,
        ], self.out / "platform.log")
        self.platform.start()
        wait_until_ready(lambda: read_json(self.platform_control, "/stats"), "platform")

    def start_target(self, instance):
        service = instance.service
        command = [
            self.build / "tests/stand_ins/stand_in_target",
            "--listen", instance.target_address, "--control", instance.target_control,
            "--egress", instance.egress, "--instance", instance.name, "--service", service.name,
            "--slots", service.slots, "--queue", service.queue, "--service-ms", service.service_ms,
            "--answer-bytes", service.answer_bytes, "--journal", self.out / f"{instance.name}.journal",
            "--seed", self.seed * 1000 + self.instances.index(instance),
        ]
        if service.calls:
            command += ["--calls", service.calls]
        if self.journal_all:
            command.append("--journal-all")
        instance.target = Process(f"target {instance.name}", command, self.out / f"{instance.name}.target.log")
        instance.target.start()

    def start_node(self, instance):
        command = [self.build / "main/fuchsiagauged", "--settings", self.write_settings(instance)]
        instance.node = Process(f"node {instance.name}", command, self.out / f"{instance.name}.node.log")
        instance.node.start()

    def wait_for_node(self, instance):
        """Waits until a node's health endpoint returns 200."""
        def probe():
            if not instance.node.is_running():
                raise FleetError(f"{instance.node.name} exited; see {instance.node.log}")
            status, _ = request(instance.admin, "/healthz", timeout_s=2)
            if status != 200:
                raise OSError(f"status {status}")

        wait_until_ready(probe, instance.node.name)

    def stop(self):
        """Stops all running processes, nodes first, and stores their exit statuses by process name."""
        nodes = [instance.node for instance in self.instances if instance.node]
        other_processes = [instance.target for instance in self.instances if instance.target]
        other_processes += [self.platform] if self.platform else []
        nodes = [process for process in nodes if process.is_running()]
        for process in nodes:
            process.resume()
            process.send_signal(signal.SIGTERM)
        statuses = {process.name: process.wait(STOP_TIMEOUT_S) for process in nodes}
        for process in other_processes:
            statuses[process.name] = process.stop()
        if self.links:
            self.links.stop()
        self.exit_statuses = statuses

    # Configuration changes and faults

    def publish(self, document, revision=None):
        """Publishes a preset document and returns its revision."""
        self.document = document
        headers = {"revision": str(revision)} if revision is not None else {}
        status, body = request(self.platform_control, "/presets", "PUT", json.dumps(document), headers)
        if status != 200:
            raise FleetError(f"the platform returned status {status}")
        return json.loads(body)["revision"]

    def activate_preset(self, preset):
        """Publishes the document with another active preset and returns its revision."""
        return self.publish({**self.document, "in_force": preset})

    def publish_vms(self):
        return send_json(self.platform_control, "/vms", self.make_vms(), "PUT")["revision"]

    def set_platform_faults(self, **faults):
        send_json(self.platform_control, "/faults", faults)

    def set_target_faults(self, instances, **faults):
        for instance in instances:
            send_json(instance.target_control, "/faults", faults)

    # Status and metrics

    def read_platform_stats(self):
        return read_json(self.platform_control, "/stats")

    def read_target_stats(self):
        return {instance.name: read_json(instance.target_control, "/stats")
                for instance in self.instances if instance.target}

    def read_statuses(self):
        """The /status document of every node by instance name; None for a node that does not respond."""
        statuses = {}
        for instance in self.instances:
            try:
                statuses[instance.name] = read_json(instance.admin, "/status", timeout_s=2)
            except (OSError, FleetError, ValueError):
                statuses[instance.name] = None
        return statuses

    def read_metrics(self, instance):
        """A node's metrics, by name including the labels."""
        _, body = request(instance.admin, "/metrics")
        metrics = {}
        for line in body.decode().splitlines():
            if line and not line.startswith("#"):
                name, _, value = line.rpartition(" ")
                metrics[name] = float(value)
        return metrics

    # Load

    def make_experiment(self, duration_s, phases=(), rate_factor=1.0, classes=None, retries=0, backoff_ms=50,
                        order_retries=3):
        """The content of an experiment file for the load tool, with one caller group per request class.

        `order_retries` replaces `retries` for classes that run at most once.
        """
        groups = []
        for request_class in self.user.classes:
            if classes and request_class.name not in classes:
                continue
            groups.append({
                "name": request_class.name, "class": request_class.name,
                "edges": [instance.edge for instance in self.find_instances(service=request_class.service)],
                "method": request_class.method, "path": request_class.path, "rate": request_class.rate * rate_factor,
                "deadline_ms": request_class.deadline_ms, "at_most_once": request_class.at_most_once,
                "client_retries": {
                    "max": order_retries if request_class.at_most_once else retries, "backoff_ms": backoff_ms,
                },
                "bytes": request_class.answer_bytes,
                "request_bytes": 200 if request_class.method == "POST" else 0,
            })
        return {"seed": self.seed, "duration_s": duration_s, "phases": list(phases), "groups": groups}

    def start_load(self, experiment, name="load", quiet=True):
        """Starts the load tool, which writes `NAME.report.json` and `NAME.record.jsonl`."""
        path = self.out / f"{name}.experiment.json"
        path.write_text(json.dumps(experiment, indent=1) + "\n")
        command = [
            self.build / "bench/fuchsiagauge-load", "run", path, "--report", self.out / f"{name}.report.json",
            "--record", self.out / f"{name}.record.jsonl",
        ]
        process = Process(name, command + (["--quiet"] if quiet else []), self.out / f"{name}.log")
        process.start()
        return process

    def read_report(self, name="load"):
        return json.loads((self.out / f"{name}.report.json").read_text())
