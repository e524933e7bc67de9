"""A small deployment of gateway hosts on loopback, for the cases 4 to 8.

Hosts are started with the command of the deploy file and with settings like those that its template
gives for a small site: control hosts with a disk, entry hosts, and one service. Every host and every
worker has a loopback address of its own. The worker, the client and the operator below speak the
protocol of the users' pages and do nothing that these don't allow.
"""

import http.client
import json
import os
import random
import shutil
import signal
import socket
import subprocess
import sys
import tempfile
import threading
import time
from http.server import BaseHTTPRequestHandler, ThreadingHTTPServer

REPOSITORY = os.path.dirname(os.path.dirname(os.path.abspath(__file__)))
PROGRAM = os.path.join(REPOSITORY, "target", "release", "kumquatdrum")
ZONES = ["hall-raatuse", "hall-ulikooli", "hall-ringtee"]
HEARTBEAT_S = 1.2
SERVICE = "salon-api"
ROUTE_HOST = "salon.example"
KEY = "key-1"

FAILED, HELD, NOT_RUN = 1, 0, 2


class CannotRun(Exception):
    """The case can't be run here."""


class Record:
    """What was sent, answered and run, written to record.txt in the folder of the case."""

    def __init__(self, folder):
        self.file = open(os.path.join(folder, "record.txt"), "w", encoding="utf-8")
        self.started = time.monotonic()
        self.lock = threading.Lock()

    def now(self):
        return time.monotonic() - self.started

    def write(self, text):
        with self.lock:
            self.file.write(f"{self.now():8.3f} s  {text}\n")
            self.file.flush()


class Host:
    """One gateway host."""

    def __init__(self, deployment, number, is_control):
        self.deployment = deployment
        self.number = number
        self.is_control = is_control
        self.address = deployment.address(number)
        kind = "core" if is_control else "front"
        self.name = f"{kind}-{number}"
        self.zone = ZONES[(number - 1) % len(ZONES)]
        self.data = os.path.join(deployment.folder, f"data-{number}")
        self.process = None

    def settings(self, bootstrap):
        ports = self.deployment.ports
        listen = {"metrics": f"{self.address}:{ports['metrics']}"}
        if self.is_control:
            listen["control"] = f"{self.address}:{ports['control']}"
        else:
            listen["callers"] = f"{self.address}:{ports['front']}"
            listen["health"] = f"{self.address}:{ports['ready']}"
        settings = {
            "name": self.name,
            "address": self.address,
            "data_centre": self.zone,
            "listen": listen,
            "peer_port": ports["peer"],
            "seeds": self.deployment.seeds(),
            "cluster": {"name": "platform", "secret": "one platform, one cluster"},
            "announcement_ms": int(HEARTBEAT_S * 1000),
            "lost_replicas": self.deployment.lost_replicas,
            "unused_memory_ms": 4000,
            "data_centres": ZONES,
            "drain_ms": 2000,
            "retries": {"ratio": 0.2, "slack": 104, "window_s": 10},
            "stop_ms": 8000,
        }
        if self.is_control:
            settings["replica"] = {"data": self.data, "found": bootstrap}
        return settings

    def start(self, bootstrap):
        path = os.path.join(self.deployment.folder, f"{self.name}.json")
        with open(path, "w", encoding="utf-8") as file:
            json.dump(self.settings(bootstrap), file)
        with open(self.log_path(), "ab") as log:
            self.process = subprocess.Popen(
                [PROGRAM, "gateway", "--settings", path],
                stdout=log,
                stderr=log,
                stdin=subprocess.DEVNULL,
                cwd=REPOSITORY,
            )
        self.deployment.record.write(f"{self.name} {self.address} starts, bootstrap = {bootstrap}")

    def log_path(self):
        return os.path.join(self.deployment.folder, f"{self.name}.log")

    def log(self):
        try:
            with open(self.log_path(), encoding="utf-8", errors="replace") as file:
                return file.read()
        except FileNotFoundError:
            return ""

    def signal(self, number):
        self.process.send_signal(number)
        self.deployment.record.write(f"{self.name} gets {signal.Signals(number).name}")

    def kill(self):
        self.signal(signal.SIGKILL)
        self.process.wait()

    def is_running(self):
        return self.process is not None and self.process.poll() is None


