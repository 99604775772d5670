"""Stand-ins for the platform's store, the engines and the clients, and the processes of a small deployment.

Everything listens on loopback addresses. Each node has an address of its own (127.B.C.N) and, as on the platform, all
nodes have the same ports. Only the standard library is used.
"""

import asyncio
import base64
import json
import os
import random
import shutil
import signal
import socket
import struct
import subprocess
import sys
import tempfile
import time
import urllib.parse

ROOT = os.path.dirname(os.path.dirname(os.path.dirname(os.path.abspath(__file__))))
PREFIX = "x-filbertgw-"


class Record:
    """Writes record.txt: what was sent, answered and run, with seconds since the start."""

    def __init__(self, path):
        self.file = open(path, "w")
        self.began = time.monotonic()

    def now(self):
        return time.monotonic() - self.began

    def drop(self, is_dropped):
        """Leaves out lines that say nothing of what is judged, so that the file stays short."""
        self.file.close()
        with open(self.file.name) as file:
            lines = [line for line in file if not is_dropped(line)]
        self.file = open(self.file.name, "w")
        self.file.writelines(lines)

    def add(self, text):
        self.file.write("%8.3f  %s\n" % (self.now(), text))
        self.file.flush()


# ---------------------------------------------------------------- HTTP/1.1


class Request:
    def __init__(self, method, target, headers, body):
        self.method, self.target, self.headers, self.body = method, target, headers, body
        self.path, _, query = target.partition("?")
        self.query = dict(urllib.parse.parse_qsl(query, keep_blank_values=True))


async def read_head(reader):
    """The first line and the headers, or None at the end of the connection."""
    try:
        text = await reader.readuntil(b"\r\n\r\n")
    except (asyncio.IncompleteReadError, ConnectionError, asyncio.LimitOverrunError):
        return None
    lines = text.decode("latin-1").split("\r\n")
    headers = {}
    for line in lines[1:]:
        name, colon, value = line.partition(":")
        if colon:
            headers[name.strip().lower()] = value.strip()
    return lines[0], headers


async def read_request(reader):
    head = await read_head(reader)
    if head is None:
        return None
    method, target, _ = head[0].split(" ", 2)
    body = b""
    if "content-length" in head[1]:
        try:
            body = await reader.readexactly(int(head[1]["content-length"]))
        except (asyncio.IncompleteReadError, ConnectionError):
            return None
    return Request(method, target, head[1], body)


def head_of(status, headers):
    lines = ["HTTP/1.1 %d X" % status] + ["%s: %s" % item for item in headers.items()]
    return ("\r\n".join(lines) + "\r\n\r\n").encode("latin-1")


def whole(status, body=b"", headers=None):
    return head_of(status, {**(headers or {}), "Content-Length": len(body)}) + body


def reset(writer):
    """Closes a connection with a reset."""
    sock = writer.get_extra_info("socket")
    if sock is not None:
        try:
            sock.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, struct.pack("ii", 1, 0))
        except OSError:
            pass
    writer.transport.abort()


class Server:
    """Serves one request at a time on a connection; a handler that returns False closes it."""

    def __init__(self, host, port):
        self.host, self.port = host, port
        self.server = None
        self.writers = set()

    async def start(self):
        self.server = await asyncio.start_server(self.connection, self.host, self.port, limit=1 << 22)

    async def stop(self):
        if self.server is not None:
            self.server.close()
            for writer in list(self.writers):
                reset(writer)
            self.server = None

    async def connection(self, reader, writer):
        self.writers.add(writer)
        try:
            while True:
                request = await read_request(reader)
                if request is None:
                    return
                if await self.handle(request, reader, writer) is False:
                    return
        except (ConnectionError, OSError):
            pass
        finally:
            self.writers.discard(writer)
            writer.close()


# ---------------------------------------------------------------- the platform's store


class Partition:
    def __init__(self):
        self.records = []  # (key, value or None) by offset
        self.newest = {}  # key -> (value, offset)
        self.producers = {}  # producer -> [epoch, last sequence, {sequence: answer}]
        self.changed = asyncio.Event()
        self.lock = asyncio.Lock()


