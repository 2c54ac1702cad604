"""Stand-ins for the platform of a small deployment: metadata store, workers, platform
(settings, start and restart of processes, relays) and clients.

Only the standard library is used. Every address is a loopback address.
"""

import asyncio
import base64
import ctypes
import json
import os
import random
import re
import shutil
import signal
import socket
import subprocess
import sys
import tempfile
import time
from pathlib import Path
from urllib.parse import parse_qs, unquote, urlsplit

REPOSITORY = Path(__file__).resolve().parents[2]
SERVICE = "proof-desk"
HOST = "desk.example"
PREFIX = "/proof/"

# Bounds of the small deployments, as SYSTEM.md states them.
BOUNDS = {
    "seed_lag_s": 3, "reuse_after_s": 2, "contact_ms": 3000, "ack_ms": 4000,
    "catch_up_s": 4, "drain_ms": 2000, "grace_s": 6, "loss_slack_ms": 200,
    "config_apply_ms": 2000, "rollback_slack_ms": 250, "max_stretch_ms": 5000,
    "evacuate_ms": 5000, "recovery_s": 12, "hold_max_ms": 1000, "stop_timeout_ms": 50,
    "gang_timeout_ms": 3000, "cancel_ms": 3000, "visible_ms": 3000, "early_ms": 250,
    "finish_s": 14, "status_s": 120, "remote_factor": 1.5, "checkpoint_s": 2,
    "restore_ms": 600, "retransmit_ms": 1300, "require_fencing": False,
}
HEARTBEAT_S = 1.5


class Record:
    """What was sent, answered and run, with seconds since the start."""

    def __init__(self, path):
        self.file = open(path, "w", encoding="utf-8")
        self.started = time.monotonic()

    def now(self):
        return time.monotonic() - self.started

    def __call__(self, text):
        self.file.write(f"{self.now():9.3f}  {text}\n")
        self.file.flush()


# --- HTTP -----------------------------------------------------------------------------

REASONS = {200: "OK", 400: "Bad Request", 404: "Not Found", 409: "Conflict",
           410: "Gone", 412: "Precondition Failed", 421: "Misdirected Request",
           503: "Service Unavailable"}


async def read_message(reader):
    """Reads the head and the body of a request or response; None at the end."""
    try:
        head = await reader.readuntil(b"\r\n\r\n")
    except (asyncio.IncompleteReadError, ConnectionError):
        return None
    first, *lines = head.decode("latin-1").split("\r\n")
    headers = {}
    for line in lines:
        if ":" in line:
            name, value = line.split(":", 1)
            headers[name.strip().lower()] = value.strip()
    length = int(headers.get("content-length", 0))
    try:
        body = await reader.readexactly(length) if length else b""
    except (asyncio.IncompleteReadError, ConnectionError):
        return None
    return first, headers, body


class Server:
    """An HTTP/1.1 server; `handle` returns a status and a JSON document."""

    def __init__(self, handle):
        self.handle = handle
        self.server = None
        self.tasks = set()

    async def start(self, address):
        self.server = await asyncio.start_server(self.serve, *address, limit=1 << 22)

    async def serve(self, reader, writer):
        task = asyncio.current_task()
        self.tasks.add(task)
        try:
            while (message := await read_message(reader)) is not None:
                first, headers, body = message
                method, target, _ = first.split(" ", 2)
                status, document = await self.handle(method, target, headers, body)
                data = b"" if document is None else json.dumps(document).encode()
                writer.write(
                    f"HTTP/1.1 {status} {REASONS.get(status, 'Status')}\r\n"
                    f"content-type: application/json\r\ncontent-length: {len(data)}\r\n\r\n"
                    .encode() + data)
                await writer.drain()
        except (ConnectionError, asyncio.CancelledError):
            pass
        finally:
            self.tasks.discard(task)
            writer.close()

    async def stop(self):
        self.server.close()
        for task in list(self.tasks):
            task.cancel()


# --- The metadata store ---------------------------------------------------------------


