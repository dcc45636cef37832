"""Stand-ins for the review scripts, on loopback addresses and the real clock.

They speak what PROTOCOL.md says: the platform's store (keyed topics in its log), workers
that hold leases and obey fencing tokens, clients, and a TCP proxy. The entry hosts are
the project's own program, started as processes with the command of deploy/system.toml.
Only the standard library is used.
"""

import asyncio
import base64
import json
import os
import re
import shutil
import signal
import socket
import struct
import sys
import tempfile
import time
import tomllib
from pathlib import Path
from urllib.parse import parse_qs, urlsplit

REPOSITORY = Path(__file__).resolve().parents[2]
TROUBLE = os.environ.get("TROUBLE", "1") != "0"
BOUNDS = {  # of the small deployments in SYSTEM.md
    "hold_max_ms": 1000,
    "grace_s": 6,
    "remote_slowdown": 1.5,
    "resend_ms": 1300,
}
HOLD_MAX_MS = 1000
_used_ports: set = set()


def free_port(host: str) -> int:
    while True:
        with socket.socket() as sock:
            sock.bind((host, 0))
            port = sock.getsockname()[1]
        if port not in _used_ports:
            _used_ports.add(port)
            return port


class Record:
    """What was sent, answered and run, in the order of its times."""

    def __init__(self, folder: Path) -> None:
        self.begin = time.monotonic()
        self.lines: list = []
        self.path = folder / "record.txt"

    def now(self) -> float:
        return time.monotonic() - self.begin

    def note(self, text: str) -> None:
        self.lines.append(f"{self.now():8.3f} {text}")

    def write(self) -> None:
        self.path.write_text("\n".join(self.lines) + "\n")


class Labelled:
    """The record of one of several deployments."""

    def __init__(self, record: Record, label: str) -> None:
        self._record, self._label = record, label
        self.now = record.now

    def note(self, text: str) -> None:
        self._record.note(f"{self._label} {text}")

    def write(self) -> None:
        """The record is written as a whole."""


# --- HTTP -----------------------------------------------------------------------------


class HttpServer:
    """A small HTTP/1.1 server with kept-alive connections."""

    def __init__(self, handler) -> None:
        self._handler = handler
        self._server = None
        self._writers: set = set()

    async def start(self, host: str, port: int) -> None:
        self._server = await asyncio.start_server(self._serve, host, port)

    async def kill(self) -> None:
        """Close the port and reset all connections, as the end of a process does."""
        self._server.close()
        for writer in list(self._writers):
            writer.transport.abort()
        self._writers.clear()

    async def _serve(self, reader, writer) -> None:
        self._writers.add(writer)
        try:
            while True:
                head = await reader.readuntil(b"\r\n\r\n")
                lines = head.decode("latin-1").split("\r\n")
                method, target, _ = lines[0].split(" ", 2)
                headers = {}
                for line in lines[1:]:
                    name, _, value = line.partition(":")
                    headers[name.strip().lower()] = value.strip()
                body = await reader.readexactly(int(headers.get("content-length", 0)))
                headers["source"] = writer.get_extra_info("peername")[0]
                answer = await self._handler(method, target, headers, body)
                if answer is None:
                    await asyncio.sleep(3600)
                status, data = answer
                if not isinstance(data, bytes):
                    data = json.dumps(data).encode()
                writer.write(
                    f"HTTP/1.1 {status} X\r\nContent-Type: application/json\r\n"
                    f"Content-Length: {len(data)}\r\n\r\n".encode() + data
                )
                await writer.drain()
        except (asyncio.IncompleteReadError, ConnectionError, OSError):
            pass
        except asyncio.CancelledError:
            pass
        finally:
            self._writers.discard(writer)
            writer.close()


