"""Stand-ins of the third review: a store, workers, clients and a platform that starts processes.

They follow PROTOCOL.md and DEPLOY.md. Everything listens on loopback addresses of one run.
"""
import asyncio, base64, ctypes, json, os, random, re, shutil, signal, socket, struct, sys, tempfile, time
from urllib.parse import parse_qs, urlsplit

ROOT = os.path.abspath(os.path.join(os.path.dirname(__file__), "..", ".."))
BOUNDS = dict(
    contact_ms=3000, ack_ms=4000, drain_ms=2000, grace_s=6, loss_slack_ms=200, config_apply_ms=2000,
    evacuate_ms=5000, hold_max_ms=1000, stop_timeout_ms=50, cancel_ms=3000, visible_ms=3000,
    remote_factor=1.5, retransmit_ms=1300, checkpoint_s=2, restore_ms=600,
)
FRONTEND, READINESS, CONTROL, APP, ADMIN = 8161, 8167, 8166, 8165, 7735


class Record:
    """Lines of what was sent, answered and run, with the time since the start."""

    def __init__(self, path):
        self.file, self.start = open(path, "w"), time.monotonic()

    def now(self):
        return time.monotonic() - self.start

    def __call__(self, text):
        self.file.write(f"{self.now():9.3f}  {text}\n")
        self.file.flush()


async def read_request(reader):
    head = await reader.readuntil(b"\r\n\r\n")
    lines = head.decode("latin-1").split("\r\n")
    method, target, _ = lines[0].split(" ", 2)
    headers = {}
    for line in lines[1:]:
        name, _, value = line.partition(":")
        headers[name.strip().lower()] = value.strip()
    body = await reader.readexactly(int(headers.get("content-length", "0") or 0))
    return method, target, headers, body


class Server:
    """A small HTTP/1.1 server; `handle` returns (status, document), or None for no answer."""

    def __init__(self, address, handle):
        self.address, self.handle, self.writers, self.server = address, handle, set(), None
        # Returns whether answers to the client at a port are lost.
        self.is_cut = lambda port: False

    async def open(self):
        host, port = self.address
        self.server = await asyncio.start_server(self.serve, host, port, reuse_address=True, backlog=512)

    def close(self):
        """Ends as a crashed process does: listening stops and connections are reset."""
        self.server.close()
        for writer in list(self.writers):
            writer.transport.abort()

    async def serve(self, reader, writer):
        self.writers.add(writer)
        try:
            while True:
                request = await read_request(reader)
                answer = await self.handle(*request)
                if answer is None or self.is_cut(writer.get_extra_info("peername")[1]):
                    await asyncio.sleep(3600)
                status, document = answer
                body = b"" if document is None else json.dumps(document).encode()
                writer.write(
                    f"HTTP/1.1 {status} X\r\nContent-Type: application/json\r\n"
                    f"Content-Length: {len(body)}\r\n\r\n".encode() + body
                )
                await writer.drain()
        except (asyncio.IncompleteReadError, asyncio.CancelledError, ConnectionError, ValueError):
            pass
        finally:
            self.writers.discard(writer)
            writer.close()


async def call(address, method, path, document=None, headers=(), timeout=5.0):
    """Makes one call on a new connection; returns (status, document) or None without an answer."""
    writer = None

    async def exchange():
        nonlocal writer
        reader, writer = await asyncio.open_connection(*address)
        body = b"" if document is None else json.dumps(document).encode()
        lines = [f"{method} {path} HTTP/1.1", f"Host: {address[0]}", f"Content-Length: {len(body)}"]
        lines += ["Content-Type: application/json"] + [f"{name}: {value}" for name, value in headers]
        names = {line.split(":")[0].lower() for line in lines[1:]}
        if any(name.lower() == "host" for name, _ in headers):
            lines.pop(1)
        writer.write("\r\n".join(lines).encode() + b"\r\n\r\n" + body)
        head = await reader.readuntil(b"\r\n\r\n")
        text = head.decode("latin-1")
        status = int(text.split(" ", 2)[1])
        length = re.search(r"(?i)content-length: *(\d+)", text)
        body = await reader.readexactly(int(length.group(1)) if length else 0)
        try:
            return status, json.loads(body) if body else None
        except ValueError:
            return status, None

    try:
        return await asyncio.wait_for(exchange(), timeout)
    except (OSError, asyncio.TimeoutError, asyncio.IncompleteReadError):
        return None
    except asyncio.CancelledError:
        if writer is not None:
            # The connection is reset.
            linger = struct.pack("ii", 1, 0)
            writer.get_extra_info("socket").setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, linger)
            writer.transport.abort()
        raise
    finally:
        if writer is not None:
            writer.close()