class Deployment:
    """Control hosts, then entry hosts, each on a loopback address of its own."""

    def __init__(self, record, controls=3, entries=2, lost_replicas=1):
        if not os.access(PROGRAM, os.X_OK):
            raise CannotRun(f"{PROGRAM} is not built")
        self.record = record
        self.lost_replicas = lost_replicas
        self.folder = tempfile.mkdtemp(prefix="kumquatdrum-review-")
        self.subnet = self.free_subnet()
        self.ports = {"front": 8227, "ready": 8220, "control": 8229, "metrics": 9464, "peer": 7340}
        self.hosts = [Host(self, number, True) for number in range(1, controls + 1)]
        first = controls + 1
        self.hosts += [Host(self, number, False) for number in range(first, first + entries)]
        self.seed_numbers = list(range(1, min(controls, 3) + 1))
        self.workers = []

    @staticmethod
    def free_subnet():
        for _ in range(50):
            subnet = f"127.{random.randint(20, 250)}.{random.randint(1, 250)}"
            try:
                for port in (8227, 8220, 8229, 9464, 7340, 8080):
                    with socket.socket() as probe:
                        probe.bind((f"{subnet}.1", port))
                return subnet
            except OSError:
                continue
        raise CannotRun("no free loopback addresses")

    def address(self, number):
        return f"{self.subnet}.{number}"

    def seeds(self):
        return [f"{self.address(n)}:{self.ports['control']}" for n in self.seed_numbers]

    @property
    def controls(self):
        return [host for host in self.hosts if host.is_control]

    @property
    def entries(self):
        return [host for host in self.hosts if not host.is_control]

    def stop(self):
        for worker in self.workers:
            worker.crash()
        for host in self.hosts:
            if host.is_running():
                host.process.send_signal(signal.SIGCONT)
                host.process.kill()
        for host in self.hosts:
            if host.process is not None:
                host.process.wait()
        if os.environ.get("KEEP"):
            print(f"kept {self.folder}", file=sys.stderr)
        else:
            shutil.rmtree(self.folder, ignore_errors=True)


def call(address, port, method, path, body=None, headers=None, timeout=1.0):
    """Sends one request on a new channel. Returns status, headers and body, or None without an answer."""
    connection = http.client.HTTPConnection(address, port, timeout=timeout)
    try:
        connection.request(method, path, body=body, headers=headers or {})
        response = connection.getresponse()
        return response.status, dict(response.getheaders()), response.read()
    except (OSError, http.client.HTTPException):
        return None
    finally:
        connection.close()


class Operator:
    """Sends a change to one control host after the other until it is acknowledged, with growing pauses."""

    def __init__(self, deployment):
        self.deployment = deployment
        self.next = 0

    def choose(self):
        hosts = self.deployment.controls
        self.next += 1
        return hosts[self.next % len(hosts)]

    def replace(self, config, limit_s):
        """Returns whether the config was acknowledged within the limit."""
        record, body = self.deployment.record, json.dumps(config)
        until, pause = time.monotonic() + limit_s, 0.05
        answers = {}
        while time.monotonic() < until:
            host = self.choose()
            answer = call(host.address, self.deployment.ports["control"], "POST",
                          "/-/Config.Replace", body, {"Content-Type": "application/json"})
            status = answer[0] if answer else None
            answers[status] = answers.get(status, 0) + 1
            if status == 200:
                record.write(f"config {config['version']} is acknowledged by {host.name}")
                return True
            time.sleep(pause)
            pause = min(pause * 1.5, 0.5)
        record.write(f"config {config['version']} has no ack within {limit_s} s; answers: {answers}")
        return False

    def read(self, limit_s):
        """Returns the config that is read back within the limit, or None."""
        record = self.deployment.record
        until, answers = time.monotonic() + limit_s, {}
        while time.monotonic() < until:
            host = self.choose()
            answer = call(host.address, self.deployment.ports["control"], "GET", "/-/Config.Get")
            status = answer[0] if answer else None
            answers[status] = answers.get(status, 0) + 1
            if status == 200:
                config = json.loads(answer[2])
                record.write(f"config {config['version']} is read from {host.name}")
                return config
            time.sleep(0.2)
        record.write(f"no config is read within {limit_s} s; answers: {answers}")
        return None


def plain_config(version, kind="safe", **route):
    """Returns a config with one route to a plain service and one tenant."""
    entry = {
        "name": "r-1", "host": ROUTE_HOST, "pathPrefix": "/orders/", "kind": kind,
        "timeoutMs": 10000, "targetLatencyMs": 300, "priority": 1, "service": SERVICE,
        "maxAttempts": 2, "public": False, "sticky": False, "resumable": False,
    }
    entry.update(route)
    return {
        "version": version,
        "routes": [entry],
        "services": [{"name": SERVICE, "healthPath": "/health", "maxConns": 110,
                      "protocol": "h1", "tls": False}],
        "limits": {"maxHeaderBytes": 16384, "maxBodyBytes": 4194304, "headerTimeoutMs": 3000,
                   "idleTimeoutMs": 15000},
        "tenants": [{"name": "tenant-1", "apiKeys": [KEY], "priority": 1}],
    }


