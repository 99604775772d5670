"""Small stand-ins of the platform, the engines and the clients, and the gateways as processes.

Only what PROTOCOL.md and DEPLOY.md tell. Everything is on loopback addresses and the real clock.
"""
import asyncio
import base64
import json
import os
import random
import shutil
import signal
import socket
import subprocess
import sys
import tempfile
import time
import urllib.parse

ROOT = os.path.dirname(os.path.dirname(os.path.dirname(os.path.abspath(__file__))))
PROGRAM = os.path.join("target", "filbertgw")
STAMP = "X-Filbertgw-Response-Stamp"
ATTEMPT = "X-Filbertgw-Attempt-Id"
HOST = "ficu95.example"
APPEND_S = 0.004
MODEL_SERVICE = "huvo11a"
PLAIN_SERVICE = "wuno96b"
TOKENS_PER_EVENT = 22


class Record:
    """record.txt: what was sent, answered and run."""

    def __init__(self, path):
        self.file = open(path, "w", encoding="utf-8")
        self.begin = time.monotonic()

    def now(self):
        return time.monotonic() - self.begin

    def add(self, what, **fields):
        text = " ".join(f"{name}={value}" for name, value in fields.items())
        self.file.write(f"{self.now():8.3f} {what} {text}\n")
        self.file.flush()


class HttpRequest:
    def __init__(self, method, target, headers, body):
        self.method, self.target, self.headers, self.body = method, target, headers, body
        self.path = target.split("?", 1)[0]

    def query(self):
        return dict(urllib.parse.parse_qsl(self.target.partition("?")[2], keep_blank_values=True))


async def read_head(reader):
    head = await reader.readuntil(b"\r\n\r\n")
    lines = head.decode("latin-1").split("\r\n")
    headers = {}
    for line in lines[1:]:
        if line:
            name, _, value = line.partition(":")
            headers[name.strip().lower()] = value.strip()
    return lines[0], headers


async def read_request(reader):
    line, headers = await read_head(reader)
    method, target, _ = line.split(" ", 2)
    body = b""
    if "content-length" in headers:
        body = await reader.readexactly(int(headers["content-length"]))
    return HttpRequest(method, target, headers, body)


def answer_bytes(status, body, headers=None, content_type="application/json"):
    lines = [f"HTTP/1.1 {status} X", f"Content-Type: {content_type}", f"Content-Length: {len(body)}"]
    lines += [f"{name}: {value}" for name, value in (headers or {}).items()]
    return ("\r\n".join(lines) + "\r\n\r\n").encode("latin-1") + body


class Partition:
    def __init__(self, keyed):
        self.keyed = keyed
        self.records = []
        self.newest = {}
        self.producers = {}
        self.free_at = 0.0
        self.grown = asyncio.Event()

    def add(self, record):
        if self.keyed and record:
            size = record[0]
            key = record[1:1 + size]
            if len(record) > size + 1:
                self.newest[key] = (record[size + 1:], len(self.records))
            else:
                self.newest.pop(key, None)
        self.records.append(record)

    def wake(self):
        grown, self.grown = self.grown, asyncio.Event()
        grown.set()