class Store:
    def __init__(self, record):
        self.record = record
        self.items = {}
        self.history = []
        self.leases = {}
        self.revision = 1
        self.next_lease = 1000
        self.changed = asyncio.Condition()
        self.server = Server(self.handle)

    async def set(self, key, document, lease=0):
        await self.write(key, json.dumps(document).encode(), lease)

    async def write(self, key, value, lease=0):
        self.revision += 1
        created = self.items.get(key, {}).get("created", self.revision)
        self.items[key] = {
            "key": key, "value": base64.b64encode(value).decode(),
            "revision": self.revision, "created": created, "lease_id": lease,
        }
        self.history.append(dict(self.items[key]))
        async with self.changed:
            self.changed.notify_all()

    async def remove(self, key):
        if self.items.pop(key, None) is None:
            return
        self.revision += 1
        self.history.append({"key": key, "revision": self.revision, "deleted": True})
        async with self.changed:
            self.changed.notify_all()

    async def expire(self):
        """Ends the leases that were not renewed."""
        while True:
            await asyncio.sleep(0.1)
            now = time.monotonic()
            for lease, (until, _) in list(self.leases.items()):
                if now > until:
                    del self.leases[lease]
                    for item in list(self.items.values()):
                        if item["lease_id"] == lease:
                            await self.remove(item["key"])

    async def handle(self, method, target, headers, body):
        parts = urlsplit(target)
        query = {name: values[0] for name, values in parse_qs(parts.query).items()}
        path = parts.path
        await asyncio.sleep(0.004)
        if path == "/v1/kv-key":
            item = self.items.get(query.get("key"))
            return (404, {}) if item is None else (200, {**item, "as_of": self.revision})
        if path == "/v1/kv-range":
            after = query.get("after", "")
            items = sorted(self.items.values(), key=lambda item: item["key"])
            items = [item for item in items
                     if item["key"].startswith(query["prefix"]) and item["key"] > after]
            return 200, {"items": items[:500], "has_more": len(items) > 500,
                         "as_of": self.revision}
        if path == "/v1/kv-watch":
            return await self.watch(query)
        if path == "/v1/kv-txn":
            return await self.transact(json.loads(body))
        if path == "/v1/kv-lease":
            self.next_lease += 1
            ttl = json.loads(body)["ttl_ms"]
            self.leases[self.next_lease] = (time.monotonic() + ttl / 1000, ttl)
            return 200, {"lease_id": self.next_lease, "ttl_ms": ttl}
        if path.startswith("/v1/kv-keep/"):
            lease = int(path.rsplit("/", 1)[1])
            if lease not in self.leases:
                return 404, {}
            ttl = self.leases[lease][1]
            self.leases[lease] = (time.monotonic() + ttl / 1000, ttl)
            return 200, {"ttl_ms": ttl}
        if path.startswith("/v1/kv-lease-end/"):
            self.leases.pop(int(path.rsplit("/", 1)[1]), None)
            return 200, {}
        return 404, {}

    async def watch(self, query):
        prefix, after = query["prefix"], int(query["after"])
        until = time.monotonic() + int(query.get("wait_ms", 0)) / 1000
        while True:
            events = [event for event in self.history
                      if event["revision"] > after and event["key"].startswith(prefix)]
            left = until - time.monotonic()
            if events or left <= 0:
                return 200, {"events": events, "as_of": self.revision}
            async with self.changed:
                try:
                    await asyncio.wait_for(self.changed.wait(), left)
                except asyncio.TimeoutError:
                    pass

    async def transact(self, body):
        for row in body.get("precondition", []):
            item = self.items.get(row["key"])
            if (item["revision"] if item else 0) != row["revision"]:
                return 412, {"items": [item] if item else []}
        for row in body.get("set_keys", []):
            lease = row.get("lease_id", 0)
            if lease and lease not in self.leases:
                return 404, {}
            await self.write(row["key"], base64.b64decode(row["value"]), lease)
        for key in body.get("remove", []):
            await self.remove(key)
        return 200, {"revision": self.revision}


# --- Workers --------------------------------------------------------------------------


