"""A turn that an engine has run is answered 402, which promises that it has not run."""
import asyncio
import os
import sys

HERE = os.path.dirname(os.path.abspath(__file__))
sys.path.insert(0, os.path.join(os.path.dirname(HERE), "standins-2"))
sys.dont_write_bytecode = True
from world import World, run_case  # noqa: E402

GATEWAYS = 6
CUT = 0  # One of six machines: share 0.17, as in the site's node_cut.
CUT_S = 5.5  # The site's for_s of node_cut.
PROGRAMS = 40
TURN_TOKENS = 264  # 12 events of 22 tokens.
BUDGET = 2 * TURN_TOKENS + 100  # Two whole turns; the third is refused.


class Deployment(World):
    def plan(self, request):
        if request.path.startswith("/lohu930/"):
            return {"begin_s": 0.15, "events": 12, "gap_s": 0.01}  # The prompt is read first.
        return super().plan(request)


async def turn(world, number, program, node, label):
    headers = {"X-Filbertgw-Program-Id": program, "X-Filbertgw-Session-Id": program,
               "X-Filbertgw-Finish-Ms": "20000", "X-Filbertgw-Token-Budget": str(BUDGET),
               "X-Filbertgw-Token-Usage": f"900,{TURN_TOKENS}", "X-Filbertgw-Model": "m",
               "X-Filbertgw-Prompt-Prefix": f"{program}:900"}
    body = f"input of {label} of program {number}\n".encode()
    return await world.send(node, f"/lohu930/{number}", headers, body, label=label)


async def play(world):
    await world.open(range(GATEWAYS))
    await world.sleep_until(12.0)  # Traffic starts 10 s after the machines do.
    answers = []

    async def program(number):
        await asyncio.sleep(number * 0.025)
        name = world.new_id()
        answers.append(await turn(world, number, name, CUT, "first"))
        await asyncio.sleep(2.0)
        answers.append(await turn(world, number, name, CUT, "second"))
        await asyncio.sleep(2.0)
        answers.append(await turn(world, number, name, 1 + number % (GATEWAYS - 1), "third"))

    async def cut():
        await asyncio.sleep(2.9)  # In the middle of the second turns.
        if world.trouble:
            world.record.add("cut", gateway=CUT)
            for engine in world.engines:
                engine.cut(CUT)
            await asyncio.sleep(CUT_S)
            for engine in world.engines:
                await engine.heal(CUT)
            world.record.add("healed", gateway=CUT)

    await asyncio.gather(cut(), *(program(number) for number in range(PROGRAMS)))
    await asyncio.sleep(1.0)
    ran = {run["attempt"]: run["at"] for run in world.runs}
    first = answers_of(answers, ran)
    broken = [answer for answer in answers if answer.status == 402 and answer.attempt in ran]
    for answer in broken:
        world.record.add("ran_and_refused", attempt=answer.attempt, status=answer.status,
                         ran_at=f"{ran[answer.attempt]:.3f}", answered_at=f"{answer.at:.3f}",
                         runs=sum(run["attempt"] == answer.attempt for run in world.runs))
    world.record.add("result", **first, refused_and_ran=len(broken))
    print(f"{first}, refused though run: {len(broken)}")
    if first["whole"] < PROGRAMS:
        raise RuntimeError("the deployment did not serve")
    return bool(broken)


def answers_of(answers, ran):
    return {"turns": len(answers), "whole": sum(answer.status == 200 and answer.complete for answer in answers),
            "status_402": sum(answer.status == 402 for answer in answers), "ran": len(ran)}


run_case(Deployment(HERE, GATEWAYS), play)