class Store:
    """The platform's store, in the form `log`; it listens on one address for each gateway."""

    def __init__(self):
        self.partitions = {}
        self.servers = []
        self.writers = set()
        self.view = None  # How the registry looks to a gateway: (key, value, node) -> value.
        self.down = False  # Answers 503 to all calls: nothing is done.

    def partition(self, topic, part):
        if (topic, part) not in self.partitions:
            self.partitions[topic, part] = Partition(topic.startswith("keyed."))
        return self.partitions[topic, part]

    def put(self, topic, key, value):
        target = self.partition(topic, 0)
        target.add(bytes([len(key)]) + key.encode() + value)
        target.wake()

    async def listen(self, host, port, node):
        async def serve(reader, writer):
            self.writers.add(writer)
            try:
                while True:
                    request = await read_request(reader)
                    answer = await self.answer(request, node)
                    writer.write(answer)
                    await writer.drain()
            except (asyncio.IncompleteReadError, ConnectionError, asyncio.CancelledError):
                pass
            finally:
                self.writers.discard(writer)
                writer.close()

        self.servers.append(await asyncio.start_server(serve, host, port, backlog=256))

    async def answer(self, request, node):
        query = request.query()
        topic, part = query.get("topic", ""), int(query.get("part", "0"))
        if self.down:
            return answer_bytes(503, b"{}")
        if request.path == "/-/log-append":
            return await self.append(topic, part, query, request.body)
        if request.path == "/-/log-read":
            return await self.read(topic, part, query, node)
        if request.path == "/-/log-newest":
            return self.newest(topic, part, query, node)
        return answer_bytes(404, b"{}")

    async def append(self, topic, part, query, body):
        target = self.partition(topic, part)
        now = time.monotonic()
        target.free_at = max(target.free_at, now) + APPEND_S
        await asyncio.sleep(target.free_at - now)
        if self.down:
            return answer_bytes(503, b"{}")
        records, at = [], 0
        while at + 4 <= len(body):
            size = int.from_bytes(body[at:at + 4], "big")
            records.append(body[at + 4:at + 4 + size])
            at += 4 + size
        if at != len(body):
            return answer_bytes(400, b"{}")
        if "at" in query and int(query["at"]) != len(target.records):
            return answer_bytes(412, json.dumps({"end": len(target.records)}).encode())
        producer = None
        if "producer" in query:
            epoch, sequence = int(query["epoch"]), int(query["sequence"])
            producer = target.producers.setdefault(query["producer"], {"epoch": epoch, "last": None, "answers": {}})
            if epoch < producer["epoch"]:
                return answer_bytes(409, b'{"why":"fenced"}')
            if epoch > producer["epoch"]:
                producer.update(epoch=epoch, last=None, answers={})
            elif sequence in producer["answers"]:
                return answer_bytes(200, producer["answers"][sequence])
            elif producer["last"] is not None and sequence != producer["last"] + 1:
                wrong = {"why": "seq", "sequence": producer["last"] + 1}
                return answer_bytes(409, json.dumps(wrong).encode())
        offset = len(target.records)
        for record in records:
            target.add(record)
        answer = json.dumps({"offset": offset, "end": len(target.records)}).encode()
        if producer is not None:
            producer["last"] = sequence
            producer["answers"][sequence] = answer
            for old in sorted(producer["answers"])[:-5]:
                del producer["answers"][old]
        target.wake()
        return answer_bytes(200, answer)

    def seen(self, topic, key, value, node):
        return self.view(key, value, node) if self.view and topic == "keyed.servers" else value

    async def read(self, topic, part, query, node):
        source = self.partition(topic, part)
        start, wait = int(query["from"]), int(query.get("wait_ms", "0")) / 1000
        await asyncio.sleep(0.001)
        end = time.monotonic() + wait
        while start >= len(source.records) and time.monotonic() < end:
            try:
                await asyncio.wait_for(source.grown.wait(), end - time.monotonic())
            except asyncio.TimeoutError:
                break
        if self.down:
            return answer_bytes(503, b"{}")
        body = len(source.records).to_bytes(8, "big") + (0).to_bytes(8, "big")
        for record in source.records[start:]:
            if source.keyed and record and len(record) > record[0] + 1:
                size = record[0]
                value = self.seen(topic, record[1:1 + size], record[1 + size:], node)
                record = record[:1 + size] + value
            body += len(record).to_bytes(4, "big") + record
            if len(body) > 1024 * 1024:
                break
        return answer_bytes(200, body, content_type="application/octet-stream")

    def newest(self, topic, part, query, node):
        source = self.partition(topic, part)
        after = query.get("after", "").encode()
        items, size, more = [], 0, False
        for key in sorted(source.newest):
            if after and key <= after:
                continue
            if len(items) >= 500 or size > 1_000_000:
                more = True
                break
            value, offset = source.newest[key]
            value = self.seen(topic, key, value, node)
            size += len(value)
            items.append({"key": key.decode(), "value": base64.b64encode(value).decode(), "offset": offset})
        body = {"items": items, "has_more": more, "end": len(source.records)}
        return answer_bytes(200, json.dumps(body).encode())