def socket_of(port):
    """Returns the name, in /proc, of the connected TCP socket with a local port.

    The table may lack lines while connections come and go, so it is read several times.
    """
    local = f":{port:04X}"
    for _ in range(8):
        with open("/proc/net/tcp") as table:
            for line in table:
                cells = line.split()
                if cells[1].endswith(local) and cells[3] == "01":
                    return f"socket:[{cells[9]}]"
    return None


def holds(process, name):
    """Returns whether a process that this run started has a socket."""
    folder = f"/proc/{process.pid}/fd"
    try:
        return any(os.readlink(f"{folder}/{number}") == name for number in os.listdir(folder))
    except OSError:
        return False


class Store:
    """The platform's store: keys with revisions, watches, leases."""

    def __init__(self, address):
        self.items, self.events, self.leases, self.revision = {}, [], {}, 100
        self.next_lease, self.changed, self.closed = 7000, asyncio.Event(), False
        self.server = Server(address, self.handle)
        self.refused = lambda method, path: None

    def write(self, key, value, lease=0):
        self.revision += 1
        created = self.items.get(key, {}).get("created", self.revision)
        item = dict(key=key, value=base64.b64encode(value).decode(), revision=self.revision, created=created, lease_id=lease)
        self.items[key] = item
        self.note(item)

    def remove(self, key):
        if self.items.pop(key, None):
            self.revision += 1
            self.note(dict(key=key, revision=self.revision, deleted=True))

    def note(self, event):
        self.events.append(event)
        self.changed.set()
        self.changed = asyncio.Event()

    def expire(self):
        now = time.monotonic()
        for lease in [lease for lease, (until, _) in self.leases.items() if until <= now]:
            self.end(lease)

    def end(self, lease):
        self.leases.pop(lease, None)
        for key in [key for key, item in self.items.items() if item["lease_id"] == lease]:
            self.remove(key)

    async def handle(self, method, target, headers, body):
        url = urlsplit(target)
        query = {name: values[0] for name, values in parse_qs(url.query).items()}
        refused = self.refused(method, url.path)
        if refused is not None:
            return refused
        self.expire()
        if url.path == "/v1/kv-key":
            item = self.items.get(query["key"])
            return (200, dict(item, as_of=self.revision)) if item else (404, None)
        if url.path == "/v1/kv-range":
            prefix, after = query.get("prefix", ""), query.get("after", "")
            keys = sorted(key for key in self.items if key.startswith(prefix) and key > after)
            page = [self.items[key] for key in keys[:500]]
            return 200, dict(items=page, has_more=len(keys) > 500, as_of=self.revision)
        if url.path == "/v1/kv-watch":
            prefix, after = query.get("prefix", ""), int(query["after"])
            until = time.monotonic() + int(query["wait_ms"]) / 1e3
            while True:
                events = [event for event in self.events if event["revision"] > after and event["key"].startswith(prefix)]
                left = until - time.monotonic()
                if events or left <= 0:
                    return 200, dict(events=events, as_of=self.revision)
                try:
                    await asyncio.wait_for(self.changed.wait(), left)
                except asyncio.TimeoutError:
                    pass
        if url.path == "/v1/kv-txn":
            call = json.loads(body)
            rows = call.get("precondition", [])
            found = [(row, self.items.get(row["key"])) for row in rows]
            if any((item["revision"] if item else 0) != row["revision"] for row, item in found):
                return 412, dict(items=[item for _, item in found if item])
            if any(row.get("lease_id", 0) and row["lease_id"] not in self.leases for row in call.get("set_keys", [])):
                return 404, None
            for row in call.get("set_keys", []):
                self.write(row["key"], base64.b64decode(row["value"]), row.get("lease_id", 0))
            for key in call.get("remove", []):
                self.remove(key)
            return 200, dict(revision=self.revision)
        if url.path == "/v1/kv-lease":
            ttl = json.loads(body)["ttl_ms"]
            self.next_lease += 1
            self.leases[self.next_lease] = (time.monotonic() + ttl / 1e3, ttl)
            return 200, dict(lease_id=self.next_lease, ttl_ms=ttl)
        found = re.match(r"/v1/kv-(keep|lease-end)/(\d+)$", url.path)
        if found:
            lease = int(found.group(2))
            if lease not in self.leases:
                return 404, None
            if found.group(1) == "lease-end":
                self.end(lease)
                return 200, {}
            ttl = self.leases[lease][1]
            self.leases[lease] = (time.monotonic() + ttl / 1e3, ttl)
            return 200, dict(ttl_ms=ttl)
        return 404, None


