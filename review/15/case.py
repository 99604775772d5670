"""A program is handed more tokens than its budget and one turn: what an outage granted is forgotten in a large fleet.

The script of KNOWN-RED.txt (commit cb46578), on the stand-ins of the second review as they are now.
"""
import asyncio
import os
import sys

HERE = os.path.dirname(os.path.abspath(__file__))
sys.path.insert(0, os.path.join(os.path.dirname(HERE), "standins-2"))
sys.dont_write_bytecode = True
from world import TOKENS_PER_EVENT, World, run_case  # noqa: E402

GATEWAYS = 30
OUTAGE_S = 4.5  # The site's platform_down.
KILL_BEFORE_END_S = 0.25
PROGRAMS = 8
TURN_TOKENS = 264  # 12 events of 22 tokens.
BUDGET = 2000
MASK = (1 << 64) - 1


def fnv(text, state=14695981039346656037):
    for byte in text.encode():
        state = ((state ^ byte) * 1099511628211) & MASK
    return state


def mix(value):
    value ^= value >> 33
    value = (value * 0xFF51AFD7ED558CCD) & MASK
    return value ^ (value >> 33)


def stable_hash(text):
    return mix(fnv(text))


def pair_hash(first, second):
    return mix((mix(first) + 0x9E3779B97F4A7C15 * second) & MASK)


class Fleet:
    """Which machines hear each other directly, and which decide about a program; as the gateways work it out."""

    def __init__(self, world):
        self.names = [world.settings(node)["node_name"] for node in range(world.nodes)]
        self.zones = [world.settings(node)["zone"] for node in range(world.nodes)]
        self.hashes = [stable_hash(name) for name in self.names]
        self.prefixes = [fnv(name + "/") for name in self.names]
        groups = {zone: max(1, round(self.zones.count(zone) / world.nodes ** 0.5)) for zone in set(self.zones)}
        self.groups = [(zone, value % groups[zone]) for zone, value in zip(self.zones, self.hashes)]

    def heard_directly(self, node):
        heard = {other for other, group in enumerate(self.groups) if group == self.groups[node]}
        for group in set(self.groups) - {self.groups[node]}:
            members = [other for other, own in enumerate(self.groups) if own == group]
            heard.add(max(members, key=lambda member: pair_hash(self.hashes[member], self.hashes[node])))
        return heard

    def deciders(self, program):
        """The coordinator of a program and its two replicas."""
        weights = [(mix(fnv(program, prefix)), node) for node, prefix in enumerate(self.prefixes)]
        return [node for _, node in sorted(weights, reverse=True)[:3]]


async def turn(world, name, number, node, label):
    headers = {"X-Filbertgw-Program-Id": name, "X-Filbertgw-Session-Id": name, "X-Filbertgw-Finish-Ms": "60000",
               "X-Filbertgw-Token-Budget": str(BUDGET), "X-Filbertgw-Token-Usage": f"900,{TURN_TOKENS}",
               "X-Filbertgw-Model": "m", "X-Filbertgw-Prompt-Prefix": f"{name}:900"}
    return await world.send(node, f"/lohu930/{number}", headers, b"input\n", label=label)


async def play(world):
    fleet = Fleet(world)
    # A machine, and three others that it does not hear directly: the programs of the test are decided by these.
    asker = 0
    others = [node for node in range(GATEWAYS) if node not in fleet.heard_directly(asker) and node != asker]
    victims = set(others[:3])
    names = []
    while len(names) < PROGRAMS:
        name = f"{world.random.getrandbits(32):08x}"
        if set(fleet.deciders(name)) == victims:
            names.append(name)
    world.record.add("chosen", asker=fleet.names[asker], killed=",".join(fleet.names[node] for node in victims))
    await world.open(range(GATEWAYS))
    await world.sleep_until(world.record.now() + 6.0)
    # Usual traffic: programs of which the store has records.
    calm = await asyncio.gather(*(turn(world, world.new_id(), number, number % GATEWAYS, "calm")
                                  for number in range(20)))
    if sum(answer.status == 200 for answer in calm) < 18:
        raise RuntimeError("the deployment did not serve in calm")
    await asyncio.sleep(3.0)
    handed = {name: 0 for name in names}
    attempts = []

    async def one(name, number, node, label):
        answer = await turn(world, name, number, node, label)
        handed[name] += len(answer.events()) * TOKENS_PER_EVENT
        attempts.append(answer)
        return answer

    async def begin(number, name):
        # In an outage: the first turns of a program, one after the other, at the machine that coordinates it.
        for _ in range(3):
            await one(name, number, fleet.deciders(name)[0], "early")

    begin_at = world.record.now()
    if world.trouble:
        world.store.down = True
        world.record.add("store_down")
    await asyncio.sleep(1.4)
    await asyncio.gather(*(begin(number, name) for number, name in enumerate(names)))
    granted = dict(handed)
    world.record.add("granted_in_the_outage", tokens=sum(granted.values()))
    await world.sleep_until(begin_at + OUTAGE_S - KILL_BEFORE_END_S)
    if world.trouble:
        for node in victims:
            world.kill(node)
        for node in victims:
            world.start_gateway(node)
        await world.sleep_until(begin_at + OUTAGE_S)
        world.store.down = False
        world.record.add("store_up")
    await asyncio.sleep(6.0)

    async def go_on(number, name):
        refused = 0
        for _ in range(14):
            answer = await one(name, number, asker, "late")
            refused = refused + 1 if answer.status != 200 else 0
            if answer.status == 402 or refused >= 6:
                return
            await asyncio.sleep(0.3 if refused else 0.05)

    await asyncio.gather(*(go_on(number, name) for number, name in enumerate(names)))
    over = [name for name in names if handed[name] > BUDGET + TURN_TOKENS]
    for name in names:
        world.record.add("handed", program=name, in_outage=granted[name], in_all=handed[name], budget=BUDGET,
                         limit=BUDGET + TURN_TOKENS)
    print(f"programs: {len(names)}, over budget and one turn: {len(over)}, handed: {sorted(handed.values())}")
    if not any(handed.values()):
        raise RuntimeError("nothing was served")
    return bool(over)


run_case(World(HERE, GATEWAYS, model_engines=6), play)
