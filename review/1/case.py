"""Engines that are full refuse requests; some of their answers come a second time, late."""

import asyncio
import os
import random
import sys

HERE = os.path.dirname(os.path.abspath(__file__))
sys.path.insert(0, os.path.join(os.path.dirname(HERE), "standin"))
import world as standins  # noqa: E402  pylint: disable=wrong-import-position

TROUBLE = os.environ.get("TROUBLE", "1") != "0"
NODES = 10
ENGINES = 2
GARBLING = 1  # A share of 0.5.
GARBLE_SHARE = 0.03  # Of the answers of an engine that garbles.
SLOTS = 6
QUEUE = 2
CLIENTS = 20
GARBLE_S = 5.0
TIMES = 10
WORK_S = 0.0694  # On average, as a buyer-invoice of the site; exponentially distributed.
MOST_WORK_S = 0.297


class PlainEngine(standins.Engine):
    """A plain service's server: runs SLOTS requests at once and refuses further ones, stating that it did not run them.

    While it garbles, GARBLE_SHARE of its answers come a second time on the same connection: late, when the
    next request has arrived there and its response is expected.
    """

    garbles = False
    answers = 0  # While it garbles.
    extras = 0
    refusals = 0

    def __init__(self, *arguments, **options):
        super().__init__(*arguments, **options)
        self.places = asyncio.Semaphore(SLOTS + QUEUE)
        self.slots = asyncio.Semaphore(SLOTS)

    async def connection(self, reader, writer):
        writer.late = b""
        await super().connection(reader, writer)

    async def handle(self, request, reader, writer):
        if writer.late:
            self.record.add(
                "engine %s sends its answer to %s a second time, where the one to %s is expected"
                % (self.name, writer.late_attempt, request.headers.get(standins.PREFIX + "attempt-id", "none"))
            )
            writer.write(writer.late)
            writer.late = b""
            await writer.drain()
        return await super().handle(request, reader, writer)

    async def answer_whole(self, request, run, common, reader, writer):
        attempt = run["attempt"]
        if self.places.locked():
            self.runs.remove(run)
            self.refusals += 1
            self.record.add("engine %s is full: 503 to %s, not executed" % (self.name, attempt))
            common.pop(standins.PREFIX + "response-stamp")
            answer = standins.whole(503, b"full", {**common, standins.PREFIX + "not-executed": "1"})
        else:
            async with self.places, self.slots:
                if reader.at_eof():
                    self.runs.remove(run)
                    self.record.add("engine %s drops %s: its connection closed" % (self.name, attempt))
                    return False
                self.record.add("engine %s begins to work on %s" % (self.name, attempt))
                await asyncio.sleep(min(MOST_WORK_S, random.expovariate(1 / WORK_S)))
            answer = standins.whole(200, b"done " + attempt.encode(), {**common, "Content-Type": "text/plain"})
        self.answers += self.garbles
        if self.garbles and self.extras + 1 <= GARBLE_SHARE * self.answers:
            self.extras += 1
            writer.late, writer.late_attempt = answer, attempt
        writer.write(answer)
        await writer.drain()
        return True


async def client(world, node, ends, answers):
    """Sends orders one after the other; each attempt has its own id and a connection of its own."""
    while world.record.now() < ends:
        attempt = world.new_id()
        answer = await standins.send(
            node.client,
            "POST",
            "/orders/new",
            {"Host": "shop.example", "X-Filbertgw-Attempt-Id": attempt, "X-Filbertgw-Time-Left-Ms": 3000},
            b"order " + attempt.encode(),
            4.0,
        )
        answers[attempt] = answer.status
        world.record.add("client: attempt %s at %s: status %s" % (attempt, node.name, answer.status or "none"))
        if answer.status == 503:
            await asyncio.sleep(min(1.0, float(answer.headers.get("retry-after", "0.1"))))


async def case(world):
    record = world.record
    for number in range(ENGINES):
        engine = PlainEngine(record, "i-%06x" % (0xA0 + number), "%s.%d" % (world.base, 101 + number), world.ports[4])
        engine.streams = False
        engine.service, engine.zone = "orders", "z" + "abc"[number % 3]
        world.engines.append(engine)
    world.configure(
        [
            {
                "name": "orders",
                "host": "shop.example",
                "path_prefix": "/orders/",
                "service": "orders",
                "type": "non_idempotent",
                "timeout_ms": 3000,
                "slo_ms": 500,
                "max_attempts": 1,
                "priority": 2,
            }
        ],
        [{"name": "orders", "health_path": "/health", "max_conns": 100}],
    )
    await world.start(NODES)
    await asyncio.sleep(3.0)
    answers = {}
    for _ in range(TIMES):
        ends = record.now() + GARBLE_S
        for engine in world.engines[:GARBLING]:
            engine.garbles = TROUBLE
        await asyncio.gather(*(client(world, world.nodes[n % NODES], ends, answers) for n in range(CLIENTS)))
        for engine in world.engines:
            engine.garbles = False
        await asyncio.sleep(1.0)
    runs = {}
    for engine in world.engines:
        for run in engine.runs:
            runs.setdefault(run["attempt"], []).append(engine.name)
    twice = {attempt: names for attempt, names in runs.items() if len(names) > 1}
    refused = [attempt for attempt in runs if answers.get(attempt) in (408, 421, 429, 503)]
    shown = set(twice) | set(refused)
    passing = (" gets ", " is full: ", " sends its answer to ")
    record.drop(lambda line: any(part in line for part in passing) and not any(attempt in line for attempt in shown))
    for attempt, names in twice.items():
        record.add("TWICE: %s was run by %s; its client got %s" % (attempt, " and ".join(names), answers.get(attempt)))
    for attempt in refused:
        record.add("REFUSED: %s was run by %s; its client got %s" % (attempt, runs[attempt], answers[attempt]))
    extras = sum(engine.extras for engine in world.engines)
    total = sum(engine.answers for engine in world.engines[:GARBLING])
    refusals = sum(engine.refusals for engine in world.engines)
    record.add("refusals of full engines: %d; answers while garbling: %d, sent a second time: %d" % (refusals, total, extras))
    record.add("attempts: %d, run: %d, run twice: %d, refused and run: %d" % (len(answers), len(runs), len(twice), len(refused)))
    if len(runs) < 1000:
        raise RuntimeError("too few requests were run")
    return not twice and not refused


standins.run(case, os.path.join(HERE, "record.txt"))