class Proxy:
    """The network in front of an entry's listener for links.

    While `Site.cut(sender, receiver)` holds, bytes are held up; they arrive when the cut is
    over, as TCP has it, unless an end has closed.
    """

    def __init__(self, site, machine, address, target):
        self.site, self.machine, self.address, self.target = site, machine, address, target

    async def open(self):
        self.server = await asyncio.start_server(self.serve, *self.address, reuse_address=True, backlog=512)

    async def serve(self, reader, writer):
        source = self.site.owner(writer.get_extra_info("peername")[1])
        other = None
        try:
            if source is None:
                # It may be of a machine that is cut off, and dials again anyway.
                return
            while self.site.is_cut(source, self.machine) or self.site.is_cut(self.machine, source):
                await asyncio.sleep(0.02)
                if reader.at_eof():
                    return
            far, other = await asyncio.open_connection(*self.target)
            pumps = [self.pump(reader, other, source, self.machine), self.pump(far, writer, self.machine, source)]
            await asyncio.gather(*pumps)
        except (ConnectionError, asyncio.CancelledError):
            pass
        finally:
            for end in (writer, other):
                if end is not None:
                    end.transport.abort()

    async def pump(self, reader, writer, sender, receiver):
        while True:
            data = await reader.read(65536)
            while self.site.is_cut(sender, receiver):
                await asyncio.sleep(0.01)
            if not data:
                raise ConnectionResetError
            writer.write(data)
            await writer.drain()