async def call(address, method, path, host="", body=None, deadline_ms=None, limit_s=60):
    """Send one request on a connection of its own.

    Returns the status and the body; the status is 0 if there was no whole answer.
    """
    writer = None
    try:
        async with asyncio.timeout(limit_s):
            reader, writer = await asyncio.open_connection(*address)
            data = b"" if body is None else json.dumps(body).encode()
            head = f"{method} {path} HTTP/1.1\r\nHost: {host or 'x'}\r\n"
            if body is not None:
                head += "Content-Type: application/json\r\n"
            if deadline_ms is not None:
                head += f"Deadline-Ms: {deadline_ms}\r\n"
            head += f"Content-Length: {len(data)}\r\n\r\n"
            writer.write(head.encode() + data)
            answer = await reader.readuntil(b"\r\n\r\n")
            status = int(answer.split(b" ", 2)[1])
            found = re.search(rb"content-length: *(\d+)", answer, re.IGNORECASE)
            rest = await reader.readexactly(int(found[1]) if found else 0)
            return status, rest
    except (OSError, asyncio.IncompleteReadError, TimeoutError, ValueError):
        return 0, b""
    finally:
        if writer is not None:
            writer.close()


# --- the platform's store -------------------------------------------------------------


class Store:
    """Keyed topics of one partition; loses nothing, answers in order."""

    def __init__(self) -> None:
        self.topics: dict = {}
        self._news = asyncio.Event()
        self.server = HttpServer(self._handle)

    def put(self, topic: str, key: str, value) -> None:
        data = b"" if value is None else json.dumps(value).encode()
        self.topics.setdefault(topic, []).append((key, data))
        self._news.set()
        self._news = asyncio.Event()

    async def _handle(self, method, target, headers, body):
        await asyncio.sleep(0.004)
        url = urlsplit(target)
        query = {name: values[0] for name, values in parse_qs(url.query).items()}
        topic = query.get("topic", "")
        records = self.topics.setdefault(topic, [])
        if url.path == "/v1/log-append":
            at = len(records)
            while body:
                (length,) = struct.unpack_from(">I", body)
                record, body = body[4 : 4 + length], body[4 + length :]
                key = record[1 : 1 + record[0]].decode()
                records.append((key, record[1 + record[0] :]))
            self._news.set()
            self._news = asyncio.Event()
            return 200, {"offset": at, "end": len(records)}
        if url.path == "/v1/log-newest":
            newest = {key: (at, value) for at, (key, value) in enumerate(records)}
            items = [
                {"key": k, "value": base64.b64encode(v).decode(), "offset": at}
                for k, (at, v) in newest.items()
                if v
            ]
            return 200, {"items": items, "has_more": False, "end": len(records)}
        if url.path == "/v1/log-read":
            begin = int(query["from"])
            until = time.monotonic() + int(query.get("wait_ms", 0)) / 1000
            while len(records) <= begin and time.monotonic() < until:
                try:
                    left = max(0.001, until - time.monotonic())
                    await asyncio.wait_for(self._news.wait(), left)
                except TimeoutError:
                    pass
            data = struct.pack(">QQ", len(records), 0)
            for key, value in records[begin:]:
                name = key.encode()
                record = bytes([len(name)]) + name + value
                data += struct.pack(">I", len(record)) + record
            return 200, data
        return 404, {}


# --- workers --------------------------------------------------------------------------


