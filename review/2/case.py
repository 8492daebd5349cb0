"""Pause one machine while answers of 48 KB are on their way to it."""

import asyncio
import hashlib
import random
import sys
from pathlib import Path

sys.path.insert(0, str(Path(__file__).resolve().parent.parent))

from standins import (  # noqa: E402
    Answer,
    Client,
    System,
    digest,
    main,
    new_attempt,
    pause,
    start_site,
)

CLIENTS = 32
BODY_BYTES = 48_000
WORK_S = 0.13
PAUSE_S = 3.2
PAUSES = 4
BUDGET_MS = 5600
CALM_S = 4.0


def make_body(attempt: str) -> bytes:
    """Return the whole body of the answer to an attempt."""
    line = hashlib.sha256(attempt.encode()).hexdigest().encode()
    return (line * (BODY_BYTES // len(line) + 1))[:BODY_BYTES]


def find_owner(part: bytes, attempts: list[str]) -> str:
    """Return to whose answer a part of a body belongs."""
    return next((each for each in attempts if part in make_body(each)), "nobody")


async def keep_asking(client: Client, results: list[tuple[str, Answer]]) -> None:
    """Send one request after another."""
    while True:
        await asyncio.sleep(random.uniform(0.0, 0.4))
        attempt = new_attempt()
        path = f"/packs/{attempt[:4]}"
        results.append((attempt, await client.request("GET", path, attempt, BUDGET_MS)))


async def case(system: System, trouble: bool) -> list[str]:
    """Return a line for each answer that isn't the upstream's."""
    packs = {
        "host": "packs.example",
        "path_prefix": "/packs/",
        "kind": "download",
        "timeout_ms": 5500,
        "target_latency_ms": 1500,
        "service": "stock",
    }
    upstreams, tasks = await start_site(system, packs, work_s=WORK_S, body=make_body)
    await asyncio.sleep(CALM_S)
    entry = system.machines[0]
    results: list[tuple[str, Answer]] = []
    for _ in range(CLIENTS):
        client = Client(system, entry.address("outbound"), "packs.example")
        tasks.append(asyncio.create_task(keep_asking(client, results)))
    for _ in range(PAUSES):
        await asyncio.sleep(CALM_S)
        await pause(entry, PAUSE_S, trouble=trouble)
    await asyncio.sleep(CALM_S)
    for task in tasks:
        task.cancel()
    attempts = [attempt for upstream in upstreams for attempt in upstream.runs]
    broken = []
    for attempt, answer in results:
        if answer.status == 200 and answer.body != make_body(attempt):
            head, tail = answer.body[:64], answer.body[-64:]
            broken.append(
                f"MIXED: {attempt} got 200 with the id"
                f" {answer.headers.get('x-attempt-id')}, the seal"
                f" {answer.headers.get('x-response-seal')} and the body"
                f" {digest(answer.body)}; its own is {digest(make_body(attempt))};"
                f" the first bytes are of {find_owner(head, attempts)}, the last"
                f" ones of {find_owner(tail, attempts)}"
            )
    served = sum(answer.status == 200 for _, answer in results)
    print(f"{len(results)} requests, {served} served, {len(broken)} of them mixed")
    return broken


main(case, str(Path(__file__).resolve().parent))