class Engine:
    """An engine with one port for each gateway, so that single gateways can be cut off from it."""

    def __init__(self, world, number, service, host, first_port):
        self.world, self.service = world, service
        self.id = f"i-{number + 1:02d}"
        self.host, self.first_port = host, first_port
        self.zone = world.zones[number % len(world.zones)]
        self.born = int(time.time() * 1000)
        self.sequence = 0
        self.version = "v1"
        self.servers = {}
        self.blocked = {}
        self.writers = {}
        self.active = 0

    async def start(self):
        for node in range(self.world.nodes):
            await self.open(node)

    async def open(self, node):
        async def serve(reader, writer):
            self.writers.setdefault(node, set()).add(writer)
            try:
                while True:
                    request = await read_request(reader)
                    await self.path(node)
                    if writer.is_closing():
                        return  # What a partition held up is lost.
                    await self.answer(request, writer, node)
            except (asyncio.IncompleteReadError, ConnectionError, asyncio.CancelledError):
                pass
            finally:
                self.writers.get(node, set()).discard(writer)
                writer.close()

        self.servers[node] = await asyncio.start_server(serve, self.host, self.first_port + node, backlog=256)

    async def path(self, node):
        """Returns once bytes can pass between this engine and the gateway."""
        while node in self.blocked:
            await asyncio.sleep(0.02)

    def cut(self, node):
        """Connections hang: the open ones carry nothing, and new ones are not accepted."""
        self.servers[node].close()
        listener = socket.socket()
        listener.setsockopt(socket.SOL_SOCKET, socket.SO_REUSEADDR, 1)
        listener.bind((self.host, self.first_port + node))
        listener.listen(0)
        fillers = []
        for _ in range(3):
            filler = socket.socket()
            filler.setblocking(False)
            filler.connect_ex((self.host, self.first_port + node))
            fillers.append(filler)
        self.blocked[node] = [listener] + fillers

    async def heal(self, node):
        """What was held up is lost: the connections of before are reset."""
        for writer in list(self.writers.get(node, ())):
            writer.transport.abort()
        for held in self.blocked.pop(node):
            held.close()
        await self.open(node)

    def entry(self):
        self.sequence += 1
        return json.dumps({
            "service": self.service, "address": f"{self.host}:{self.first_port}", "zone": self.zone, "version": self.version,
            "slots": 16 if self.service == MODEL_SERVICE else 6, "state": "ready", "cold_left_ms": 0,
            "sequence": self.sequence, "stage": "both", "models": [{"name": "m", "version": 1, "adapters": []}],
            "born": self.born}).encode()

    async def answer(self, request, writer, node):
        if request.path == "/-/report":
            body = {"stage": "both", "models": [{"name": "m", "version": 1, "adapters": []}], "busy": False,
                    "sequence": 0, "queued": 0, "active": self.active, "kv_used": 0, "kv_total": 585539,
                    "handles": 0, "born": self.born}
            writer.write(answer_bytes(200, json.dumps(body).encode()))
        elif request.path == "/-/kv-list":
            writer.write(answer_bytes(200, json.dumps({"epoch": 1, "next": 0, "held": []}).encode()))
        elif request.path == "/health":
            writer.write(answer_bytes(200, b"{}", {"X-Filbertgw-Instance-Id": self.id}))
        else:
            await self.run(request, writer, node)
        await writer.drain()

    async def run(self, request, writer, node):
        attempt = request.headers.get(ATTEMPT.lower(), "")
        expected = request.headers.get("x-filbertgw-expect-instance", self.id)
        if not attempt or expected != self.id:
            status = 421 if attempt else 400
            writer.write(answer_bytes(status, b"{}", {ATTEMPT: attempt, "X-Filbertgw-Not-Executed": "1"}))
            return
        run = {"attempt": attempt, "engine": self.id, "path": request.path, "body": request.body, "node": node,
               "events": 0, "previous": request.headers.get("x-filbertgw-previous-turn", ""), "ended": False, "at": 0.0}
        plan, version = self.world.plan(request), self.version
        self.active += 1
        try:
            await asyncio.sleep(plan["begin_s"])
            run["at"] = self.world.record.now()  # The first token, or the work of a plain service, begins.
            self.world.runs.append(run)
            self.world.record.add("run", attempt=attempt, engine=self.id, bytes=len(request.body))
            if plan["events"] == 0:
                await asyncio.sleep(plan["work_s"])
                await self.path(node)
                writer.write(answer_bytes(200, plan["answer"], {ATTEMPT: attempt, STAMP: self.stamp(attempt)}))
                run["ended"] = True
                return
            after = int(request.headers.get("last-event-id", "0"))
            head = (f"HTTP/1.1 200 OK\r\nContent-Type: text/event-stream\r\nTransfer-Encoding: chunked\r\n"
                    f"{ATTEMPT}: {attempt}\r\n{STAMP}: {self.stamp(attempt)}\r\n"
                    f"X-Filbertgw-Weight-Versions: 1\r\n\r\n").encode()
            for number in range(after + 1, plan["events"] + 1):
                event = f"id: {number}\ndata: {version}|{self.data(attempt, number)}\n\n".encode()
                run["events"] += 1
                chunk = f"{len(event):x}\r\n".encode() + event + b"\r\n"
                await self.path(node)
                if writer.is_closing():
                    return
                writer.write(head + chunk)
                head = b""
                await writer.drain()
                await asyncio.sleep(plan["gap_s"])
            await self.path(node)
            writer.write(head + b"0\r\n\r\n")
            run["ended"] = True
        finally:
            self.active -= 1

    def stamp(self, attempt):
        return f"{self.id}.{attempt}"

    @staticmethod
    def data(attempt, number):
        return f"{attempt}-{number}-" + "x" * 40