class Worker:
    """A worker on the machine of a side. A task's spec is JSON: {"ms": run time, ...}."""

    numbers = iter(range(1, 1 << 30))

    def __init__(self, site, machine, cpu=64000, labels=(), ident=None):
        self.site, self.machine, self.cpu, self.labels = site, machine, cpu, list(labels)
        self.fixed, self.server, self.state, self.silent = ident, None, "ready", lambda path, body: False
        self.beats = None

    async def start(self):
        self.ident = self.fixed or f"i-{next(Worker.numbers):04d}"
        self.born, self.origin = int(time.time() * 1e3), time.monotonic()
        self.fence = self.deadline = self.last_end = self.seq = 0
        self.running, self.closed, self.ended, self.state = {}, {}, [], "ready"
        self.change, self.up = asyncio.Event(), True
        self.server = Server((self.machine.ip, APP), self.handle)
        await self.server.open()
        self.tasks = [asyncio.create_task(self.beat()), asyncio.create_task(self.expire())]
        self.site.record(f"worker {self.machine.name} {self.ident} starts")

    def crash(self):
        self.up = False
        for task in self.tasks:
            task.cancel()
        self.server.close()
        self.site.record(f"worker {self.machine.name} {self.ident} crashes")
        for task in list(self.running):
            self.running.pop(task)["timer"].cancel()
            self.site.over(self, task, "crashed")

    def clock(self):
        return 1000 + int((time.monotonic() - self.origin) * 1e3)

    async def beat(self):
        while True:
            await self.report()
            await asyncio.sleep(self.site.heartbeat_ms / 1e3)

    async def report(self):
        self.seq += 1
        document = dict(
            service=self.site.service, address=f"{self.machine.ip}:{APP}", zone=self.machine.zone, version="v1", slots=8,
            state=self.state, cold_remaining_ms=0, capacity=dict(cpu=self.cpu, ram_mb=262144, gpu=0), labels=self.labels,
            clock_ms=self.clock(), seq=self.seq, born=self.born,
        )
        return await call((self.machine.ip, CONTROL), "POST", f"/v1/Instances.Heartbeat/{self.ident}", document, timeout=1.0)

    async def expire(self):
        while True:
            await asyncio.sleep(0.005)
            self.lapse()

    def lapse(self):
        """Kills everything if the lease has expired."""
        if self.up and self.running and self.clock() > self.deadline:
            for task in list(self.running):
                self.end(task, "lapsed")

    def renew(self, deadline):
        if deadline:
            limit = self.clock() + BOUNDS["hold_max_ms"]
            self.deadline = max(self.deadline, min(deadline, limit))

    def end(self, task, how):
        run = self.running.pop(task, None)
        if run is None:
            return
        run["timer"].cancel()
        self.closed[task] = max(self.closed.get(task, 0), run["attempt"])
        self.last_end += 1
        self.ended.append([self.last_end, task, run["attempt"], how, ""])
        self.site.over(self, task, how)
        self.change.set()
        self.change = asyncio.Event()

    def document(self, **rest):
        return dict(rest, clock_ms=self.clock(), born=self.born)

    async def handle(self, method, target, headers, body):
        if method == "GET":
            return 200, None
        call = json.loads(body)
        delay = self.silent(target, call)
        if target in ("/v1/run-start", "/v1/run-stop"):
            self.site.orders[bool(delay)] += 1
        if delay:
            self.site.record(f"worker {self.machine.name} leaves unanswered {target} {call.get('task', '')}/{call.get('attempt', '')}")
            if delay is not True:
                asyncio.create_task(self.carry_out_late(self.born, delay, target, call))
            return None
        if target == "/v1/run-start" and headers.get("x-expect-instance", self.ident) != self.ident:
            return 421, self.document()
        return await self.carry_out(target, call)

    async def carry_out_late(self, born, delay, target, call):
        await asyncio.sleep(delay)
        if self.up and self.born == born:
            await self.carry_out(target, call)

    async def carry_out(self, target, call):
        token = call.get("fencing_token", 0)
        if token < self.fence:
            return 409, self.document(reason="fence")
        self.fence = token
        if target == "/v1/run-start":
            return self.run_start(call)
        if target == "/v1/run-stop":
            task, attempt = call["task"], call["attempt"]
            self.closed[task] = max(self.closed.get(task, 0), attempt)
            run = self.running.get(task)
            if run and run["attempt"] <= attempt:
                asyncio.get_running_loop().call_later(0.02, self.stopped, task, run["attempt"])
            return 200, self.document()
        if target == "/v1/hold":
            self.ended = [row for row in self.ended if row[0] > call.get("ack_cursor", 0)]
            self.renew(call.get("deadline_ms"))
            if not self.ended and call.get("wait_ms"):
                try:
                    await asyncio.wait_for(self.change.wait(), call["wait_ms"] / 1e3)
                except asyncio.TimeoutError:
                    pass
            rows = [[task, run["attempt"], "", self.percent(run)] for task, run in self.running.items()]
            return 200, self.document(running=rows, ended=self.ended[:500])
        return 404, self.document()

    def percent(self, run):
        return min(99, int((time.monotonic() - run["at"]) * 100 / max(run["s"], 1e-3)))

    def stopped(self, task, attempt):
        run = self.running.get(task)
        if self.up and run and run["attempt"] == attempt:
            self.end(task, "stopped")

    def run_start(self, call):
        task, attempt, deadline = call["task"], call["attempt"], call["deadline_ms"]
        run = self.running.get(task)
        if run and run["attempt"] == attempt:
            self.renew(deadline)
            return 200, self.document()
        if attempt <= self.closed.get(task, 0) or (run and attempt < run["attempt"]):
            self.renew(deadline)
            return 409, self.document(reason="old")
        if deadline <= self.clock():
            return 409, self.document(reason="late")
        self.renew(deadline)
        seconds = json.loads(call["spec"]).get("ms", 60) / 1e3
        timer = asyncio.get_running_loop().call_later(seconds, self.end, task, "done")
        self.running[task] = dict(attempt=attempt, at=time.monotonic(), s=seconds, timer=timer)
        self.site.began(self, task, attempt)
        return 200, self.document()


