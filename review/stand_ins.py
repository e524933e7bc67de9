"""Stand-ins for the platform, the workers and the clients of a small deployment.

Hosts are started as the deploy file says (`target/release/kumquatdrum gateway --settings FILE`), with
the settings that `deploy/settings.json.template` gives for the site toonikaart-tartu. Each host has a
loopback address of its own.
"""

import asyncio
import json
import os
import random
import shutil
import signal
import socket
import struct
import subprocess
import tempfile
import time

ROOT = os.path.dirname(os.path.dirname(os.path.abspath(__file__)))
PROGRAM = os.path.join(ROOT, "target", "release", "kumquatdrum")
ZONES = ["hall-raatuse", "hall-ulikooli", "hall-ringtee"]
KEY = "n2ctnfzs989anu6wsjnb"
HOST = "ficu95.example"
# Requests to these paths are answered by a stream of events.
STREAMS = "/history/"
# The exit code of a case whose rule was broken. Python itself exits with 1 after an error, so `run.sh`
# translates this code.
BROKEN = 10


class CannotRun(Exception):
    """The case could not be run, which says nothing about the rule."""


def free_subnet():
    """Returns a 127.x.y prefix and ports that nothing listens on."""
    for _ in range(200):
        prefix = f"127.{random.randint(20, 120)}.{random.randint(1, 250)}"
        try:
            for host in range(1, 12):
                for port in (7340, 8220, 8227, 8229, 9464):
                    with socket.socket() as probe:
                        probe.bind((f"{prefix}.{host}", port))
            return prefix
        except OSError:
            continue
    raise CannotRun("no free loopback addresses")


class Record:
    """Collects what was sent, answered and run."""

    def __init__(self):
        self.lines = []
        self.start = time.monotonic()

    def add(self, text):
        self.lines.append(f"{time.monotonic() - self.start:8.3f} s  {text}")

    def write(self, path):
        with open(path, "w", encoding="utf-8") as file:
            file.write("\n".join(self.lines) + "\n")


class Cluster:
    """Control hosts and entry hosts, each a process with its own loopback address."""

    def __init__(self, cores=3, fronts=3):
        self.prefix = free_subnet()
        self.folder = tempfile.mkdtemp(prefix="kumquatdrum-review-")
        self.cores, self.fronts = cores, fronts
        self.processes = {}
        if not os.access(PROGRAM, os.X_OK):
            raise CannotRun("the program of the deploy file is not built")

    def address(self, host):
        return f"{self.prefix}.{host + 1}"

    def control(self, core):
        return (self.address(core), 8229)

    def front(self, number):
        return (self.address(self.cores + number), 8227)

    def ready(self, number):
        return (self.address(self.cores + number), 8220)

    def settings(self, host, bootstrap):
        address = self.address(host)
        listen = {"metrics": f"{address}:9464"}
        settings = {
            "name": f"host-{host}",
            "address": address,
            "data_centre": ZONES[host % 3],
            "listen": listen,
            "peer_port": 7340,
            "seeds": [f"{self.address(core)}:8229" for core in range(min(3, self.cores))],
            "cluster": {"name": "platform", "secret": "one platform, one cluster"},
            "announcement_ms": 1200,
            "lost_replicas": 1,
            "unused_memory_ms": 4000,
            "data_centres": ZONES,
            "drain_ms": 2000,
            "retries": {"ratio": 0.2, "slack": 104, "window_s": 10},
            "stop_ms": 8000,
        }
        if host < self.cores:
            listen["control"] = f"{address}:8229"
            settings["replica"] = {
                "data": os.path.join(self.folder, f"data-{host}"),
                "found": bootstrap,
            }
        else:
            listen["callers"] = f"{address}:8227"
            listen["health"] = f"{address}:8220"
        return settings

    def start(self, host, bootstrap=True):
        path = os.path.join(self.folder, f"host-{host}.json")
        with open(path, "w", encoding="utf-8") as file:
            json.dump(self.settings(host, bootstrap), file)
        log = open(os.path.join(self.folder, f"host-{host}.log"), "ab")
        self.processes[host] = subprocess.Popen(
            [PROGRAM, "gateway", "--settings", path], cwd=ROOT, stdout=log, stderr=log
        )
        log.close()

    def start_all(self):
        for host in range(self.cores + self.fronts):
            self.start(host)

    def signal(self, host, number):
        self.processes[host].send_signal(number)

    def stop(self):
        for process in self.processes.values():
            if process.poll() is None:
                process.send_signal(signal.SIGCONT)
                process.kill()
        for process in self.processes.values():
            process.wait()
        if os.environ.get("KEEP_LOGS"):
            print("logs:", self.folder)
        else:
            shutil.rmtree(self.folder, ignore_errors=True)