class Answer:
    def __init__(self):
        self.status = 0
        self.headers = {}
        self.body = b""
        self.complete = False
        self.error = ""

    def events(self):
        found = []
        for block in self.body.split(b"\n\n")[:-1]:
            for line in block.decode("latin-1").split("\n"):
                if line.startswith("data: "):
                    found.append(line[6:])
        return found


async def request(address, method, path, headers, body, limit_s):
    """One client attempt on a new connection."""
    answer = Answer()
    writer = None

    async def exchange():
        nonlocal writer
        reader, writer = await asyncio.wait_for(asyncio.open_connection(*address), 1.0)
        lines = [f"{method} {path} HTTP/1.1", f"Host: {HOST}"]
        lines += [f"{name}: {value}" for name, value in headers.items()]
        if method != "GET":
            lines.append(f"Content-Length: {len(body)}")
        writer.write(("\r\n".join(lines) + "\r\n\r\n").encode("latin-1") + body)
        await writer.drain()
        line, answer.headers = await read_head(reader)
        answer.status = int(line.split(" ")[1])
        if answer.headers.get("transfer-encoding") == "chunked":
            while True:
                size = int((await reader.readline()).split(b";")[0], 16)
                answer.body += await reader.readexactly(size)
                await reader.readexactly(2)
                if size == 0:
                    break
        else:
            answer.body = await reader.readexactly(int(answer.headers.get("content-length", "0")))
        answer.complete = True

    try:
        await asyncio.wait_for(exchange(), limit_s)
    except (asyncio.TimeoutError, asyncio.IncompleteReadError, ConnectionError, OSError, ValueError) as error:
        answer.error = type(error).__name__
    finally:
        if writer is not None:
            writer.close()
    return answer


