"""Start, watch and cancel moves through the store."""

from collections.abc import Callable
from typing import Any

import trio
from attrs import evolve, frozen
from expression import Error, Ok, Result

from catkinhollow.codec import from_plain, to_plain
from catkinhollow.configuration.editing import EditRefused
from catkinhollow.configuration.fleet_updates import UpdateError, read_fleet
from catkinhollow.configuration.store import MOVES_KIND, StoreClient
from catkinhollow.control.moves import TERMINAL_STATES
from catkinhollow.errors import StoreError, StoreErrorKind
from catkinhollow.generated.fleet import Fleet, Move, MoveState
from catkinhollow.generated.store import StoredObject

# A version cannot be evaluated in less time.
MIN_MOVE_MS = 15_000
WATCH_TIMEOUT_S = 30.0
# Longest outage of the store after which waiting for a move continues.
MAX_OUTAGE_S = 120.0
RETRY_DELAY_S = 1.0
# The controller may write between the read and the write of a cancellation,
# which then has to be repeated.
CANCEL_ATTEMPTS = 5


@frozen(kw_only=True)
class MoveRequest:
    """Describe the move that an operator requests.

    An empty old_version stands for the version that the split names.
    """

    service: str
    version: str
    deadline_ms: int
    operator: str
    old_version: str = ""


@frozen
class StoredMove:
    """Represent a move as the store has it, with its revision."""

    move: Move
    revision: int


async def start_move(
    store: StoreClient, request: MoveRequest, now_ms: int
) -> Result[Move, UpdateError]:
    """Create the move unless one is running for the service.

    The time is Unix time in milliseconds. The error is a conflict if a move
    is running, EditRefused if the request does not fit the stored split or
    leaves less than MIN_MOVE_MS, or the error of the store.
    """
    if request.deadline_ms - now_ms < MIN_MOVE_MS:
        min_s = MIN_MOVE_MS // 1000
        return _refused(f"the deadline is less than {min_s} s from now")
    fleet = await read_fleet(store)
    if fleet.is_error():
        return Error(fleet.error)
    old_version = _old_version(fleet.ok.fleet, request)
    if old_version.is_error():
        return Error(old_version.error)
    stored = await _read(store, request.service)
    if stored.is_error():
        return Error(stored.error)
    previous = stored.ok
    if previous and previous.move.state not in TERMINAL_STATES:
        return Error(_conflicting_move(previous.move))
    move = Move(
        service=request.service,
        version=request.version,
        old_version=old_version.ok,
        deadline_ms=request.deadline_ms,
        # The start time identifies a move among those of a service, so it has
        # to increase whatever the clocks of the operators' machines show.
        started_ms=max(now_ms, previous.move.started_ms + 1 if previous else 0),
        operator=request.operator,
    )
    return await _create(store, move, previous.revision if previous else 0)


async def cancel_move(store: StoreClient, service: str) -> Result[Move, UpdateError]:
    """Request that the controller returns the traffic to the old version.

    The error is EditRefused if there is no running move, or the error of the
    store.
    """
    for _ in range(CANCEL_ATTEMPTS):
        stored = await read_move(store, service)
        if stored.is_error():
            return Error(stored.error)
        move = stored.ok.move
        if move.state != MoveState.RUNNING:
            return _refused(f"the move of {service} to {move.version} is {move.state}")
        cancelled = evolve(move, state=MoveState.CANCELLING, reason="by the operator")
        written = await store.put(
            MOVES_KIND, service, to_plain(cancelled), if_revision=stored.ok.revision
        )
        if written.is_ok():
            return Ok(cancelled)
        if written.error.kind != StoreErrorKind.CONFLICT:
            return Error(written.error)
    return Error(
        StoreError(kind=StoreErrorKind.CONFLICT, reason="the move keeps changing")
    )


async def read_move(
    store: StoreClient, service: str
) -> Result[StoredMove, UpdateError]:
    """Return the latest move of a service.

    The error is EditRefused if there is none or it is not valid, or the error
    of the store.
    """
    stored = await _read(store, service)
    if stored.is_error():
        return Error(stored.error)
    if stored.ok is None:
        return _refused(f"no move of {service}")
    return Ok(stored.ok)


