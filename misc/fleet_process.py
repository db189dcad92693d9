"""Child processes and HTTP requests to their endpoints."""

import json
import os
import signal
import socket
import subprocess
import time
import urllib.error
import urllib.request
from pathlib import Path

START_TIMEOUT_S = 30
STOP_TIMEOUT_S = 10


class FleetError(Exception):
    """A process did not start, or an endpoint returned an unexpected response."""


def request(address, path, method="GET", body=None, headers=None, timeout_s=5):
    """Sends one HTTP request.

    Returns the status and the body; raises OSError if there is no response.
    """
    data = body.encode() if isinstance(body, str) else body
    http_request = urllib.request.Request(f"http://{address}{path}", data=data, method=method, headers=headers or {})
    try:
        with urllib.request.urlopen(http_request, timeout=timeout_s) as response:
            return response.status, response.read()
    except urllib.error.HTTPError as error:
        return error.code, error.read()


def read_json(address, path, timeout_s=5):
    """Reads a JSON document; raises FleetError if the status is not 200."""
    status, body = request(address, path, timeout_s=timeout_s)
    if status != 200:
        raise FleetError(f"{address}{path} returned status {status}: {body[:200]!r}")
    return json.loads(body)


def send_json(address, path, value, method="POST"):
    """Sends a JSON document and returns the JSON response; raises FleetError if the status is not 200."""
    status, body = request(address, path, method, json.dumps(value))
    if status != 200:
        raise FleetError(f"{address}{path} returned status {status}: {body[:200]!r}")
    return json.loads(body)


def check_port(host, port):
    """Raises FleetError if the port is in use."""
    with socket.socket() as probe:
        probe.setsockopt(socket.SOL_SOCKET, socket.SO_REUSEADDR, 1)
        try:
            probe.bind((host, port))
        except OSError as error:
            raise FleetError(f"port {port} is in use; choose another base port ({error.strerror})") from error


def wait_until_ready(probe, name):
    """Calls `probe` until it raises no OSError and returns its result; raises FleetError on time-out."""
    deadline = time.monotonic() + START_TIMEOUT_S
    while True:
        try:
            return probe()
        except OSError as error:
            if time.monotonic() > deadline:
                raise FleetError(f"{name} is not ready: {error}") from error
            time.sleep(0.05)


class Process:
    """A child process whose output goes to a log file."""

    def __init__(self, name, command, log):
        self.name = name
        self.command = [str(part) for part in command]
        self.log = Path(log)
        self.child = None

    def start(self):
        with open(self.log, "ab") as log:
            self.child = subprocess.Popen(self.command, stdout=log, stderr=subprocess.STDOUT)

    def is_running(self):
        return self.child is not None and self.child.poll() is None

    def send_signal(self, signal_number):
        if self.is_running():
            self.child.send_signal(signal_number)

    def suspend(self):
        self.send_signal(signal.SIGSTOP)

    def resume(self):
        self.send_signal(signal.SIGCONT)

    def kill(self):
        self.send_signal(signal.SIGKILL)
        self.wait(STOP_TIMEOUT_S)

    def stop(self, timeout_s=STOP_TIMEOUT_S):
        """Sends SIGTERM and returns the exit status; kills the process after the time-out."""
        self.resume()
        self.send_signal(signal.SIGTERM)
        return self.wait(timeout_s)

    def wait(self, timeout_s):
        if self.child is None:
            return None
        try:
            return self.child.wait(timeout_s)
        except subprocess.TimeoutExpired:
            self.child.kill()
            return self.child.wait()

    def read_cpu_seconds(self):
        """CPU time used so far, or 0 if the process has exited."""
        try:
            fields = Path(f"/proc/{self.child.pid}/stat").read_text().rsplit(")", 1)[1].split()
        except (OSError, AttributeError):
            return 0.0
        return (int(fields[11]) + int(fields[12])) / os.sysconf("SC_CLK_TCK")

    def read_peak_memory_kib(self):
        """Peak resident memory in KiB, or 0 if the process has exited."""
        try:
            for line in Path(f"/proc/{self.child.pid}/status").read_text().splitlines():
                if line.startswith("VmHWM:"):
                    return int(line.split()[1])
        except (OSError, AttributeError):
            pass
        return 0