class World:
    """A deployment: store, engines and gateways. A case derives its own."""

    zones = ["sciacca", "mazara", "palermo"]

    def __init__(self, folder, nodes, model_engines=4, plain_engines=2):
        self.record = Record(os.path.join(folder, "record.txt"))
        self.trouble = os.environ.get("TROUBLE", "1") != "0"
        self.nodes = nodes
        self.folder = tempfile.mkdtemp(prefix="review2-")
        pid = os.getpid()
        self.base = f"127.{64 + (pid >> 8) % 128}.{pid % 256}."
        self.port = self.free_ports()
        self.store = Store()
        self.store.view = self.registry_view
        self.engines = []
        for number in range(model_engines + plain_engines):
            service = MODEL_SERVICE if number < model_engines else PLAIN_SERVICE
            self.engines.append(Engine(self, number, service, f"{self.base}{100 + number}", self.port + 60))
        self.processes = [None] * nodes
        self.logs = [0] * nodes
        self.runs = []
        self.beating = {engine.id for engine in self.engines}  # Engines that write their entries.
        self.version = 1
        self.tasks = []
        self.random = random.Random(pid)

    def free_ports(self):
        for first in range(20000, 30000, 100):
            try:
                for port in range(first, first + 100):
                    for number in (1, 100, 200):
                        with socket.socket() as probe:
                            probe.bind((f"{self.base}{number}", port))
                return first
            except OSError:
                continue
        raise RuntimeError("no free ports")

    @staticmethod
    def registry_view(key, value, node):
        entry = json.loads(value)
        host, _, port = entry["address"].partition(":")
        entry["address"] = f"{host}:{int(port) + node}"
        return json.dumps(entry).encode()

    def plan(self, request):
        """How an engine serves a request: a case overrides it."""
        if request.path.startswith("/lohu930/") or request.path.startswith("/pufi791/"):
            return {"begin_s": 0.06, "events": 12, "gap_s": 0.005}
        return {"begin_s": 0.001, "events": 0, "work_s": 0.03, "answer": b"r" * 800}

    def routes(self):
        def route(name, path, kind, service, **more):
            fields = {"name": name, "host": HOST, "path_prefix": path, "type": kind, "timeout_ms": 3000,
                      "slo_ms": 200, "priority": 1, "service": service, "max_attempts": 2, "retain": False,
                      "retain_s": 60.0, "session_affinity": kind == "streaming", "resumable": False,
                      "gap_target_ms": 250 if kind == "streaming" else 0}
            fields.update(more)
            return fields

        return [
            route("lot-sheet", "/lohu930/", "streaming", MODEL_SERVICE, resumable=True),
            route("audit-talk", "/pufi791/", "streaming", MODEL_SERVICE, priority=0, retain=True),
            route("lot-lookup", "/pule252/", "idempotent", PLAIN_SERVICE, timeout_ms=1200),
            route("lot-release", "/puxa403/", "non_idempotent", PLAIN_SERVICE, max_attempts=1),
        ]

    def tenants(self):
        return []

    def write_configuration(self):
        engine = {"slots": 16, "kv_capacity": 585539, "kv_token_bytes": 18432,
                  "tokens_per_event": TOKENS_PER_EVENT, "most": 12, "models": [{"name": "m"}]}
        configuration = {
            "version": self.version, "routes": self.routes(),
            "services": [{"name": MODEL_SERVICE, "health_path": "/health", "max_conns": 170, "engine": engine},
                         {"name": PLAIN_SERVICE, "health_path": "/health", "max_conns": 100}],
            "limits": {"max_header_bytes": 16384, "max_body_bytes": 4194304, "header_timeout_ms": 3000,
                       "idle_timeout_ms": 15000}}
        if self.tenants():
            configuration["tenants"] = self.tenants()
        self.version += 1
        self.store.put("keyed.op", "config", json.dumps(configuration).encode())

    def host(self, node):
        return f"{self.base}{node + 1}"

    def frontend(self, node):
        return self.host(node), self.port

    def settings(self, node):
        host = self.host(node)
        return {
            "node_name": f"edge-{self.zones[node % 3]}-{node + 1}", "role": "gateway", "machine_class": "edge",
            "serves": ["edge"], "ip": host, "zone": self.zones[node % 3], "region": "sicilia",
            "zones": {zone: "sicilia" for zone in self.zones},
            "listen": {"frontend": f"{host}:{self.port}", "ready": f"{host}:{self.port + 1}"},
            "port_range": [self.port + 10, self.port + 25], "seeds": [], "bootstrap": self.logs[node] == 0,
            "in_failure_budget": False,
            "limits": {"cpu_share": 0.25, "cores": 1, "memory_mb": 290, "max_fds": 8200, "bandwidth_mbps": 1000.0,
                       "disk_mb": 0},
            "data_dir": None, "discovery": "platform", "entry_mode": "vip", "heartbeat_ms": 1200,
            "contracts": ["base", "drain", "config", "cost", "recover", "agent", "stream", "engine", "platform"],
            "fault_tolerance": {"machines": 1, "zones": 0, "regions": 0},
            "bounds": {"seed_lag_s": 3, "addr_reuse_s": 2, "contact_ms": 3000, "ack_ms": 4000, "catch_up_s": 7.5,
                       "drain_ms": 2000, "grace_s": 8, "loss_slack_ms": 200, "apply_ms": 2000,
                       "rollback_slack_ms": 250, "max_stretch_ms": 5000, "recover_s": 12, "pass_ms": 120,
                       "retry_after_s": 0, "completion_s": 10, "settle_ms": 1000},
            "platform": {"address": f"{self.base}200:{self.port + 40 + node}", "form": "log", "writes_per_s": 800,
                         "reads_per_s": 2000, "parts": 8, "append_ms": 4.0, "part_mb_s": 20.0, "read_mb_s": 80.0,
                         "record_bytes": 262144, "call_bytes": 2097152, "retain_s": 300, "part_mb": 200,
                         "ttl_min_ms": 1000}}

    def start_gateway(self, node):
        path = os.path.join(self.folder, f"node-{node}.json")
        with open(path, "w", encoding="utf-8") as file:
            json.dump(self.settings(node), file)
        log = open(os.path.join(self.folder, f"node-{node}.{self.logs[node]}.log"), "wb")
        self.logs[node] += 1
        environment = {"PATH": os.environ.get("PATH", ""), "HOME": self.folder, "FILBERTGW_SETTINGS": path}
        self.processes[node] = subprocess.Popen([os.path.join(ROOT, PROGRAM), "gateway"], cwd=ROOT, env=environment,
                                                stdin=subprocess.DEVNULL, stdout=log, stderr=log)
        log.close()
        self.record.add("started", gateway=node, name=self.settings(node)["node_name"])

    def signal(self, node, number):
        self.record.add("signal", gateway=node, number=int(number))
        self.processes[node].send_signal(number)

    def kill(self, node):
        self.signal(node, signal.SIGKILL)
        self.processes[node].wait()

    async def is_ready(self, node):
        answer = await request((self.host(node), self.port + 1), "GET", "/-/readiness", {}, b"", 1.0)
        return answer.status == 200

    async def wait_ready(self, nodes, limit_s):
        end = time.monotonic() + limit_s
        for node in nodes:
            while not await self.is_ready(node):
                if time.monotonic() > end:
                    raise RuntimeError(f"gateway {node} is not ready")
                await asyncio.sleep(0.05)

    async def sleep_until(self, second):
        await asyncio.sleep(max(0.0, second - self.record.now()))

    async def heartbeats(self):
        while True:
            for engine in self.engines:
                if engine.id in self.beating:
                    self.store.put("keyed.servers", engine.id, engine.entry())
            await asyncio.sleep(1.2)

    async def open(self, first_nodes):
        for node in range(self.nodes):
            await self.store.listen(f"{self.base}200", self.port + 40 + node, node)
        for engine in self.engines:
            await engine.start()
        self.write_configuration()
        self.tasks.append(asyncio.ensure_future(self.heartbeats()))
        for node in first_nodes:
            self.start_gateway(node)
        await self.wait_ready(first_nodes, 10)

    def new_id(self):
        return f"{self.random.getrandbits(64):016x}"

    async def send(self, node, path, headers, body=b"", method="POST", limit_s=3.0, label="request"):
        headers = dict(headers)
        headers.setdefault(ATTEMPT, self.new_id())
        headers.setdefault("X-Filbertgw-Time-Left-Ms", str(int(limit_s * 1000)))
        attempt = headers[ATTEMPT]
        self.record.add("sent", kind=label, gateway=node, attempt=attempt,
                        previous=headers.get("X-Filbertgw-Previous-Turn", "-"))
        answer = await request(self.frontend(node), method, path, headers, body, limit_s + 0.2)
        detail = answer.body.decode("latin-1")[:80] if answer.status >= 400 else f"{len(answer.events())} events"
        self.record.add("answered", kind=label, gateway=node, attempt=attempt, status=answer.status,
                        whole=answer.complete, error=answer.error or "-", detail=detail.replace("\n", " "))
        answer.attempt, answer.at = attempt, self.record.now()
        return answer

    def close(self):
        for process in self.processes:
            if process is not None and process.poll() is None:
                process.send_signal(signal.SIGCONT)
                process.kill()
                process.wait()
        if os.environ.get("KEEP_LOGS"):
            print("logs in", self.folder)
        else:
            shutil.rmtree(self.folder, ignore_errors=True)


def run_case(world, play, limit_s=115):
    """Exits with 1 if the rule was broken, 0 if it held, 2 if the case could not run."""
    async def main():
        loop = asyncio.get_running_loop()
        task = asyncio.ensure_future(asyncio.wait_for(play(world), limit_s))
        for number in (signal.SIGTERM, signal.SIGINT):
            loop.add_signal_handler(number, task.cancel)
        loop.set_exception_handler(lambda *_: None)
        return await task

    status = 2
    try:
        broken = asyncio.run(main())
        status = 1 if broken else 0
    except BaseException as error:  # pylint: disable=broad-except
        world.record.add("could_not_run", error=repr(error))
        print("the case could not run:", repr(error))
    finally:
        world.close()
    verdict = {0: "the rule held", 1: "the rule was broken", 2: "could not run"}[status]
    world.record.add("verdict", status=status, text=verdict)
    print(verdict)
    sys.stdout.flush()
    os._exit(status)