class Worker:
    """A worker: leases, fencing tokens, runs and their ends, as PROTOCOL.md says.

    The spec of a task is JSON with `run_s`. A task fails if the spec says so.
    """

    def __init__(self, name, address, store, record, zone="z1", **kind) -> None:
        self.name, self.address = name, address
        self.store, self.record, self.zone = store, record, zone
        self.kind = {"cpu": 16000, "mem_mb": 32768, "labels": ["a", "r1"], **kind}
        self.state = "ready"
        self.events: list = []  # (at, "start" or "end", task, run, how, born)
        self.over: list = []
        self.needs = lambda task, spec: (spec.get("cpu", 0), spec.get("mem_mb", 0))
        self.up = False

    async def start(self) -> None:
        """Begin a life: it holds and knows nothing, and its counts start anew."""
        self.born = round(time.time() * 1000)
        self.clock_zero = time.monotonic() - 0.05
        self.token = 0
        self.holder = ""  # address from which the present token came
        self.held_since = 0.0
        self.started = 0  # starts under the present token
        self.answered: dict = {}  # status of the last answer to each address
        self.deadline = 0.0
        self.running: dict = {}
        self.ends: list = []
        self.sequence = 0
        self.highest: dict = {}
        self.up = True
        self.server = HttpServer(self._handle)
        await self.server.start(*self.address)
        self._changed = asyncio.Event()
        self._loop = asyncio.create_task(self._lapse())
        self.register()

    def register(self) -> None:
        entry = {
            "service": "work",
            "address": f"{self.address[0]}:{self.address[1]}",
            "zone": self.zone,
            "version": "v1",
            "slots": 8,
            "state": self.state,
            "cold_remaining_ms": 0,
            "capacity": {
                "cpu": self.kind["cpu"],
                "mem_mb": self.kind["mem_mb"],
                "gpu": self.kind.get("gpu", 0),
            },
            "labels": self.kind["labels"],
            "born": self.born,
            "seq": 1,
        }
        self.store.put("keyed.servers", self.name, entry)
        self.record.note(f"{self.name} registers {self.state} cpu {self.kind['cpu']}")

    async def crash(self) -> None:
        self.record.note(f"{self.name} crashes, running {sorted(self.running)}")
        self.up = False
        self._loop.cancel()
        await self.server.kill()
        for key in list(self.running):
            self._end(*key, "lost")

    def clock(self) -> int:
        return int((time.monotonic() - self.clock_zero) * 1000)

    async def _lapse(self) -> None:
        while True:
            await asyncio.sleep(0.002)
            now = time.monotonic()
            for (task, run), (end_at, how, _) in list(self.running.items()):
                if now >= end_at:
                    self._end(task, run, how)
            if self.running and self.clock() > self.deadline:
                for task, run in list(self.running):
                    self._end(task, run, "lapsed")

    def _end(self, task, run, how) -> None:
        self.running.pop((task, run))
        self.sequence += 1
        self.ends.append([self.sequence, task, run, how, ""])
        self.events.append((self.record.now(), "end", task, run, how, self.born))
        self.record.note(f"{self.name} ends {task} run {run}: {how}")
        self._changed.set()
        self._changed = asyncio.Event()

    def in_use(self):
        total = [0, 0]
        for _, _, needs in self.running.values():
            total[0] += needs[0]
            total[1] += needs[1]
        return total

    def _extend(self, deadline_ms) -> None:
        if deadline_ms is not None:
            longest = self.clock() + HOLD_MAX_MS
            self.deadline = max(self.deadline, min(deadline_ms, longest))

    async def _handle(self, method, target, headers, body):
        if headers.get("expect-instance", self.name) != self.name:
            return 421, {"clock_ms": self.clock()}
        order = json.loads(body)
        token = order.get("fencing_token", 0)
        source = headers["source"]
        if token < self.token:
            self.answered[source] = 409
            return 409, {"clock_ms": self.clock(), "reason": "fence"}
        if token > self.token:
            self.record.note(f"{self.name} accepts token {token} from {source}")
            self.held_since, self.started = time.monotonic(), 0
        self.token, self.holder = token, source
        if target == "/v1/hold":
            answer = await self._hold(order)
            self.answered[source] = answer[0]
            return answer
        key = order["task"], order["run"]
        if target == "/v1/run-stop":
            if key in self.running:
                self._end(*key, "stopped")
            self.highest[key[0]] = max(self.highest.get(key[0], 0), key[1])
            return 200, {"clock_ms": self.clock()}
        if target == "/v1/run-start":
            return self._start(key, order)
        return 404, {}

    def _start(self, key, order):
        if key in self.running:
            return 200, {"clock_ms": self.clock()}
        if order["deadline_ms"] < self.clock():
            return 409, {"clock_ms": self.clock(), "reason": "late"}
        self._extend(order["deadline_ms"])
        if key[1] <= self.highest.get(key[0], 0):
            return 409, {"clock_ms": self.clock(), "reason": "old"}
        spec = json.loads(order["spec"])
        needs = self.needs(key[0], spec)
        end_at = time.monotonic() + spec["run_s"]
        self.highest[key[0]] = key[1]
        self.started += 1
        self.running[key] = (end_at, spec.get("how", "done"), needs)
        self.events.append((self.record.now(), "start", *key, "", self.born))
        used = self.in_use()
        self.record.note(
            f"{self.name} starts {key[0]} run {key[1]}: {used[0]} of {self.kind['cpu']}"
            f" cpu in use"
        )
        if used[0] > self.kind["cpu"] or used[1] > self.kind["mem_mb"]:
            self.over.append((self.record.now(), key, used))
        return 200, {"clock_ms": self.clock()}

    async def _hold(self, order):
        self._extend(order.get("deadline_ms"))
        self.ends = [end for end in self.ends if end[0] > order["last_seen"]]
        until = time.monotonic() + min(order.get("wait_ms", 0), 2000) / 1000
        while not [e for e in self.ends if e[0] > order["last_seen"]]:
            left = until - time.monotonic()
            if left <= 0:
                break
            try:
                await asyncio.wait_for(self._changed.wait(), left)
            except TimeoutError:
                break
        if order.get("fencing_token", 0) < self.token:
            return 409, {"clock_ms": self.clock(), "reason": "fence"}
        return 200, {
            "clock_ms": self.clock(),
            "born": self.born,
            "running": [[t, r, "", 100, 0] for t, r in self.running],
            "ended_runs": [e for e in self.ends if e[0] > order["last_seen"]][:500],
        }


