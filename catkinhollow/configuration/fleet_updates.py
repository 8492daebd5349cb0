"""Change the fleet configuration in the store by conditional updates."""

from attrs import frozen
from expression import Error, Ok, Result

from catkinhollow.codec import from_plain, to_plain
from catkinhollow.configuration.editing import EditRefused, FleetEdit
from catkinhollow.configuration.store import (
    FLEET_KIND,
    FLEET_NAME,
    MEMBERS_KIND,
    StoreClient,
)
from catkinhollow.configuration.validation import find_fleet_problems
from catkinhollow.errors import StoreError, StoreErrorKind
from catkinhollow.generated.fleet import Fleet, SeedList

# Every conflict means that a write of another operator took effect, so this
# many conflicts in a row indicate a fault.
MAX_ATTEMPTS = 10


@frozen(kw_only=True)
class StoredFleet:
    """Represent the stored configuration; its revision is 0 if absent."""

    revision: int
    fleet: Fleet


@frozen(kw_only=True)
class FleetUpdate:
    """Represent the configuration before and after an update.

    The two revisions differ only if the update was written.
    """

    before: StoredFleet
    after: StoredFleet


UpdateError = StoreError | EditRefused


async def read_fleet(store: StoreClient) -> Result[StoredFleet, UpdateError]:
    """Return the stored configuration, or an empty one if there is none."""
    result = await store.get(FLEET_KIND, FLEET_NAME)
    if result.is_error():
        if result.error.kind is StoreErrorKind.NOT_FOUND:
            return Ok(StoredFleet(revision=0, fleet=Fleet()))
        return Error(result.error)
    decoded = from_plain(result.ok.value, Fleet)
    if decoded.is_error():
        reason = f"the stored configuration is not valid: {decoded.error.reason}"
        return Error(EditRefused(reason=reason))
    return Ok(StoredFleet(revision=result.ok.revision, fleet=decoded.ok))


async def plan_update(
    store: StoreClient, edit: FleetEdit
) -> Result[FleetUpdate, UpdateError]:
    """Return the result of an edit without writing it."""
    stored = await read_fleet(store)
    return stored.bind(lambda before: _plan(before, edit))


async def update_fleet(
    store: StoreClient, edit: FleetEdit
) -> Result[FleetUpdate, UpdateError]:
    """Write an edit; repeat it after a conflict if the edit allows that."""
    base: StoredFleet | None = None
    for _ in range(MAX_ATTEMPTS):
        planned = await plan_update(store, edit)
        if planned.is_error():
            return planned
        before, after = planned.ok.before, planned.ok.after
        base = base or before
        if before.revision and before.fleet == after.fleet:
            return planned
        if not edit.can_reapply(base.fleet, before.fleet):
            return Error(_conflict(base, before))
        written = await store.put(
            FLEET_KIND,
            FLEET_NAME,
            to_plain(after.fleet),
            if_revision=before.revision,
        )
        if written.is_ok():
            revision = written.ok.revision
            after = StoredFleet(revision=revision, fleet=after.fleet)
            return Ok(FleetUpdate(before=before, after=after))
        if written.error.kind is not StoreErrorKind.CONFLICT:
            return Error(written.error)
    reason = f"the write conflicted with other changes {MAX_ATTEMPTS} times in a row"
    return Error(StoreError(kind=StoreErrorKind.CONFLICT, reason=reason))


def _plan(before: StoredFleet, edit: FleetEdit) -> Result[FleetUpdate, UpdateError]:
    if not before.revision and not edit.may_create:
        return Error(EditRefused(reason="no configuration has been applied yet"))
    validated = edit.edit(before.fleet).bind(_validate)
    if validated.is_error():
        return Error(validated.error)
    after = StoredFleet(revision=before.revision, fleet=validated.ok)
    return Ok(FleetUpdate(before=before, after=after))


def _validate(fleet: Fleet) -> Result[Fleet, EditRefused]:
    # A daemon refuses the whole version if it cannot decode or validate it, so
    # a write has to pass the same checks first.
    decoded = from_plain(to_plain(fleet), Fleet)
    if decoded.is_error():
        return Error(EditRefused(reason=decoded.error.reason))
    problems = find_fleet_problems(fleet)
    if problems:
        return Error(EditRefused(reason=str(problems[0])))
    return Ok(fleet)


def _conflict(base: StoredFleet, now: StoredFleet) -> StoreError:
    return StoreError(
        kind=StoreErrorKind.CONFLICT,
        reason="the configuration was changed by another writer from revision"
        f" {base.revision} to {now.revision} in the meantime",
        revision=now.revision,
    )


async def list_known_domains(
    store: StoreClient,
) -> Result[frozenset[str], UpdateError]:
    """Return the failure domains that have published members."""
    result = await store.list_objects(MEMBERS_KIND)
    if result.is_error():
        return Error(result.error)
    return Ok(
        frozenset(item.name for item in result.ok.objects if _has_members(item.value))
    )


def _has_members(value: object) -> bool:
    seeds = from_plain(value, SeedList)
    return seeds.is_ok() and bool(seeds.ok.addresses)