class Store(Server):
    """The log store. `mode` is up, silent (no call is carried out or answered) or busy (503).

    Each node reaches it at an address of its own, so that it can turn one machine away: `modes`, by address.
    """

    APPEND_S = 0.004

    def __init__(self, hosts, port):
        super().__init__(hosts, port)
        self.partitions = {}
        self.mode = "up"
        self.modes = {}

    def mode_for(self, writer):
        return self.modes.get(writer.get_extra_info("sockname")[0], self.mode)

    def partition(self, topic, part):
        return self.partitions.setdefault((topic, int(part)), Partition())

    def put(self, topic, key, value):
        """A record of the operator or of an engine."""
        self.append_record(self.partition(topic, 0), key, None if value is None else json.dumps(value).encode())

    def append_record(self, partition, key, value):
        if value is None:
            partition.newest.pop(key, None)
        else:
            partition.newest[key] = (value, len(partition.records))
        partition.records.append((key, value))
        changed, partition.changed = partition.changed, asyncio.Event()
        changed.set()

    async def handle(self, request, reader, writer):
        if self.mode_for(writer) == "silent":
            # The call is not carried out, and the connection returns nothing further.
            while await reader.read(65536):
                pass
            return False
        if self.mode_for(writer) == "busy":
            writer.write(whole(503, b"{}", {"Content-Type": "application/json"}))
            return True
        call = {"/-/log-append": self.append, "/-/log-read": self.read, "/-/log-newest": self.newest}.get(request.path)
        if call is None:
            writer.write(whole(404))
            return True
        status, kind, body = await call(request)
        if self.mode_for(writer) == "silent":
            while await reader.read(65536):
                pass
            return False
        writer.write(whole(status, body, {"Content-Type": kind}))
        await writer.drain()
        return True

    @staticmethod
    def answer(status, body):
        return status, "application/json", json.dumps(body).encode()

    async def append(self, request):
        query = request.query
        partition = self.partition(query["topic"], query["part"])
        async with partition.lock:
            await asyncio.sleep(self.APPEND_S)
            if "at" in query and int(query["at"]) != len(partition.records):
                return self.answer(412, {"end": len(partition.records)})
            if "producer" in query:
                refusal = self.check_producer(partition, query)
                if refusal is not None:
                    return refusal
            first = len(partition.records)
            body = request.body
            at = 0
            while at < len(body):
                (size,) = struct.unpack(">I", body[at : at + 4])
                record = body[at + 4 : at + 4 + size]
                at += 4 + size
                key = record[1 : 1 + record[0]].decode("latin-1")
                value = record[1 + record[0] :]
                self.append_record(partition, key, value if value else None)
            result = self.answer(200, {"offset": first, "end": len(partition.records)})
            if "producer" in query:
                state = partition.producers[query["producer"]]
                state[1] = int(query["sequence"])
                state[2][state[1]] = result
                state[2].pop(state[1] - 5, None)
            return result

    def check_producer(self, partition, query):
        epoch, sequence = int(query["epoch"]), int(query["sequence"])
        state = partition.producers.setdefault(query["producer"], [0, None, {}])
        if epoch < state[0]:
            return self.answer(409, {"why": "fenced"})
        if epoch > state[0]:
            state[0], state[1], state[2] = epoch, None, {}
            return None
        if sequence in state[2]:
            return state[2][sequence]
        if state[1] is not None and sequence != state[1] + 1:
            return self.answer(409, {"why": "seq", "sequence": state[1] + 1})
        return None

    async def read(self, request):
        query = request.query
        partition = self.partition(query["topic"], query["part"])
        start = int(query["from"])
        if start >= len(partition.records) and int(query.get("wait_ms", 0)) > 0:
            try:
                await asyncio.wait_for(partition.changed.wait(), int(query["wait_ms"]) / 1000)
            except asyncio.TimeoutError:
                pass
        await asyncio.sleep(self.APPEND_S)
        body = struct.pack(">QQ", len(partition.records), 0)
        for key, value in partition.records[start:]:
            record = bytes([len(key)]) + key.encode("latin-1") + (value or b"")
            if len(body) + len(record) > 1 << 20:
                break
            body += struct.pack(">I", len(record)) + record
        return 200, "application/octet-stream", body

    async def newest(self, request):
        query = request.query
        partition = self.partition(query["topic"], query["part"])
        await asyncio.sleep(self.APPEND_S)
        keys = sorted(key for key in partition.newest if key > query.get("after", ""))
        items = []
        size = 0
        for key in keys[:500]:
            value, offset = partition.newest[key]
            size += len(value)
            if items and size > 1 << 20:
                break
            items.append({"key": key, "value": base64.b64encode(value).decode(), "offset": offset})
        return self.answer(
            200, {"items": items, "has_more": len(items) < len(keys), "end": len(partition.records)}
        )