def end_with_parent():
    """Has the system kill this process when the script ends, however it ends."""
    ctypes.CDLL(None).prctl(1, signal.SIGKILL)


class Machine:
    """A machine with one process of the system."""

    def __init__(self, site, name, role, zone, number, processor=0.25):
        self.site, self.name, self.role, self.zone, self.processor = site, name, role, zone, processor
        self.ip, self.process, self.proxy = f"{site.net}.{number}", None, None

    def fields(self):
        edge = self.role == "entry"
        addresses = dict(control=f"{self.ip}:{CONTROL}")
        if edge:
            addresses.update(frontend=f"{self.ip}:{FRONTEND}", readiness=f"{self.ip}:{READINESS}")
        return dict(
            node_name=self.name, zone=self.zone, region=self.site.region, ip=self.ip, internal_ports=[7720, ADMIN],
            seeds=self.site.seeds(), heartbeat_ms=self.site.heartbeat_ms, bind_addrs=addresses, bounds=BOUNDS,
            platform=dict(address=f"{self.site.net}.250:8169"), app=f"{self.ip}:{APP}", service=self.site.service,
            limits=dict(memory_mb=260 if edge else 128, max_fds=4096, cpu_quota=self.processor),
        )

    async def start(self):
        template = open(f"{ROOT}/platform/{self.role}.ini").read()
        if self.proxy is not None:
            address = ":".join(map(str, self.proxy.address))
            template = template.replace("[listen]\n", f"[listen]\nadvertise = {address}\n")
        path = f"{self.site.folder}/{self.name}.ini"
        with open(path, "w") as file:
            file.write(fill(template, self.fields()))
        log = open(f"{self.site.folder}/{self.name}.log", "a")
        environment = {name: os.environ[name] for name in ("PATH", "HOME", "LANG") if name in os.environ}
        environment["HYSSOPPOST_BOOT"] = path
        self.process = await asyncio.create_subprocess_exec(
            f"{ROOT}/target/release/hyssoppost", self.role, cwd=ROOT, env=environment, stdout=log, stderr=log,
            preexec_fn=end_with_parent,
        )
        self.site.record(f"process {self.name} starts")

    def signal(self, number):
        self.site.record(f"process {self.name} gets {signal.Signals(number).name}")
        self.process.send_signal(number)

    async def kill(self):
        self.signal(signal.SIGKILL)
        await self.process.wait()


def fill(template, fields):
    """Fills in a template as DEPLOY.md says, as far as the project's templates need it."""

    def find(name):
        value = fields
        for part in name.split("."):
            value = value[int(part)] if isinstance(value, list) else value.get(part) if isinstance(value, dict) else None
            if value is None:
                return None
        return value

    def text(value):
        return "" if value is None else ",".join(map(str, value)) if isinstance(value, list) else str(value)

    def section(found):
        value = find(found.group(1))
        return "" if value in (None, False, "") else found.group(2).replace("{{.}}", text(value))

    template = re.sub(r"\{\{#([\w.]+)\}\}(.*?)\{\{/\1\}\}", section, template, flags=re.S)
    return re.sub(r"\{\{([\w.]+)\}\}", lambda found: text(find(found.group(1))), template)