async def read_head(reader):
    """Reads a message head. Returns its first line and its headers, or None at the end."""
    head = await reader.readuntil(b"\r\n\r\n")
    lines = head.decode("latin-1").split("\r\n")
    headers = {}
    for line in lines[1:]:
        name, colon, value = line.partition(":")
        if colon:
            headers[name.strip().lower()] = value.strip()
    return lines[0], headers


async def read_body(reader, headers):
    if "chunked" in headers.get("transfer-encoding", ""):
        body = b""
        while True:
            size = int((await reader.readline()).split(b";")[0], 16)
            chunk = await reader.readexactly(size + 2)
            if size == 0:
                return body
            body += chunk[:-2]
    return await reader.readexactly(int(headers.get("content-length", 0)))


def message(first, headers, body=b""):
    lines = [first] + [f"{name}: {value}" for name, value in headers.items()]
    lines.append(f"Content-Length: {len(body)}")
    return "\r\n".join(lines).encode() + b"\r\n\r\n" + body


async def call(address, method, path, headers=None, body=b"", limit=1.0):
    """Sends one request on a new channel. Returns the status, headers and body."""

    async def exchange():
        reader, writer = await asyncio.open_connection(*address)
        try:
            headers_sent = {"Host": f"{address[0]}:{address[1]}"}
            headers_sent.update(headers or {})
            writer.write(message(f"{method} {path} HTTP/1.1", headers_sent, body))
            await writer.drain()
            first, got = await read_head(reader)
            return int(first.split(" ")[1]), got, await read_body(reader, got)
        finally:
            writer.close()

    return await asyncio.wait_for(exchange(), limit)


async def call_control(cluster, method, path, body=b"", limit=1.0, deadline=30.0, cores=None):
    """Sends a call to control hosts in turn until one answers with 200, as callers of control do."""
    until = time.monotonic() + deadline
    last = None
    cores = list(cores if cores is not None else range(cluster.cores))
    while time.monotonic() < until:
        for core in cores:
            try:
                status, _, answer = await call(
                    cluster.control(core),
                    method,
                    path,
                    {"Content-Type": "application/json"},
                    body,
                    limit,
                )
            except (OSError, asyncio.TimeoutError, asyncio.IncompleteReadError) as error:
                last = repr(error)
                continue
            if status == 200:
                return core, answer
            last = status
        await asyncio.sleep(0.1)
    raise CannotRun(f"{method} {path} is not acknowledged: {last}")


async def apply(cluster, config, **options):
    body = json.dumps(config).encode()
    return await call_control(cluster, "POST", "/-/Config.Replace", body, limit=3.0, **options)