# ---------------------------------------------------------------- engines


class Engine(Server):
    """A server of a service. `runs` lists what it ran; hooks of a case change how it answers."""

    def __init__(self, record, name, host, port, events=5, event_ms=10, streams=True, version="1.0"):
        super().__init__(host, port)
        self.record, self.name = record, name
        self.events, self.event_ms, self.streams, self.version = events, event_ms, streams, version
        self.runs = []
        self.state = "ready"
        self.leaving = False
        self.crash_at = None  # Event after which the engine crashes, or None.
        self.born = int(time.time() * 1000)

    def entry(self, service, zone):
        return {
            "service": service,
            "address": "%s:%d" % (self.host, self.port),
            "zone": zone,
            "version": self.version,
            "slots": 16,
            "state": self.state,
            "cold_left_ms": 0,
            "sequence": 1,
            "born": self.born,
        }

    def text(self, request, number):
        """The data of an event; it follows from the request's id-independent content and the number only."""
        return "out%d" % number

    async def handle(self, request, reader, writer):
        if request.path == "/-/kv-list":
            body = json.dumps({"epoch": 1, "next": 0, "held": []}).encode()
            writer.write(whole(200, body, {"Content-Type": "application/json"}))
            return True
        if request.path in ("/-/report", "/health"):
            writer.write(whole(200, b"{}", {PREFIX + "instance-id": self.name}))
            return True
        headers = request.headers
        attempt = headers.get(PREFIX + "attempt-id", "")
        common = {PREFIX + "attempt-id": attempt}
        if self.leaving:
            common["Server-Leaving"] = "1"
        if headers.get(PREFIX + "expect-instance", self.name) != self.name:
            writer.write(whole(421, b"", {**common, PREFIX + "instance-id": self.name}))
            return True
        if not attempt:
            writer.write(whole(400, b"", {PREFIX + "not-executed": "1"}))
            return True
        run = {"attempt": attempt, "headers": headers, "body": request.body, "path": request.path, "made": 0}
        self.runs.append(run)
        self.record.add(
            "engine %s gets %s %s body=%d bytes last-event-id=%s"
            % (self.name, attempt, request.path, len(request.body), headers.get("last-event-id", "-"))
        )
        common[PREFIX + "response-stamp"] = "stamp-%s-%s" % (self.name, attempt)
        if not self.streams:
            return await self.answer_whole(request, run, common, reader, writer)
        return await self.answer_stream(request, run, common, writer)

    async def answer_whole(self, request, run, common, reader, writer):
        await asyncio.sleep(self.event_ms / 1000)
        writer.write(whole(200, b"done " + run["attempt"].encode(), {**common, "Content-Type": "text/plain"}))
        await writer.drain()
        return True

    async def answer_stream(self, request, run, common, writer):
        first = int(request.headers.get("last-event-id") or 0) + 1
        writer.write(head_of(200, {**common, "Content-Type": "text/event-stream", "Transfer-Encoding": "chunked"}))
        for number in range(first, self.events + 1):
            await asyncio.sleep(self.event_ms / 1000)
            if writer.transport.is_closing():
                self.record.add("engine %s drops %s: its connection closed" % (self.name, run["attempt"]))
                return False
            part = ("id: %d\ndata: %s\n\n" % (number, self.text(request, number))).encode()
            writer.write(b"%x\r\n%s\r\n" % (len(part), part))
            await writer.drain()
            run["made"] = number
            if self.crash_at == number:
                self.crash_at = None
                self.record.add("engine %s crashes after event %d of %s" % (self.name, number, run["attempt"]))
                await asyncio.sleep(0.05)
                await self.stop()
                return False
        writer.write(b"0\r\n\r\n")
        await writer.drain()
        return True


# ---------------------------------------------------------------- clients


class Answer:
    def __init__(self):
        self.status = 0
        self.headers = {}
        self.body = b""
        self.connected = False
        self.complete = False
        self.events = []  # (id, data)

    def parse_events(self):
        self.events = []
        for block in self.body.decode("latin-1").split("\n\n")[:-1]:
            fields = dict(line.split(": ", 1) for line in block.split("\n") if ": " in line)
            self.events.append((fields.get("id", ""), fields.get("data", "")))

    def last_event_id(self):
        return self.events[-1][0] if self.events else ""