class Worker:
    """A sound worker of the plain service, which announces itself to the control hosts."""

    def __init__(self, deployment, number, name=None, work_s=0.015, slots=6):
        self.deployment = deployment
        self.address = deployment.address(100 + number)
        self.name = name or f"i-{number:04x}"
        self.zone = ZONES[number % len(ZONES)]
        self.work_s = work_s
        self.slots = slots
        self.born = int(time.time() * 1000)
        self.seq = 0
        self.state = "ready"
        self.runs = []
        self.is_up = True
        self.is_announcing = True
        self.lock = threading.Lock()
        deployment.workers.append(self)
        worker = self

        class Handler(BaseHTTPRequestHandler):
            protocol_version = "HTTP/1.1"

            def handle_request(self):
                worker.handle(self)

            do_GET = do_POST = handle_request

            def log_message(self, *_):
                pass

        class Server(ThreadingHTTPServer):
            daemon_threads = True
            request_queue_size = 128

            def handle_error(self, *_):
                pass

        self.server = Server((self.address, 8080), Handler)
        threading.Thread(target=self.server.serve_forever, args=(0.05,), daemon=True).start()
        threading.Thread(target=self.announce, daemon=True).start()

    def announcement(self):
        self.seq += 1
        return {"service": SERVICE, "address": f"{self.address}:8080", "zone": self.zone,
                "version": "v1", "slots": self.slots, "state": self.state, "coldLeftMs": 0,
                "seq": self.seq, "born": self.born}

    def ping(self, host):
        with self.lock:
            body = json.dumps(self.announcement())
        answer = call(host.address, self.deployment.ports["control"], "POST",
                      f"/-/Instances.Heartbeat/{self.name}", body,
                      {"Content-Type": "application/json"})
        return answer is not None and 200 <= answer[0] < 300

    def announce(self):
        while self.is_up and self.is_announcing:
            hosts = random.sample(self.deployment.controls, len(self.deployment.controls))
            any(self.ping(host) for host in hosts)
            time.sleep(HEARTBEAT_S)

    def handle(self, request):
        length = int(request.headers.get("Content-Length") or 0)
        body = request.rfile.read(length) if length else b""
        attempt = request.headers.get("Kumquatdrum-Attempt-Id", "")
        expected = request.headers.get("Kumquatdrum-Expect-Instance")
        if expected and expected != self.name:
            self.respond(request, 421, b"", {"Kumquatdrum-Attempt-Id": attempt,
                                             "Kumquatdrum-Not-Run": "1"})
            return
        if request.path in ("/health", "/-/report"):
            self.respond(request, 200, b"{}", {"Kumquatdrum-Instance-Id": self.name})
            return
        self.run(request, attempt, body)

    def run(self, request, attempt, body):
        self.record_run(attempt)
        time.sleep(self.work_s)
        self.respond(request, 200, b"done " + attempt.encode(), {
            "Kumquatdrum-Attempt-Id": attempt,
            "Kumquatdrum-Response-Stamp": f"{self.name}.{attempt}",
        })

    def record_run(self, attempt):
        with self.lock:
            self.runs.append((time.monotonic(), attempt))
        self.deployment.record.write(f"worker {self.name} runs {attempt}")

    @staticmethod
    def respond(request, status, body, headers):
        try:
            request.send_response(status)
            for name, value in headers.items():
                request.send_header(name, value)
            request.send_header("Content-Length", str(len(body)))
            request.end_headers()
            request.wfile.write(body)
        except OSError:
            pass

    def crash(self):
        if self.is_up:
            self.is_up = False
            self.server.shutdown()
            self.server.server_close()


def request(deployment, entry, attempt, deadline_ms=1000, method="POST", path="/orders/1"):
    """Sends a client's request. Returns the status, or None without an answer."""
    answer = call(entry.address, deployment.ports["front"], method, path,
                  b"{}" if method == "POST" else None,
                  {"Host": ROUTE_HOST, "Kumquatdrum-Attempt-Id": attempt,
                   "Kumquatdrum-Deadline-Ms": str(deadline_ms), "Kumquatdrum-Key": KEY},
                  timeout=deadline_ms / 1000)
    status = answer[0] if answer else None
    deployment.record.write(f"request {attempt} to {entry.name}: {status}")
    return status


def main(case, **size):
    """Runs a case with a deployment of a size, and exits with its outcome. The argument `calm` leaves out the
    disruption. The record is written to the folder of the program."""
    folder = os.path.dirname(os.path.abspath(sys.argv[0]))
    record = Record(folder)
    has_trouble = sys.argv[1:] != ["calm"]
    record.write("with the disruption" if has_trouble else "without the disruption")
    deployment = None
    try:
        deployment = Deployment(record, **size)
        is_broken = case(deployment, has_trouble)
    except Exception as reason:  # An error of the script says nothing about the rule.
        record.write(f"the case could not run: {reason!r}")
        outcome = NOT_RUN
    else:
        record.write("the rule was broken" if is_broken else "the rule held")
        outcome = FAILED if is_broken else HELD
    finally:
        if deployment is not None:
            deployment.stop()
    sys.exit(outcome)