class Worker:
    """A worker of a plain service: slots, a short queue, and the announcements of PROTOCOL.md."""

    def __init__(self, cluster, record, number, service, zone, slots=6, queue=4, work_s=0.06):
        self.cluster, self.record = cluster, record
        self.id = f"i-{random.getrandbits(40):010x}"
        self.service, self.zone = service, zone
        self.address = (f"{cluster.prefix}.{200 + number}", 8708)
        self.slots, self.queue, self.work_s = slots, queue, work_s
        self.places = asyncio.Semaphore(slots)
        self.running = self.waiting = 0
        self.sequence = 0
        self.born = int(time.time() * 1000)
        self.ran = {}
        self.rejected = 0
        self.state = "ready"
        # Decides, for a request that ran, whether its answer is lost.
        self.loses_answer = lambda attempt: False
        # The number of events of a stream, and the time between them.
        self.events, self.gap_s = 20, 0.05
        self.tasks = []
        self.server = None

    async def start(self):
        self.server = await asyncio.start_server(self.serve, *self.address)
        self.tasks.append(asyncio.create_task(self.announce()))

    def stop(self):
        for task in self.tasks:
            task.cancel()
        if self.server:
            self.server.close()

    def announcement(self):
        self.sequence += 1
        return json.dumps(
            {
                "service": self.service,
                "address": f"{self.address[0]}:{self.address[1]}",
                "zone": self.zone,
                "version": "v1",
                "slots": self.slots,
                "state": self.state,
                "coldLeftMs": 0,
                "seq": self.sequence,
                "born": self.born,
                "stage": "both",
                "models": [{"name": "m", "version": 1, "adapters": []}],
            }
        ).encode()

    async def announce(self):
        core = random.randrange(self.cluster.cores)
        while True:
            for _ in range(self.cluster.cores):
                try:
                    status, _, _ = await call(
                        self.cluster.control(core),
                        "POST",
                        f"/-/Instances.Heartbeat/{self.id}",
                        {"Content-Type": "application/json"},
                        self.announcement(),
                    )
                    if 200 <= status < 300:
                        break
                except (OSError, asyncio.TimeoutError, asyncio.IncompleteReadError):
                    pass
                core = (core + 1) % self.cluster.cores
            await asyncio.sleep(1.2)

    async def serve(self, reader, writer):
        try:
            while True:
                first, headers = await read_head(reader)
                body = await read_body(reader, headers)
                if first.split(" ")[1].startswith(STREAMS):
                    await self.stream(writer, headers)
                    continue
                answer = await self.answer(first, headers, body)
                if answer is None:
                    sock = writer.get_extra_info("socket")
                    sock.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, struct.pack("ii", 1, 0))
                    writer.transport.abort()
                    return
                writer.write(answer)
                await writer.drain()
        except (OSError, asyncio.IncompleteReadError, asyncio.CancelledError):
            pass
        finally:
            writer.close()

    def head(self, attempt):
        load = f"{self.running},{self.waiting},{self.slots}"
        headers = {"Kumquatdrum-Server-Load": load, "Kumquatdrum-Instance-Id": self.id}
        if attempt:
            headers["Kumquatdrum-Attempt-Id"] = attempt
            headers["Kumquatdrum-Response-Stamp"] = f"{self.id}.{attempt}"
            headers["Kumquatdrum-Weight-Versions"] = "1"
        return headers

    async def stream(self, writer, headers):
        """Answers with a stream of events, from the one after `Last-Event-Id` on."""
        attempt = headers.get("kumquatdrum-attempt-id", "")
        if headers.get("kumquatdrum-expect-instance", self.id) != self.id:
            rejected = {**self.head(attempt), "Kumquatdrum-Not-Run": "1", "At-Server": self.id}
            writer.write(message("HTTP/1.1 421 Misdirected Request", rejected))
            return
        self.ran[attempt] = self.ran.get(attempt, 0) + 1
        self.record.add(f"worker {self.id} runs {attempt}")
        lines = ["HTTP/1.1 200 OK"]
        lines += [f"{name}: {value}" for name, value in self.head(attempt).items()]
        lines += ["Content-Type: text/event-stream", "Transfer-Encoding: chunked"]
        writer.write("\r\n".join(lines).encode() + b"\r\n\r\n")
        self.running += 1
        try:
            gap_s = self.gap_s
            for number in range(int(headers.get("last-event-id", 0)) + 1, self.events + 1):
                event = f"id: {number}\ndata: {attempt} {number}\n\n".encode()
                writer.write(f"{len(event):x}\r\n".encode() + event + b"\r\n")
                await writer.drain()
                await asyncio.sleep(gap_s)
                if writer.transport.is_closing():
                    self.record.add(f"worker {self.id}: the channel of {attempt} is closed")
                    return
            writer.write(b"0\r\n\r\n")
            await writer.drain()
            self.record.add(f"worker {self.id} has made all events of {attempt}")
        finally:
            self.running -= 1

    async def answer(self, first, headers, body):
        """Runs a request. Returns the answer, or None if it is lost and the channel is reset."""
        _, path, _ = first.split(" ")
        attempt = headers.get("kumquatdrum-attempt-id", "")
        if path == "/health":
            return message("HTTP/1.1 200 OK", self.head(""), b"ok")
        if path in ("/-/order", "/-/report"):
            return message("HTTP/1.1 200 OK", {"Content-Type": "application/json"}, b'{"free":0}')
        if headers.get("kumquatdrum-expect-instance", self.id) != self.id:
            rejected = {**self.head(attempt), "Kumquatdrum-Not-Run": "1"}
            return message("HTTP/1.1 421 Misdirected Request", rejected)
        if self.running >= self.slots and self.waiting >= self.queue:
            self.rejected += 1
            self.record.add(f"worker {self.id} is full and rejects {attempt}: 503, not run")
            rejected = {**self.head(attempt), "Kumquatdrum-Not-Run": "1"}
            return message("HTTP/1.1 503 Service Unavailable", rejected, b"full")
        self.waiting += 1
        async with self.places:
            self.waiting -= 1
            self.running += 1
            self.ran.setdefault(attempt, 0)
            self.ran[attempt] += 1
            self.record.add(f"worker {self.id} runs {attempt}")
            await asyncio.sleep(self.work_s * random.uniform(0.7, 1.3))
            self.running -= 1
        if self.loses_answer(attempt):
            self.record.add(f"worker {self.id} has run {attempt}, and its answer is lost")
            return None
        return message("HTTP/1.1 200 OK", self.head(attempt), b"done " + attempt.encode())