async def send(address, method, target, headers, body=b"", timeout=5.0, on_part=None):
    """One client attempt on a connection of its own."""
    answer = Answer()
    host, _, port = address.partition(":")
    try:
        reader, writer = await asyncio.wait_for(asyncio.open_connection(host, int(port), limit=1 << 22), 1.0)
    except (OSError, asyncio.TimeoutError):
        return answer
    answer.connected = True
    try:
        lines = ["%s %s HTTP/1.1" % (method, target)] + ["%s: %s" % item for item in headers.items()]
        lines.append("Content-Length: %d" % len(body))
        writer.write(("\r\n".join(lines) + "\r\n\r\n").encode("latin-1") + body)
        await asyncio.wait_for(read_answer(reader, answer, on_part), timeout)
    except (OSError, asyncio.TimeoutError, asyncio.IncompleteReadError, ValueError):
        pass
    finally:
        writer.close()
    answer.parse_events()
    return answer


async def read_answer(reader, answer, on_part):
    head = await read_head(reader)
    if head is None:
        return
    answer.status = int(head[0].split(" ")[1])
    answer.headers = head[1]
    if answer.headers.get("transfer-encoding") == "chunked":
        while True:
            size = int((await reader.readline()).split(b";")[0], 16)
            chunk = await reader.readexactly(size + 2)
            if size == 0:
                answer.complete = True
                return
            answer.body += chunk[:-2]
            if on_part is not None:
                answer.parse_events()
                on_part(answer)
    answer.body = await reader.readexactly(int(answer.headers.get("content-length", "0")))
    answer.complete = True


# ---------------------------------------------------------------- processes of the system


class Node:
    def __init__(self, number, host, ports, store, zone, folder):
        self.name = "edge-%s-%d" % (zone, number)
        self.host, self.zone, self.store_host = host, zone, store.partition(":")[0]
        self.client = "%s:%d" % (host, ports[0])
        self.ready = "%s:%d" % (host, ports[1])
        self.settings = os.path.join(folder, self.name + ".json")
        self.log = os.path.join(folder, self.name + ".log")
        self.process = None
        settings = {
            "node_name": self.name,
            "role": "gateway",
            "machine_class": "edge",
            "serves": ["edge"],
            "ip": host,
            "zone": zone,
            "region": "region-1",
            "zones": {"za": "region-1", "zb": "region-1", "zc": "region-1"},
            "listen": {"frontend": self.client, "ready": self.ready},
            "port_range": [ports[2], ports[2] + 15],
            "seeds": [],
            "bootstrap": True,
            "limits": {
                "cpu_share": 0.5,
                "cores": 1,
                "memory_mb": 290,
                "max_fds": 8200,
                "bandwidth_mbps": 1000.0,
                "disk_mb": 0,
            },
            "data_dir": None,
            "discovery": "platform",
            "entry_mode": "vip",
            "heartbeat_ms": 1200,
            "bounds": {"contact_ms": 3000, "drain_ms": 2000, "grace_s": 8, "apply_ms": 2000, "recover_s": 12},
            "platform": {
                "address": store,
                "form": "log",
                "writes_per_s": 800,
                "reads_per_s": 2000,
                "parts": 8,
                "append_ms": 4.0,
                "part_mb_s": 20.0,
                "read_mb_s": 80.0,
                "record_bytes": 262144,
                "call_bytes": 2097152,
                "retain_s": 300,
                "part_mb": 200,
                "ttl_min_ms": 1000,
            },
        }
        with open(self.settings, "w") as file:
            json.dump(settings, file)

    def start(self):
        if self.process is not None:
            self.settings_of_restart()
        environment = {name: os.environ[name] for name in ("PATH", "HOME", "LANG") if name in os.environ}
        environment["FILBERTGW_SETTINGS"] = self.settings
        with open(self.log, "a") as log:
            self.process = subprocess.Popen(
                [os.path.join(ROOT, "target", "filbertgw"), "gateway"],
                cwd=ROOT,
                env=environment,
                stdin=subprocess.DEVNULL,
                stdout=log,
                stderr=log,
            )

    def settings_of_restart(self):
        """`bootstrap` is true only when the whole system starts for the first time."""
        with open(self.settings) as file:
            settings = json.load(file)
        settings["bootstrap"] = False
        with open(self.settings, "w") as file:
            json.dump(settings, file)

    def signal(self, number):
        if self.process is not None and self.process.poll() is None:
            self.process.send_signal(number)

    def kill(self):
        self.signal(signal.SIGKILL)
        if self.process is not None:
            self.process.wait()

    async def is_ready(self):
        answer = await send(self.ready, "GET", "/-/readiness", {"Host": self.ready}, timeout=1.0)
        return answer.status == 200