class Site:
    def __init__(self, folder, entries=3, sides=6, zones=("nord-a", "nord-b", "nord-c"), processors=None, proxies=False, labels=None):
        self.record = Record(os.path.join(folder, "record.txt"))
        self.folder = tempfile.mkdtemp(prefix="review-3-")
        # Every run has addresses of its own, so that the ports of a deployment are free on them.
        self.net = f"127.{random.randint(20, 200)}.{random.randint(1, 250)}"
        self.service, self.host, self.prefix = "huvo11a", "nony24.example", "/lohu930/"
        self.heartbeat_ms, self.region = 1500, "jadran" if "split" in zones else "ro-nord"
        self.entries = [
            Machine(self, f"edge-{zones[i % len(zones)]}-{i // len(zones) + 1}", "entry", zones[i % len(zones)], 1 + i,
                    (processors or [0.25] * entries)[i]) for i in range(entries)
        ]
        self.sides = [
            Machine(self, f"side-{zones[i % len(zones)]}-{i // len(zones) + 1}", "side", zones[i % len(zones)], 50 + i)
            for i in range(sides)
        ]
        kinds = labels or ["a"] * sides
        self.workers = [Worker(self, side, labels=[kinds[i], f"r-{i // 3}"]) for i, side in enumerate(self.sides)]
        self.store = Store((f"{self.net}.250", 8169))
        self.starts, self.open, self.overlaps, self.cut = [], {}, [], None
        # Orders that workers got, and those of them that they left unanswered.
        self.orders = {False: 0, True: 0}
        self.misses = {entry.name: 0 for entry in self.entries}
        if proxies:
            for number, entry in enumerate(self.entries):
                address = (f"{self.net}.{200 + number}", CONTROL)
                entry.proxy = Proxy(self, entry, address, (entry.ip, CONTROL))
        self.version = 7

    def seeds(self):
        addresses = [entry.proxy.address if entry.proxy else (entry.ip, CONTROL) for entry in self.entries[:3]]
        return [f"{host}:{port}" for host, port in addresses]

    def owner(self, port):
        """Returns the machine whose process has a TCP socket with a local port."""
        name = socket_of(port)
        machines = [machine for machine in self.entries + self.sides if machine.process is not None]
        return next((machine for machine in machines if name and holds(machine.process, name)), None)

    def is_cut(self, sender, receiver):
        return self.cut is not None and self.cut(sender, receiver)

    def began(self, worker, task, attempt):
        for other in self.workers:
            other.lapse()
        others = self.open.setdefault(task, {})
        for other in others:
            self.overlaps.append((self.record.now(), task, other.machine.name, worker.machine.name))
            self.record(f"TWICE {task} on {other.machine.name} and {worker.machine.name}")
        others[worker] = attempt
        self.starts.append((self.record.now(), task, attempt, worker))
        self.record(f"run {task}/{attempt} begins on {worker.machine.name} {worker.ident}")

    def over(self, worker, task, how):
        self.open.get(task, {}).pop(worker, None)
        self.record(f"run {task} ends on {worker.machine.name}: {how}")

    def configure(self, extra=()):
        self.version += 1
        route = dict(kind="non_idempotent", timeout_ms=1500, target_latency_ms=60, priority=0, max_attempts=3, slack_factor=1.6)
        routes = [dict(route, name="r-1", host=self.host, prefix=self.prefix, service=self.service), *extra]
        limits = dict(max_header_bytes=16384, max_body_bytes=262144, header_timeout_ms=3000, idle_timeout_ms=15000)
        services = [dict(name=self.service, health_path="/healthz", max_conns=64, protocol="h1", tls=False, preconditions=False)]
        document = dict(version=self.version, routes=routes, services=services, limits=limits)
        self.store.write("op/config", json.dumps(document).encode())

    async def open_all(self):
        self.configure()
        await self.store.server.open()
        for entry in self.entries:
            if entry.proxy is not None:
                await entry.proxy.open()
        for worker in self.workers:
            await worker.start()
        for machine in self.entries + self.sides:
            await machine.start()
        await self.until_ready()
        self.prober = asyncio.create_task(self.probe())

    async def until_ready(self, timeout=15.0):
        until = time.monotonic() + timeout
        for entry in self.entries:
            while True:
                answer = await call((entry.ip, READINESS), "GET", "/v1/readyz", timeout=0.5)
                if answer and answer[0] == 200:
                    break
                if time.monotonic() > until:
                    raise CannotRun(f"{entry.name} is not ready")
                await asyncio.sleep(0.1)
        await asyncio.sleep(2.0)

    async def probe(self):
        """Asks each entry once a second whether it is ready, as the platform does."""

        async def ask(entry):
            answer = await call((entry.ip, READINESS), "GET", "/v1/readyz", timeout=0.5)
            self.misses[entry.name] = 0 if answer and answer[0] == 200 else self.misses[entry.name] + 1

        while True:
            await asyncio.gather(*map(ask, self.entries), asyncio.sleep(1.0))

    def check_rotation(self, entry):
        """The platform opens no new connection to a node after two misses."""
        if self.misses[entry.name] >= 2:
            raise CannotRun(f"{entry.name} is out of rotation")

    async def close(self):
        for machine in self.entries + self.sides:
            if machine.process is not None and machine.process.returncode is None:
                machine.process.kill()
                await machine.process.wait()
        if os.environ.get("KEEP"):
            self.record(f"logs in {self.folder}")
        else:
            shutil.rmtree(self.folder, ignore_errors=True)

    def cut_store(self, machine):
        """Cuts a machine off from the store, silently, until the returned function is called."""
        self.record(f"{machine.name} is cut off from the store")
        self.store.server.is_cut = lambda port: holds(machine.process, socket_of(port))

        def heal():
            self.store.server.is_cut = lambda port: False
            self.record(f"{machine.name} reaches the store again")

        return heal

    async def submit(self, entry, job, ms=200, count=2, cpu=6200, deadline_ms=1500, timeout=None, prefix=None, steps=1, label=None):
        phase = dict(count=count, cpu=cpu, ram_mb=64, estimate_ms=ms, **({"selectors": label} if label else {}))
        phases = [dict(phase, after=[step - 1]) if step else phase for step in range(steps)]
        document = dict(spec=json.dumps(dict(ms=ms, job=job)), phases=phases, best_effort=True)
        headers = [("Host", self.host), ("X-Deadline-Ms", deadline_ms)]
        self.check_rotation(entry)
        self.record(f"POST {job} to {entry.name}")
        answer = await call((entry.ip, FRONTEND), "POST", (prefix or self.prefix) + job, document, headers, timeout or deadline_ms / 1e3)
        self.record(f"POST {job} at {entry.name} -> {answer}")
        return answer

    async def cancel(self, entry, job):
        self.check_rotation(entry)
        self.record(f"DELETE {job} to {entry.name}")
        answer = await call((entry.ip, FRONTEND), "DELETE", self.prefix + job, headers=[("Host", self.host)])
        self.record(f"DELETE {job} at {entry.name} -> {answer}")
        return answer


class CannotRun(Exception):
    pass


def job_id():
    return f"{random.getrandbits(64):016x}"


def main(folder, scenario, **site):
    """Runs `scenario(site, trouble)`, which returns what broke the rule, or nothing."""

    async def run():
        place = Site(folder, **site)
        code = 2
        try:
            await place.open_all()
            broken = await asyncio.wait_for(scenario(place, os.environ.get("TROUBLE", "1") != "0"), 100)
            code = 1 if broken else 0
            place.record(f"broken: {broken}" if broken else "held")
            print(f"broken: {broken}" if broken else "held")
        except BaseException as error:  # Whatever it is, the rule was not shown to be broken.
            place.record(f"could not run: {error!r}")
            print(f"could not run: {error!r}")
        finally:
            await place.close()
        sys.stdout.flush()
        os._exit(code)

    asyncio.run(run())