async def stream(address, path, headers, patience_s, limit):
    """Sends a request for a stream. Returns the status, the events and whether the stream is whole.

    The client leaves after a gap of `patience_s` or after `limit`; the status is then `left`.
    """
    reader, writer = await asyncio.open_connection(*address)
    started = time.monotonic()
    events = b""
    try:
        writer.write(message(f"POST {path} HTTP/1.1", headers, b"{}"))
        await writer.drain()
        first, got = await asyncio.wait_for(read_head(reader), limit)
        status = int(first.split(" ")[1])
        if status != 200:
            await read_body(reader, got)
            return status, events, True
        while True:
            left = started + limit - time.monotonic()
            line = await asyncio.wait_for(reader.readline(), min(patience_s, left))
            size = int(line.split(b";")[0], 16)
            chunk = await asyncio.wait_for(reader.readexactly(size + 2), patience_s)
            if size == 0:
                return status, events, True
            events += chunk[:-2]
    except asyncio.TimeoutError:
        return "left", events, False
    except (OSError, ValueError, asyncio.IncompleteReadError):
        return "cut", events, False
    finally:
        writer.close()


def config(version, routes, services):
    return {
        "version": version,
        "routes": routes,
        "services": services,
        "limits": {
            "maxHeaderBytes": 16384,
            "maxBodyBytes": 4194304,
            "headerTimeoutMs": 3000,
            "idleTimeoutMs": 15000,
        },
        "tenants": [{"name": "hule930", "apiKeys": [KEY], "priority": 1}],
    }