class World:
    """A small deployment: nodes, a store and engines. A case adds its engines and its configuration."""

    def __init__(self, record_path):
        self.record = Record(record_path)
        self.random = random.Random()
        self.folder = tempfile.mkdtemp(prefix="filbertgw-review-")
        self.base = "127.%d.%d" % (self.random.randint(10, 250), self.random.randint(1, 250))
        self.ports = self.free_ports()
        self.store = Store(["%s.%d" % (self.base, 200 + number) for number in range(1, 21)], self.ports[3])
        self.nodes = []
        self.engines = []
        self.version = 0

    def free_ports(self):
        """Ports for clients, readiness, the range between nodes (16) and the store, free on the addresses used."""
        for _ in range(100):
            first = self.random.randint(20000, 30000)
            wanted = list(range(first, first + 40))
            if all(self.is_free(port) for port in wanted):
                return first, first + 1, first + 4, first + 30, first + 31
        raise RuntimeError("no free ports")

    @staticmethod
    def is_free(port):
        with socket.socket() as probe:
            try:
                probe.bind(("127.0.0.1", port))
                return True
            except OSError:
                return False

    def add_engine(self, service, zone="za", **options):
        number = len(self.engines) + 1
        engine = Engine(
            self.record, "i-%06x" % self.random.getrandbits(24), "%s.%d" % (self.base, 100 + number), self.ports[4], **options
        )
        engine.service, engine.zone = service, zone
        self.engines.append(engine)
        return engine

    def register(self, engine):
        self.store.put("keyed.servers", engine.name, engine.entry(engine.service, engine.zone))

    def configure(self, routes, services):
        self.version += self.random.randint(1, 5)
        self.store.put(
            "keyed.op",
            "config",
            {
                "version": self.version,
                "routes": routes,
                "services": services,
                "limits": {
                    "max_header_bytes": 32768,
                    "max_body_bytes": 4194304,
                    "header_timeout_ms": 5000,
                    "idle_timeout_ms": 60000,
                },
            },
        )

    async def start(self, nodes):
        await self.store.start()
        for engine in self.engines:
            await engine.start()
            self.register(engine)
        for number in range(1, nodes + 1):
            zone = "z" + "abc"[(number - 1) % 3]
            self.nodes.append(
                Node(number, "%s.%d" % (self.base, number), self.ports, "%s:%d" % (self.store.host[number - 1], self.store.port), zone, self.folder)
            )
        for node in self.nodes:
            node.start()
        await self.until_ready()

    async def until_ready(self, nodes=None, timeout=20.0):
        ends = time.monotonic() + timeout
        for node in nodes or self.nodes:
            while not await node.is_ready():
                if time.monotonic() > ends:
                    raise RuntimeError(node.name + " is not ready")
                await asyncio.sleep(0.1)

    async def stop(self):
        for node in self.nodes:
            node.signal(signal.SIGCONT)
            node.kill()
        for engine in self.engines:
            await engine.stop()
        await self.store.stop()

    def new_id(self):
        return "%016x" % self.random.getrandbits(64)


def run(case, record_path):
    """Runs a case: an async function of a World that returns True if the rule held. Exits with 1, 0 or 2."""

    async def play():
        world = World(record_path)
        task = asyncio.current_task()
        for number in (signal.SIGTERM, signal.SIGINT):
            asyncio.get_running_loop().add_signal_handler(number, task.cancel)
        try:
            held = await asyncio.wait_for(case(world), 115)
            world.record.add("RESULT: the rule %s" % ("held" if held else "was broken"))
            return 0 if held else 1
        except Exception as error:  # pylint: disable=broad-except
            world.record.add("could not run: %r" % error)
            print("could not run: %r" % (error,))
            return 2
        except asyncio.CancelledError:
            world.record.add("could not run: ended by a signal")
            return 2
        finally:
            await world.stop()
            if "KEEP_LOGS" in os.environ:
                print("logs of the nodes: " + world.folder)
            else:
                shutil.rmtree(world.folder, ignore_errors=True)

    sys.exit(asyncio.run(play()))
