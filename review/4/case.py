"""The budgets of programs that start at a machine which the store turns away."""

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
AWAY_S = 9.0
PROGRAMS = 8
NODES = 7


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

    async def run(self, first, second, ends):
        """The first turn at one node, the next ones at another, until a 402."""
        while self.world.record.now() < ends:
            answer = await self.turn(second if self.turns > 0 else first)
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
    await world.start(NODES)
    await asyncio.sleep(4.0)
    away, others = world.nodes[0], world.nodes[1:]
    began = record.now()
    if TROUBLE:
        world.store.modes[away.store_host] = "busy"
        record.add("the store turns %s away (503), and serves the others" % away.name)
    programs = []
    running = []
    for number in range(PROGRAMS):
        await asyncio.sleep(0.03)
        programs.append(Program(world))
        second = others[number % len(others)]
        running.append(asyncio.ensure_future(programs[-1].run(away, second, began + AWAY_S)))
    await asyncio.sleep(began + AWAY_S - record.now())
    world.store.modes.clear()
    record.add("the store serves all machines")
    await asyncio.gather(*running)
    over = 0
    for program in programs:
        record.add("program %s: %d turns, %d tokens; allowed: %d + %d" % (program.name, program.turns, program.tokens, BUDGET, TURN))
        over += program.tokens > BUDGET + TURN
    record.add("programs: %d, over their budget by more than one turn: %d" % (len(programs), over))
    if sum(program.turns for program in programs) < 5 * PROGRAMS:
        raise RuntimeError("the programs did not get far")
    return over == 0


standins.run(case, os.path.join(HERE, "record.txt"))