def route(name, prefix, kind, service, timeout_ms, aim_ms, attempts, **more):
    return {
        "name": name,
        "host": HOST,
        "pathPrefix": prefix,
        "kind": kind,
        "timeoutMs": timeout_ms,
        "targetLatencyMs": aim_ms,
        "priority": 2,
        "service": service,
        "maxAttempts": attempts,
        "public": False,
        "sticky": False,
        "resumable": False,
        **more,
    }


def engine_service(name):
    """Returns the declaration of a service of model workers, with the figures of the site."""
    return {
        "name": name,
        "healthPath": "/health",
        "maxConns": 274,
        "protocol": "h1",
        "tls": False,
        "engine": {
            "slots": 16,
            "kvCapacityTokens": 315000,
            "stride": 51,
            "models": [{"name": "m"}],
            "step_ms": 0.85,
            "per_seq_ms": 0.00425,
            "context_per_k": 0.00285,
            "read_per_s": 177000.0,
            "pairs_per_m": 0.184,
            "chunk": 2048,
            "report_lag_ms": 200.0,
            "usual": {"prompt": 11108, "answer": 1622},
            "hopMs": 0.05,
        },
    }


def prompt_headers(attempt, deadline_ms, prompt_tokens=4960, answer_tokens=1000):
    """Returns the headers of a request with a prompt, by default of the size of a shade-match."""
    return {
        **client_headers(attempt, deadline_ms),
        "Kumquatdrum-Model": "m",
        "Kumquatdrum-Token-Count": f"{prompt_tokens},{answer_tokens}",
        "Kumquatdrum-Prompt-Prefix": f"{random.getrandbits(32):x}:{prompt_tokens}",
    }


def client_headers(attempt, deadline_ms):
    return {
        "Host": HOST,
        "Kumquatdrum-Attempt-Id": attempt,
        "Kumquatdrum-Deadline-Ms": str(deadline_ms),
        "Kumquatdrum-Key": KEY,
    }


async def wait_until_served(cluster, path, deadline=40.0):
    """Waits until each entry host serves a request."""
    until = time.monotonic() + deadline
    for number in range(cluster.fronts):
        while True:
            attempt = f"{random.getrandbits(64):016x}"
            try:
                status, _, _ = await call(
                    cluster.front(number), "POST", path, client_headers(attempt, 3000), b"x", 4.0
                )
                if status == 200:
                    break
            except (OSError, asyncio.TimeoutError, asyncio.IncompleteReadError):
                pass
            if time.monotonic() > until:
                raise CannotRun(f"entry host {number} does not serve")
            await asyncio.sleep(0.2)


async def wait_until_streamed(cluster, path, deadline=40.0):
    """Waits until each entry host serves a stream."""
    until = time.monotonic() + deadline
    for number in range(cluster.fronts):
        while True:
            attempt = f"{random.getrandbits(64):016x}"
            headers = prompt_headers(attempt, 5000)
            try:
                got = await stream(cluster.front(number), path, headers, 2.0, 5.0)
                if got[0] == 200 and got[2]:
                    break
            except OSError:
                pass
            if time.monotonic() > until:
                raise CannotRun(f"entry host {number} does not serve")
            await asyncio.sleep(0.2)


def main(folder, play):
    """Runs a case. Returns `BROKEN` if the rule was broken, 0 if it held, 2 if the case could not run."""
    record = Record()
    cluster = None
    try:
        cluster = Cluster()
        with_trouble = os.environ.get("TROUBLE", "1") != "0"
        is_broken = asyncio.run(asyncio.wait_for(play(cluster, record, with_trouble), 110))
        return BROKEN if is_broken else 0
    except Exception as error:  # noqa: BLE001
        record.add(f"the case could not run: {error!r}")
        print("the case could not run:", repr(error))
        return 2
    finally:
        if cluster:
            cluster.stop()
        record.write(os.path.join(folder, "record.txt"))
