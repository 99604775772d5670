"""A program's budget over an outage of the store at whose end all processes are killed."""

import asyncio
import os
import sys

HERE = os.path.dirname(os.path.abspath(__file__))
sys.path.insert(0, os.path.join(os.path.dirname(HERE), "standin"))
import world as standins  # noqa: E402  pylint: disable=wrong-import-position

TROUBLE = os.environ.get("TROUBLE", "1") != "0"
TOKENS_PER_EVENT = 10
EVENTS = 5
TURN = TOKENS_PER_EVENT * EVENTS  # The most that one turn generates.
BUDGET = 10 * TURN
OUTAGE_S = 4.5


class Program:
    def __init__(self, world):
        self.world = world
        self.name = world.new_id()[:6]
        self.tokens = 0
        self.turns = 0

    async def turn(self, node):
        """One client attempt of a turn of the program's own line. Returns the answer."""
        attempt = self.world.new_id()
        answer = await standins.send(
            node.client,
            "POST",
            "/agent/turn",
            {
                "Host": "agents.example",
                "X-Filbertgw-Attempt-Id": attempt,
                "X-Filbertgw-Program-Id": self.name,
                "X-Filbertgw-Session-Id": self.name,
                "X-Filbertgw-Finish-Ms": 60000,
                "X-Filbertgw-Token-Budget": BUDGET,
                "X-Filbertgw-Token-Usage": "100,%d" % TURN,
                "X-Filbertgw-Prompt-Prefix": "5c1e07a2:60,%s:40" % attempt[:8],
                "X-Filbertgw-Model": "m",
                "X-Filbertgw-Time-Left-Ms": 3000,
            },
            b"turn %d" % self.turns,
            timeout=4.0,
        )
        got = len(answer.events) * TOKENS_PER_EVENT
        self.tokens += got
        if answer.status == 200 and answer.complete:
            self.turns += 1
        self.world.record.add(
            "client: program %s attempt %s at %s: status %s, %s, %d tokens (so far %d of %d)"
            % (
                self.name,
                attempt,
                node.name,
                answer.status or "none",
                "whole" if answer.complete else "not whole",
                got,
                self.tokens,
                BUDGET,
            )
        )
        return answer

    async def run(self, until, most):
        """Turns one after the other, each at another node, until a 402, a time or a number of turns."""
        number = 0
        while self.turns < most and (until is None or self.world.record.now() < until):
            node = self.world.nodes[number % len(self.world.nodes)]
            number += 1
            answer = await self.turn(node)
            if answer.status == 402:
                return
            if answer.status != 200 or not answer.complete:
                await asyncio.sleep(float(answer.headers.get("retry-after", "0.1")))
            await asyncio.sleep(0.02)


async def case(world):
    record = world.record
    for _ in range(3):
        world.add_engine("model", events=EVENTS, event_ms=10)
    world.configure(
        [
            {
                "name": "agent",
                "host": "agents.example",
                "path_prefix": "/agent/",
                "service": "model",
                "type": "streaming",
                "timeout_ms": 3000,
                "slo_ms": 200,
                "max_attempts": 1,
                "priority": 0,
                "retain_s": 60,
                "gap_target_ms": 250,
                "session_affinity": True,
            }
        ],
        [
            {
                "name": "model",
                "health_path": "/health",
                "max_conns": 170,
                "engine": {"slots": 16, "tokens_per_event": TOKENS_PER_EVENT, "kv_capacity": 487206},
            }
        ],
    )
    await world.start(3)
    await asyncio.sleep(4.0)
    program = Program(world)
    began = record.now()
    if TROUBLE:
        world.store.mode = "silent"
        record.add("the store is down (silent)")
        await asyncio.sleep(1.5)
    # The program starts; in the outage it gets as many turns as it is granted.
    await program.run(began + OUTAGE_S - 0.2, 10)
    if TROUBLE:
        record.add("all processes are killed; the store is back at the end of its outage")
        for node in world.nodes:
            node.signal(standins.signal.SIGKILL)
        for node in world.nodes:
            node.kill()
        await asyncio.sleep(max(0.0, began + OUTAGE_S - record.now()))
        world.store.mode = "up"
        record.add("the store is up")
        await asyncio.sleep(0.5)
        for node in world.nodes:
            node.start()
        await world.until_ready()
        record.add("all nodes are back and ready")
    await program.run(record.now() + 20.0, 100)
    allowed = BUDGET + TURN
    record.add("tokens handed to the client: %d; allowed: %d + %d = %d" % (program.tokens, BUDGET, TURN, allowed))
    if program.turns < 8:
        raise RuntimeError("the program did not get to its budget")
    return program.tokens <= allowed


standins.run(case, os.path.join(HERE, "record.txt"))