# --- proxy ----------------------------------------------------------------------------


class Proxy:
    """Forwards TCP connections, and drops what it gets while a cut is on.

    What is dropped on a connection is lost: its sender's time-out for unacknowledged
    data (0.6 s) would end it, so the proxy resets it after that time, or once the cut
    has ended. A new connection gets no answer while the cut is on.
    """

    def __init__(self, listen, target) -> None:
        self.listen, self.target = listen, target
        self.cut = lambda source: False
        self.on_drop = lambda source: None
        self._lost: set = set()
        self._server = None

    async def start(self) -> None:
        self._server = await asyncio.start_server(self._serve, *self.listen)

    def heal(self) -> None:
        """Reset the connections on which something was lost."""
        for writer in list(self._lost):
            writer.transport.abort()
        self._lost.clear()

    def _is_cut(self, source) -> bool:
        if self.cut(source):
            self.on_drop(source)  # may end the cut
        return self.cut(source)

    def _lose(self, writer) -> None:
        self._lost.add(writer)
        loop = asyncio.get_running_loop()
        loop.call_later(0.6, writer.transport.abort)

    async def _serve(self, reader, writer) -> None:
        source = writer.get_extra_info("peername")[0]
        try:
            if self._is_cut(source):
                self._lose(writer)
                while await reader.read(65536):
                    pass
                return
            up_reader, up_writer = await asyncio.open_connection(*self.target)
        except OSError:
            writer.transport.abort()
            return
        await asyncio.gather(
            self._pump(source, reader, up_writer, writer),
            self._pump(source, up_reader, writer, writer),
        )

    async def _pump(self, source, reader, writer, client) -> None:
        lost = False
        try:
            while data := await reader.read(65536):
                if not lost and self._is_cut(source):
                    lost = True
                    self._lose(client)
                if not lost:
                    writer.write(data)
                    await writer.drain()
        except OSError:
            pass
        writer.transport.abort() if lost else writer.close()


# --- entry hosts ----------------------------------------------------------------------


def _fill(template: str, values: dict) -> str:
    def value(match):
        name, _, form = match[1].partition("|")
        found = values
        for part in name.split("."):
            found = found[int(part)] if isinstance(found, list) else found[part]
        if form == "json":
            return json.dumps(found)
        return ",".join(found) if isinstance(found, list) else str(found)

    return re.sub(r"\{\{([^}]*)\}\}", value, template)