async def list_moves(store: StoreClient) -> Result[list[Move], UpdateError]:
    """Return the latest move of each service, sorted by service name."""
    listed = await store.list_objects(MOVES_KIND)
    if listed.is_error():
        return Error(listed.error)
    moves = []
    for item in sorted(listed.ok.objects, key=lambda item: item.name):
        decoded = _decode(item)
        if decoded.is_error():
            return Error(decoded.error)
        moves.append(decoded.ok.move)
    return Ok(moves)


async def wait_for_end(
    store: StoreClient, service: str, on_change: Callable[[Move], None]
) -> Result[Move, UpdateError]:
    """Wait for the end of the latest move of a service and return the move.

    Pass each new state of the move to on_change. An unavailable store is an
    error only after MAX_OUTAGE_S.
    """
    last_read_s = trio.current_time()
    last: Move | None = None
    seen_revision = 0
    while True:
        stored = await read_move(store, service)
        if stored.is_error():
            is_outage = _is_unavailable(stored.error)
            if not is_outage or trio.current_time() - last_read_s > MAX_OUTAGE_S:
                return Error(stored.error)
            await trio.sleep(RETRY_DELAY_S)
            continue
        last_read_s = trio.current_time()
        move = stored.ok.move
        if move != last:
            on_change(move)
        if move.state in TERMINAL_STATES:
            return Ok(move)
        last = move
        # Changes to moves of other services also end the watch, so the next
        # watch starts after the newest revision that this one has returned.
        seen_revision = max(seen_revision, stored.ok.revision)
        changed = await store.watch(
            MOVES_KIND, after=seen_revision, wait_s=WATCH_TIMEOUT_S
        )
        if changed.is_error():
            await trio.sleep(RETRY_DELAY_S)
        else:
            seen_revision = changed.ok.revision


async def _create(
    store: StoreClient, move: Move, revision: int
) -> Result[Move, UpdateError]:
    written = await store.put(
        MOVES_KIND, move.service, to_plain(move), if_revision=revision
    )
    if written.is_ok():
        return Ok(move)
    if written.error.kind != StoreErrorKind.CONFLICT:
        return Error(written.error)
    stored = await _read(store, move.service)
    if stored.is_error() or not stored.ok:
        return Error(written.error)
    return Error(_conflicting_move(stored.ok.move))


async def _read(
    store: StoreClient, service: str
) -> Result[StoredMove | None, UpdateError]:
    stored = await store.get(MOVES_KIND, service)
    if stored.is_error():
        if stored.error.kind == StoreErrorKind.NOT_FOUND:
            return Ok(None)
        return Error(stored.error)
    decoded = _decode(stored.ok)
    return Error(decoded.error) if decoded.is_error() else Ok(decoded.ok)


def _decode(stored: StoredObject) -> Result[StoredMove, UpdateError]:
    decoded = from_plain(stored.value, Move)
    if decoded.is_error():
        return _refused(f"the stored move is not valid: {decoded.error.reason}")
    return Ok(StoredMove(decoded.ok, stored.revision))


def _old_version(fleet: Fleet, request: MoveRequest) -> Result[str, UpdateError]:
    split = {service.name: service.split for service in fleet.services}
    if request.service not in split:
        return _refused(f"no service '{request.service}' is configured")
    versions = [part.version for part in split[request.service] if part.percent > 0]
    if len(versions) > 1:
        return _refused(f"the traffic is split over {' and '.join(versions)}")
    old_version = versions[0] if versions else request.old_version
    if not old_version:
        return _refused("the service has no split yet: name its version with --from")
    if request.old_version and request.old_version != old_version:
        return _refused(f"the traffic goes to {old_version}, not {request.old_version}")
    if old_version == request.version:
        return _refused(f"the traffic already goes to {old_version}")
    return Ok(old_version)


def _conflicting_move(move: Move) -> StoreError:
    return StoreError(
        kind=StoreErrorKind.CONFLICT,
        reason=f"a move of {move.service} to {move.version} by {move.operator}"
        f" is {move.state}",
    )


def _refused(reason: str) -> Result[Any, UpdateError]:
    return Error(EditRefused(reason=reason))


def _is_unavailable(error: UpdateError) -> bool:
    return isinstance(error, StoreError) and error.kind == StoreErrorKind.UNAVAILABLE