class Worker:
    """A worker that starts whatever it is told to start. The spec of a job is a JSON
    document whose `ms` lists the run time of the tasks of each step; with null they work
    until the case lets them end."""

    def __init__(self, record, name, address, control, zone, audit):
        self.record, self.name, self.address = record, name, address
        self.control, self.zone, self.audit = control, zone, audit
        audit.workers.append(self)
        self.id = f"i-{random.getrandbits(32):08x}"
        self.born = int(time.time() * 1000)
        self.started = time.monotonic()
        self.capacity = {"cpu": 64000, "ram_mb": 262144, "gpu": 0}
        self.labels = ["a", f"r-{zone}"]
        self.running = {}
        self.highest = {}
        self.ended = []
        self.number = 0
        self.token = 0
        self.deadline = 0
        self.seq = 0
        self.state = "ready"
        self.changed = asyncio.Event()
        self.server = Server(self.handle)

    def clock(self):
        return int((time.monotonic() - self.started) * 1000) + 1000

    async def start(self):
        await self.server.start(self.address)
        return [asyncio.create_task(self.beat()), asyncio.create_task(self.work())]

    def end(self, task, how):
        run = self.running.pop(task)
        self.highest[task] = max(self.highest.get(task, 0), run["attempt"])
        self.number += 1
        self.ended.append([self.number, task, run["attempt"], how, ""])
        self.audit.ended(self.name, task, run["attempt"], how)
        self.changed.set()

    async def work(self):
        while True:
            await asyncio.sleep(0.002)
            self.sweep()

    def sweep(self):
        """Ends the runs that are done or have no lease any longer."""
        now = self.clock()
        for task, run in list(self.running.items()):
            if now >= self.deadline:
                self.end(task, "lapsed")
            elif run["due"] is None:
                if self.audit.released.is_set():
                    self.end(task, "done")
            elif now >= run["due"]:
                self.end(task, "done")

    def extend(self, body):
        if "deadline_ms" in body:
            most = self.clock() + BOUNDS["hold_max_ms"]
            self.deadline = max(self.deadline, min(body["deadline_ms"], most))

    async def handle(self, method, target, headers, body):
        body = json.loads(body) if body else {}
        expected = headers.get("x-expect-instance")
        if expected not in (None, self.id):
            return 421, {}
        token = body.get("fencing_token", 0)
        if token < self.token:
            return 409, {"clock_ms": self.clock(), "reason": "fence"}
        self.token = token
        if target == "/v1/run-start":
            return self.run_start(body)
        if target == "/v1/run-stop":
            task, attempt = body["task"], body["attempt"]
            run = self.running.get(task)
            if run is not None and run["attempt"] <= attempt:
                self.end(task, "stopped")
            self.highest[task] = max(self.highest.get(task, 0), attempt)
            return 200, {"clock_ms": self.clock()}
        if target == "/v1/hold":
            return await self.hold(body)
        return 404, {}

    def run_start(self, body):
        task, attempt = body["task"], body["attempt"]
        self.audit.sweep()
        run = self.running.get(task)
        if run is not None and run["attempt"] == attempt:
            self.extend(body)
            return 200, {"clock_ms": self.clock()}
        if body["deadline_ms"] <= self.clock():
            return 409, {"clock_ms": self.clock(), "reason": "late"}
        self.extend(body)
        if run is not None or attempt <= self.highest.get(task, 0):
            return 409, {"clock_ms": self.clock(), "reason": "old"}
        step = int(task.split(".")[2])
        run_time = json.loads(body["spec"])["ms"][step]
        due = None if run_time is None else self.clock() + run_time
        self.running[task] = {"attempt": attempt, "due": due, "from": self.clock(),
                              "run_time": run_time or 20000}
        self.audit.begun(self.name, task, attempt)
        return 200, {"clock_ms": self.clock()}

    async def hold(self, body):
        cursor = body.get("ack_cursor", 0)
        self.ended = [row for row in self.ended if row[0] > cursor]
        self.extend(body)
        until = time.monotonic() + body.get("wait_ms", 0) / 1000
        while not self.ended and (left := until - time.monotonic()) > 0:
            self.changed.clear()
            try:
                await asyncio.wait_for(self.changed.wait(), left)
            except asyncio.TimeoutError:
                pass
        running = [[task, run["attempt"], "", self.percent(run), 0]
                   for task, run in self.running.items()]
        return 200, {"clock_ms": self.clock(), "born": self.born, "running": running,
                     "ended": self.ended[:500]}

    def percent(self, run):
        return min(99, 100 * (self.clock() - run["from"]) // run["run_time"])

    async def beat(self):
        while True:
            self.seq += 1
            body = {
                "service": SERVICE, "address": "%s:%d" % self.address, "zone": self.zone,
                "version": "v1", "slots": 8, "state": self.state, "cold_remaining_ms": 0,
                "capacity": self.capacity, "labels": self.labels, "clock_ms": self.clock(),
                "seq": self.seq, "born": self.born,
            }
            answer = await call(self.control, "POST",
                                f"/v1/Instances.Heartbeat/{self.id}", body, timeout=1)
            await asyncio.sleep(HEARTBEAT_S if answer.status == 200 else 0.3)


class Audit:
    """The starts and ends that the workers have seen."""

    def __init__(self, record):
        self.record = record
        self.workers = []
        self.starts = []
        self.overlaps = []
        self.open = {}
        self.released = asyncio.Event()

    def sweep(self):
        """Brings all workers up to date, before one of them starts a task."""
        for worker in self.workers:
            worker.sweep()

    def begun(self, worker, task, attempt):
        self.starts.append((time.monotonic(), task, worker))
        for other in self.open.get(task, ()):
            self.overlaps.append(f"{task} starts on {worker} while it runs on {other}")
        self.open.setdefault(task, set()).add(worker)
        self.record(f"worker {worker}: starts {task} attempt {attempt}")

    def ended(self, worker, task, attempt, how):
        self.open.get(task, set()).discard(worker)
        self.record(f"worker {worker}: {task} attempt {attempt} ends {how}")

    def starts_of(self, job):
        return [start for start in self.starts if start[1].startswith(job)]


# --- Clients --------------------------------------------------------------------------


class Answer:
    def __init__(self, status, body=None):
        self.status, self.body = status, body
        self.at = time.monotonic()

    def __str__(self):
        return f"{self.status} {self.body}" if self.status else f"no answer ({self.body})"


async def call(address, method, path, document=None, headers=None, timeout=30):
    """Makes one call on a connection of its own. The status is 0 without an answer."""
    writer = None
    try:
        reader, writer = await asyncio.wait_for(asyncio.open_connection(*address), timeout)
        body = b"" if document is None else json.dumps(document).encode()
        lines = [f"{method} {path} HTTP/1.1", "content-type: application/json",
                 f"content-length: {len(body)}"]
        lines += [f"{name}: {value}" for name, value in (headers or {}).items()]
        if not any(line.lower().startswith("host:") for line in lines):
            lines.append("host: %s:%d" % address)
        writer.write("\r\n".join(lines).encode() + b"\r\n\r\n" + body)
        message = await asyncio.wait_for(read_message(reader), timeout)
        if message is None:
            return Answer(0, "the connection broke")
        first, _, body = message
        return Answer(int(first.split(" ")[1]), body.decode(errors="replace"))
    except asyncio.TimeoutError:
        return Answer(0, "time-out")
    except OSError as error:
        return Answer(0, type(error).__name__)
    finally:
        if writer is not None:
            writer.close()


def new_job():
    return f"{random.getrandbits(64):016x}"


def job_document(phases, milliseconds):
    """A job that needn't be kept; `milliseconds` lists the run time by step."""
    return {"spec": json.dumps({"ms": milliseconds}), "phases": phases, "best_effort": True}


# --- Relays between machines -----------------------------------------------------------


class Relay:
    """Passes connections to an entry on. It learns from the first bytes which machine
    has connected, and holds back all bytes between machines that are cut off."""

    def __init__(self, site, owner, address, target):
        self.site, self.owner = site, owner
        self.address, self.target = address, target
        self.server = None
        self.open = []

    async def start(self):
        self.server = await asyncio.start_server(self.serve, *self.address)

    def silence(self, machine):
        """Loses track of the open connections of a machine, which go silent for good."""
        for peer, silent in self.open:
            if machine in (peer, self.owner):
                silent.set()

    async def serve(self, reader, writer):
        first = await reader.read(4096)
        found = re.search(rb"(edge|side)-[a-z]+", first)
        peer = found.group().decode() if found else "?"
        await self.site.wait_for_path(peer, self.owner)
        try:
            other_reader, other_writer = await asyncio.open_connection(*self.target)
        except OSError:
            writer.close()
            return
        other_writer.write(first)
        silent = asyncio.Event()
        self.open.append((peer, silent))
        await asyncio.gather(self.copy(peer, silent, reader, other_writer),
                             self.copy(peer, silent, other_reader, writer))

    async def copy(self, peer, silent, reader, writer):
        try:
            while data := await reader.read(65536):
                await self.site.wait_for_path(peer, self.owner)
                if silent.is_set():
                    return
                writer.write(data)
                await writer.drain()
        except OSError:
            pass
        finally:
            await self.site.wait_for_path(peer, self.owner)
            if not silent.is_set():
                writer.close()


# --- The platform -----------------------------------------------------------------------


def lookup(scopes, name):
    if name == ".":
        return scopes[-1]
    for scope in reversed(scopes):
        value = scope
        for part in name.split("."):
            if isinstance(value, dict):
                value = value.get(part)
            elif isinstance(value, list) and part.isdigit() and int(part) < len(value):
                value = value[int(part)]
            else:
                value = None
        if value is not None:
            return value
    return None


def text_of(value):
    if value is None:
        return ""
    if isinstance(value, bool):
        return "true" if value else "false"
    if isinstance(value, list):
        return ",".join(text_of(entry) for entry in value)
    return json.dumps(value) if isinstance(value, dict) else str(value)


def fill(template, scopes):
    """Fills a settings template as DEPLOY.md says."""
    pattern = re.compile(r"\{\{([#^])([^}]+)\}\}(.*?)\{\{/\2\}\}", re.S)

    def section(match):
        kind, name, inner = match.groups()
        value = lookup(scopes, name)
        if kind == "^":
            return fill(inner, scopes) if value in (None, False) else ""
        if value in (None, False):
            return ""
        entries = value if isinstance(value, list) else [value]
        return "".join(fill(inner, scopes + [entry]) for entry in entries)

    text = pattern.sub(section, template)
    return re.sub(r"\{\{([^}#^/|]+)\}\}", lambda match: text_of(lookup(scopes, match[1])), text)


def read_roles(path):
    """Returns the commands and templates of the deploy file, by role."""
    roles, role = {}, None
    for line in path.read_text().splitlines():
        if section := re.match(r"\[(?:roles\.([\w-]+))?", line.strip()):
            role = section[1]
        elif role and (pair := re.match(r'(\w+)\s*=\s*"(.*)"', line.strip())):
            roles.setdefault(role, {})[pair[1]] = pair[2]
    return roles


LIBC = ctypes.CDLL(None)
PR_SET_PDEATHSIG = 1


def end_with_parent():
    """Has the kernel kill a child process if the script ends first."""
    LIBC.prctl(PR_SET_PDEATHSIG, signal.SIGKILL)


class Process:
    def __init__(self, site, name, role, settings, address):
        self.site, self.name, self.role = site, name, role
        self.settings, self.address = settings, address
        self.child = None

    def start(self):
        environment = {name: os.environ[name] for name in ("PATH", "HOME", "LANG")
                       if name in os.environ}
        environment["HYSSOPPOST_BOOT"] = str(self.settings)
        log = open(self.site.folder / f"{self.name}.log", "ab")
        command = self.site.roles[self.role]["run"].split()
        self.child = subprocess.Popen(command, cwd=REPOSITORY, env=environment, stdout=log,
                                      stderr=log, stdin=subprocess.DEVNULL,
                                      preexec_fn=end_with_parent)
        log.close()
        self.site.record(f"platform: {self.name} is started")

    def kill(self, how=signal.SIGKILL):
        os.kill(self.child.pid, how)
        self.site.record(f"platform: {self.name} gets {signal.Signals(how).name}")
        if how == signal.SIGKILL:
            self.child.wait()


class Site:
    """Three zones with an entry, and sides with a worker each, in each of them."""

    def __init__(self, record, zones=("nord", "sud", "vest"), sides_per_zone=1,
                 with_relays=False):
        self.record, self.zones = record, zones
        self.folder = Path(tempfile.mkdtemp(prefix="hyssop-review-"))
        self.roles = read_roles(REPOSITORY / "deploy/system.toml")
        self.audit = Audit(record)
        self.store = Store(record)
        self.entries, self.sides, self.workers, self.relays = {}, {}, {}, []
        self.tasks = []
        self.cut_zone = None
        self.healed = asyncio.Event()
        self.healed.set()
        self.sides_per_zone, self.with_relays = sides_per_zone, with_relays
        self.network = random.SystemRandom().randrange(20, 250)
        self.next_host = 10

    def host(self):
        """Returns a loopback address on which the ports of a machine are free."""
        while True:
            self.next_host += 1
            if self.next_host > 250:
                self.network, self.next_host = random.SystemRandom().randrange(20, 250), 11
            ip = f"127.{self.network}.7.{self.next_host}"
            try:
                for port in (8161, 8165, 8166, 8167, 8168, 8169, 7735, 9464):
                    with socket.socket() as probe:
                        probe.setsockopt(socket.SOL_SOCKET, socket.SO_REUSEADDR, 1)
                        probe.bind((ip, port))
                return ip
            except OSError:
                continue

    def zone_of(self, machine):
        return machine.split("-")[1] if "-" in machine else None

    async def wait_for_path(self, one, other):
        while self.cut_zone is not None and (
                (self.zone_of(one) == self.cut_zone) != (self.zone_of(other) == self.cut_zone)):
            await self.healed.wait()

    def cut(self, zone):
        self.record(f"network: zone {zone} is cut off from the others")
        self.cut_zone = zone
        self.healed.clear()

    def heal(self):
        self.record("network: the cut has healed")
        self.cut_zone = None
        self.healed.set()

    def configuration(self, version=1):
        route = {"name": "r-proof", "host": HOST, "prefix": PREFIX, "kind": "non_idempotent",
                 "timeout_ms": 30000, "target_latency_ms": 60, "priority": 0,
                 "service": SERVICE, "max_attempts": 3, "slack_factor": 1.6}
        service = {"name": SERVICE, "health_path": "/healthz", "max_conns": 64,
                   "protocol": "h1", "tls": False, "cold_start_s": 0.0, "cold_per_s": 0.0,
                   "preconditions": False, "standby": False}
        limits = {"max_header_bytes": 16384, "max_body_bytes": 262144,
                  "header_timeout_ms": 3000, "idle_timeout_ms": 15000}
        return {"version": version, "routes": [route], "services": [service],
                "limits": limits}

    def settings(self, name, machine_class, zone, ip, seeds, extra):
        fields = {
            "node_name": name, "role": machine_class, "machine_class": machine_class,
            "ip": ip, "zone": zone, "region": "ro", "internal_ports": [7720, 7735],
            "seeds": seeds, "bootstrap": True, "heartbeat_ms": int(HEARTBEAT_S * 1000),
            "bounds": BOUNDS, "platform": {"address": "%s:%d" % self.store_address},
            **extra,
        }
        role = "entry" if machine_class == "edge" else "side"
        template = (REPOSITORY / self.roles[role]["template"]).read_text()
        return role, fill(template, [fields])

    async def start(self):
        store_ip = self.host()
        self.store_address = (store_ip, 8169)
        await self.store.server.start(self.store_address)
        self.tasks.append(asyncio.create_task(self.store.expire()))
        await self.store.set("op/config", self.configuration())
        edges = {zone: self.host() for zone in self.zones}
        port = 8168 if self.with_relays else 8166
        seeds = [f"{ip}:{port}" for ip in edges.values()]
        for zone, ip in edges.items():
            name = f"edge-{zone}"
            if self.with_relays:
                relay = Relay(self, name, (ip, 8168), (ip, 8166))
                await relay.start()
                self.relays.append(relay)
            addresses = {"frontend": f"{ip}:8161", "readiness": f"{ip}:8167",
                         "control": f"{ip}:8166"}
            role, text = self.settings(name, "edge", zone, ip, seeds, {
                "bind_addrs": addresses,
                "limits": {"cpu_quota": 0.25, "cores": 1, "memory_mb": 260}})
            if self.with_relays:
                # The address under which the other machines reach this one.
                text = text.replace("[listen]\n", f"[listen]\nadvertise = {ip}:8168\n")
            path = self.folder / f"{name}.ini"
            path.write_text(text)
            self.entries[zone] = Process(self, name, role, path, (ip, 8161))
        for zone in self.zones:
            for number in range(self.sides_per_zone):
                ip = self.host()
                name = f"side-{zone}" + (chr(ord("a") + number) if number else "")
                role, text = self.settings(name, "side", zone, ip, seeds, {
                    "bind_addrs": {"control": f"{ip}:8166"}, "app": f"{ip}:8165",
                    "service": SERVICE,
                    "limits": {"cpu_quota": 0.15, "cores": 1, "memory_mb": 128}})
                path = self.folder / f"{name}.ini"
                path.write_text(text)
                worker = Worker(self.record, f"w-{name[5:]}", (ip, 8165), (ip, 8166), zone,
                                self.audit)
                self.tasks += await worker.start()
                self.sides[name] = Process(self, name, role, path, (ip, 8166))
                self.workers[name] = worker
        for process in [*self.entries.values(), *self.sides.values()]:
            process.start()
        await self.wait_until_served()

    async def wait_until_served(self):
        """Waits until each entry has answered a small job, 15 s at most."""
        for zone in self.zones:
            until = time.monotonic() + 15
            while True:
                job, document = new_job(), job_document([{"count": 1, "cpu": 500, "ram_mb": 64,
                                                          "estimate_ms": 50}], [50])
                answer = await self.post(zone, job, document, 1500, quiet=True)
                if answer.status == 200 and "completed" in answer.body:
                    break
                if time.monotonic() > until:
                    raise RuntimeError(f"edge-{zone} serves nothing: {answer}")
                await asyncio.sleep(0.2)
        self.record("platform: all entries serve")

    async def post(self, zone, job, document, patience_ms, quiet=False):
        if not quiet:
            self.record(f"client: POST {job} to edge-{zone}")
        answer = await call(self.entries[zone].address, "POST", PREFIX + job, document,
                            {"Host": HOST, "X-Deadline-Ms": patience_ms},
                            timeout=patience_ms / 1000 + 0.5)
        if not quiet:
            self.record(f"client: POST {job} to edge-{zone} -> {answer}")
        return answer

    async def delete(self, zone, job):
        self.record(f"client: DELETE {job} to edge-{zone}")
        answer = await call(self.entries[zone].address, "DELETE", PREFIX + job, None,
                            {"Host": HOST, "X-Deadline-Ms": 4000}, timeout=4)
        self.record(f"client: DELETE {job} to edge-{zone} -> {answer}")
        return answer

    async def wait_for_start(self, job, count=1, limit=5):
        until = time.monotonic() + limit
        while len(self.audit.starts_of(job)) < count:
            if time.monotonic() > until:
                raise RuntimeError(f"{job} was not started")
            await asyncio.sleep(0.005)

    def stop(self):
        for process in [*self.entries.values(), *self.sides.values()]:
            if process.child is not None and process.child.poll() is None:
                process.child.send_signal(signal.SIGCONT)
                process.child.kill()
                process.child.wait()
        for task in self.tasks:
            task.cancel()
        if os.environ.get("KEEP_LOGS"):
            print(self.folder)
        else:
            shutil.rmtree(self.folder, ignore_errors=True)


def run_case(folder, scenario, **options):
    """Runs `scenario(site, trouble)`, which returns the breaks of the rule. Exits with 1
    if there are any, 0 if none, 2 if the case could not run."""
    record = Record(Path(folder) / "record.txt")
    trouble = os.environ.get("TROUBLE", "1") != "0"
    record(f"case: {'with' if trouble else 'without'} the disruption")

    async def play():
        # Connections that are open at the end are cancelled, which is no error.
        loop = asyncio.get_running_loop()
        loop.set_exception_handler(lambda _loop, _context: None)
        for name in (signal.SIGTERM, signal.SIGINT):
            loop.add_signal_handler(name, asyncio.current_task().cancel)
        site = Site(record, **options)
        try:
            await site.start()
            return await scenario(site, trouble)
        finally:
            site.stop()

    try:
        breaks = asyncio.run(asyncio.wait_for(play(), 110))
    except (Exception, asyncio.CancelledError) as error:  # the case could not run
        record(f"case: could not run: {error!r}")
        print(f"could not run: {error!r}")
        sys.exit(2)
    for text in breaks:
        record(f"BREAK: {text}")
    for text in breaks[:8]:
        print(f"BREAK: {text}")
    record(f"case: {len(breaks)} breaks of the rule")
    print(f"{len(breaks)} breaks of the rule")
    sys.exit(1 if breaks else 0)