class Host:
    """An entry host: the project's program as a process of its own."""

    def __init__(self, number, zone, store_address, folder, record, advertise=None):
        self.name = f"h{number}"
        self.ip = f"127.0.0.{10 + number}"
        self.zone, self.record, self.folder = zone, record, folder
        self.front = (self.ip, free_port(self.ip))
        self.readiness = (self.ip, free_port(self.ip))
        self.control = (self.ip, free_port(self.ip))
        self.metrics_port = free_port(self.ip)
        self.store_address = store_address
        self.advertise = advertise
        self.process = None
        self.ends = 0

    def write_settings(self, seeds) -> None:
        text = lambda address: f"{address[0]}:{address[1]}"
        deploy = tomllib.loads((REPOSITORY / "deploy/system.toml").read_text())
        role = deploy["roles"]["entry"]
        values = {
            "node_name": self.name,
            "zone": self.zone,
            "ip": self.ip,
            "listen": {
                "front": text(self.front),
                "readiness": text(self.readiness),
                "control": text(self.control),
            },
            "port_range": [self.metrics_port],
            "platform": {"address": text(self.store_address)},
            "seeds": [text(seed) for seed in seeds],
            "limits": {"cpu_share": 0.537, "cores": 2},
            "bounds": BOUNDS,
        }
        filled = _fill((REPOSITORY / role["template"]).read_text(), values)
        if self.advertise:
            settings = json.loads(filled)
            settings["advertise"] = text(self.advertise)
            filled = json.dumps(settings)
        self.path = self.folder / f"{self.name}.json"
        self.path.write_text(filled)
        self.command = [
            word if word != "/etc/poplarhill/node.yaml" else str(self.path)
            for word in role["run"].split()
        ]

    async def start(self) -> None:
        environment = {
            "PATH": os.environ["PATH"],
            "HOME": os.environ.get("HOME", "/tmp"),
            "PYTHONPATH": str(REPOSITORY / "target/deps"),
            "POPLARHILL_NODE_FILE": str(self.path),
        }
        log = open(self.folder / f"{self.name}.log", "ab")
        self.process = await asyncio.create_subprocess_exec(
            *self.command, cwd=REPOSITORY, env=environment, stdout=log, stderr=log
        )
        log.close()
        self.record.note(f"{self.name} is started")

    def send(self, number) -> None:
        self.record.note(f"{self.name} gets {signal.Signals(number).name}")
        self.process.send_signal(number)

    @property
    def running(self) -> bool:
        return self.process is not None and self.process.returncode is None

    async def ready(self) -> bool:
        status, _ = await call(self.readiness, "GET", "/v1/readiness", limit_s=1)
        return status == 200

    async def leads(self) -> bool:
        """Whether its log says that it led when it last wrote of that."""
        led = False
        for line in (self.folder / f"{self.name}.log").read_text().splitlines():
            if "LeadershipTaken" in line:
                led = True
            elif "LeadershipYielded" in line:
                led = False
        return led


