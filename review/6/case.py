"""A turn of a chain is deleted while the chain is kept: the next turn is answered 404."""
import asyncio
import os
import signal
import sys

HERE = os.path.dirname(os.path.abspath(__file__))
sys.path.insert(0, os.path.join(os.path.dirname(HERE), "standins-2"))
sys.dont_write_bytecode = True
from world import World, run_case  # noqa: E402

GATEWAYS = 10  # As on the site.
JOINING = 9  # Added while the others serve (add_nodes); it freezes later.
PROGRAMS = 240
FREEZE_S = 3.5  # The site's node_freeze: share 0.11 of 10 machines, for_s 3.5.


class Line:
    """A program's line of turns, as its client keeps it."""

    def __init__(self, number, world):
        self.number = number
        self.program = world.new_id()
        self.first = self.second = None
        self.texts = {}


async def turn(world, line, node, previous, label):
    body = f"input of {label} of program {line.number}\n".encode()
    headers = {"X-Filbertgw-Program-Id": line.program, "X-Filbertgw-Session-Id": line.program,
               "X-Filbertgw-Finish-Ms": "200000", "X-Filbertgw-Token-Budget": "100000",
               "X-Filbertgw-Token-Usage": "900,264", "X-Filbertgw-Model": "m",
               "X-Filbertgw-Prompt-Prefix": f"{line.program}:900"}
    if previous:
        headers["X-Filbertgw-Previous-Turn"] = previous
    answer = await world.send(node, f"/pufi791/{line.number}", headers, body, label=label)
    answer.ended_at = world.record.now()
    answer.is_whole = answer.status == 200 and answer.complete
    return answer


async def all_turns(world, lines, node_of, previous_of, label, spread_s):
    async def one(index, line):
        await asyncio.sleep(spread_s * index / max(1, len(lines)))
        return await turn(world, line, node_of(line), previous_of(line), label)

    return await asyncio.gather(*(one(index, line) for index, line in enumerate(lines)))


async def play(world):
    await world.open(range(GATEWAYS - 1))
    await world.sleep_until(3.0)
    lines = [Line(number, world) for number in range(PROGRAMS)]
    # The first turn of each program.
    answers = await all_turns(world, lines, lambda line: line.number % 3, lambda line: None, "first", 2.0)
    for line, answer in zip(lines, answers):
        line.first = answer
    lines = [line for line in lines if line.first.is_whole]
    # A machine is added.
    world.start_gateway(JOINING)
    await world.wait_ready([JOINING], 10)
    await world.sleep_until(8.0)
    # A sub-agent of each program goes on from the first turn.
    subagents = await all_turns(world, lines, lambda line: 3 + line.number % 2, lambda line: line.first.attempt,
                                "subagent", 1.0)
    if len(lines) < PROGRAMS * 0.9 or sum(answer.is_whole for answer in subagents) < PROGRAMS * 0.9:
        raise RuntimeError("the deployment did not serve in calm")
    read_at = world.record.now()  # The holders have read the records of the first turns by now.
    await world.sleep_until(read_at + 41.0)
    if world.trouble:
        world.signal(JOINING, signal.SIGSTOP)
    # The second turn of each program, at machines that are sound; its client asks again if it is told to.
    begin = world.record.now()

    async def second(line):
        for _ in range(3):
            answer = await turn(world, line, 5 + line.number % 2, line.first.attempt, "second")
            if answer.is_whole:
                return answer
            await asyncio.sleep(0.3)
        return answer

    async def staggered(index, line):
        await asyncio.sleep(2.2 * index / len(lines))
        return await second(line)

    answers = await asyncio.gather(*(staggered(index, line) for index, line in enumerate(lines)))
    for line, answer in zip(lines, answers):
        line.second = answer
    lines = [line for line in lines if line.second.is_whole]
    await world.sleep_until(begin + FREEZE_S)
    if world.trouble:
        world.signal(JOINING, signal.SIGCONT)
    # The third turn, less than retain_s after the second one.
    await world.sleep_until(read_at + 93.0)
    thirds = await all_turns(world, lines, lambda line: 7 + line.number % 2, lambda line: line.second.attempt,
                             "third", 2.0)
    lost = 0
    for line, answer in zip(lines, thirds):
        if answer.status in (404, 410):
            lost += 1
            world.record.add("lost", program=line.number, attempt=answer.attempt, previous=line.second.attempt,
                             status=answer.status, first_ended=f"{line.first.ended_at:.1f}",
                             previous_ended=f"{line.second.ended_at:.1f}", age_s=f"{answer.ended_at - line.second.ended_at:.1f}")
            if answer.ended_at - line.second.ended_at >= 60.0:
                raise RuntimeError("a third turn came too late")
    served = sum(answer.is_whole for answer in thirds)
    world.record.add("result", second_turns=len(lines), third_served=served, third_answered_404=lost)
    print(f"third turns: {len(lines)}, served {served}, answered 404: {lost}")
    if served + lost < len(lines) * 0.5:
        raise RuntimeError("third turns were not answered")
    return lost > 0


run_case(World(HERE, GATEWAYS), play)