class World:
    """A small deployment: a store, workers and entry hosts."""

    def __init__(self, case: str) -> None:
        self.case = Path(case).resolve().parent
        self.folder = Path(tempfile.mkdtemp(prefix="poplarhill-review-"))
        self.record = Record(self.case)
        self.store = Store()
        self.workers: list = []
        self.hosts: list = []
        self.tasks: list = []
        self.version = 0

    async def open(self, hosts, workers, zones=("z1",), proxied=False) -> None:
        """Start the store, workers and hosts; wait until all hosts are ready.

        `workers` is a list of the kinds of the workers.
        """
        self.store_address = ("127.0.0.1", free_port("127.0.0.1"))
        await self.store.server.start(*self.store_address)
        self.configure()
        for number, kind in enumerate(workers):
            address = ("127.0.0.1", free_port("127.0.0.1"))
            kind = dict(kind)
            zone = kind.pop("zone", zones[number % len(zones)])
            worker = Worker(
                f"w{number}", address, self.store, self.record, zone, **kind
            )
            self.workers.append(worker)
            await worker.start()
        self.proxies = []
        for number in range(1, hosts + 1):
            zone = zones[(number - 1) % len(zones)]
            advertise = None
            if proxied:
                ip = f"127.0.0.{10 + number}"
                advertise = (ip, free_port(ip))
            host = Host(
                number, zone, self.store_address, self.folder, self.record, advertise
            )
            if proxied:
                proxy = Proxy(advertise, host.control)
                await proxy.start()
                self.proxies.append(proxy)
            self.hosts.append(host)
        seeds = [host.advertise or host.control for host in self.hosts[:3]]
        for host in self.hosts:
            host.write_settings(seeds)
            await host.start()
        for _ in range(300):
            await asyncio.sleep(0.1)
            if all([await host.ready() for host in self.hosts]):
                break
        else:
            raise RuntimeError("the hosts do not become ready")
        await asyncio.sleep(4.0)

    def configure(self, **changes) -> None:
        self.version += 3
        route = {
            "name": "jobs",
            "host": "jobs.example",
            "path_prefix": "/jobs/",
            "service": "work",
            "timeout_ms": 30000,
            "slo_ms": 60,
            "stretch": 1.6,
            "priority": 1,
            "max_attempts": 3,
            **changes,
        }
        config = {
            "version": self.version,
            "routes": [route],
            "services": [{"name": "work", "enforces_capacity": False}],
            "limits": {},
        }
        self.store.put("keyed.op", "config", config)

    async def submit(self, host, job_id, steps, deadline_ms, **spec):
        """Hand a job in and return the status and the body of the answer."""
        body = {"spec": json.dumps(spec), "steps": steps, "best_effort": True}
        needs = json.dumps(steps)
        self.record.note(f"POST {job_id} at {host.name}, {deadline_ms} ms: {needs}")
        status, data = await call(
            host.front,
            "POST",
            f"/jobs/{job_id}",
            "jobs.example",
            body,
            deadline_ms,
            limit_s=deadline_ms / 1000 + 1,
        )
        self.record.note(f"POST {job_id} at {host.name} -> {status} {data[:90]!r}")
        return status, data

    async def cancel(self, host, job_id):
        self.record.note(f"DELETE {job_id} at {host.name}")
        status, data = await call(
            host.front, "DELETE", f"/jobs/{job_id}", "jobs.example", limit_s=10
        )
        self.record.note(f"DELETE {job_id} at {host.name} -> {status} {data[:200]!r}")
        return status

    def starts(self, job_id=""):
        """All starts of a job's tasks: (at, worker, task, run)."""
        return sorted(
            (event[0], worker.name, event[2], event[3])
            for worker in self.workers
            for event in worker.events
            if event[1] == "start" and event[2].startswith(job_id)
        )

    def twice(self) -> list:
        """Tell which tasks had two runs at the same time on workers that were up."""
        runs: dict = {}
        for worker in self.workers:
            begun: dict = {}
            for at, what, task, number, how, _ in worker.events:
                if what == "start":
                    begun[task, number] = at
                else:
                    row = (begun.pop((task, number)), at, worker.name, number, how)
                    runs.setdefault(task, []).append(row)
        found = []
        for task, rows in sorted(runs.items()):
            rows.sort()
            for one, other in zip(rows, rows[1:], strict=False):
                if other[0] < one[1]:
                    found.append(
                        f"TWICE: {task} ran on {one[2]} (run {one[3]}) from {one[0]:.3f} "
                        f"to {one[1]:.3f} ({one[4]}) and on {other[2]} (run {other[3]}) "
                        f"from {other[0]:.3f} to {other[1]:.3f} ({other[4]})"
                    )
        return found

    async def leader(self):
        found = [host for host in self.hosts if host.running and await host.leads()]
        return found[-1] if found else None

    async def close(self) -> None:
        for host in self.hosts:
            if host.running:
                host.process.send_signal(signal.SIGCONT)
                host.process.kill()
                await host.process.wait()
        self.record.write()
        if not os.environ.get("KEEP_LOGS"):
            shutil.rmtree(self.folder, ignore_errors=True)


def run(case: str, scenario) -> None:
    """Run a scenario; exit with 1 if it returns what broke the rule, 0 or 2 if not."""

    async def main():
        world = World(case)
        try:
            async with asyncio.timeout(115):
                broken = await scenario(world)
        except Exception as error:  # the case could not run
            world.record.note(f"could not run: {error!r}")
            print(f"could not run: {error!r}", file=sys.stderr)
            return 2
        finally:
            await world.close()
        for line in broken:
            print(line)
        return 1 if broken else 0

    sys.exit(asyncio.run(main()))
