"""Tests of a store that comes back from a copy, in virtual time."""

import pytest
import trio
from era_fleet import DOMAIN, SERVICE, EraFleet, encode_record, read_record
from relay_builders import make_configuration

from catkinhollow.generated.relay import Departure, Document, OrderState
from catkinhollow.relay.documents.own_record import MAX_ERA_DELAY_S, MIN_ERA_DELAY_S
from catkinhollow.relay.documents.store_revision import era_of, join_revision


@pytest.fixture
async def fleet(nursery, autojump_clock):
    fleet = EraFleet(nursery)
    await fleet.start()
    return fleet


async def test_daemons_agree_in_the_new_era(fleet, autojump_clock):
    """Guards against daemons that order revisions of two eras by number."""
    copy = fleet.app.take_copy()
    for version in range(2, 9):
        fleet.configure(version)
        await trio.sleep(0.7)
    fleet.app.restore(copy)
    await trio.sleep(2.0)
    assert fleet.all_agree()
    fleet.configure(9)
    await trio.sleep(2.0)
    for member in fleet.members.values():
        assert member.validator.version == 9
        assert era_of(member.table.revision("configuration/main")) == 1
    assert fleet.all_agree()


async def test_older_configuration_of_the_copy_is_not_applied(fleet, autojump_clock):
    """Guards against routes of an older version after the store's return."""
    copy = fleet.app.take_copy()
    fleet.configure(5)
    await trio.sleep(1.0)
    fleet.app.restore(copy)
    await trio.sleep(5.0)
    for member in fleet.members.values():
        assert set(member.ingress.versions) == {1, 5}
        assert member.validator.version == 5
    assert fleet.all_agree()
    # The operator repeats its writes.
    for version in (3, 5):
        fleet.configure(version)
        await trio.sleep(2.0)
        assert fleet.all_agree()
    document = fleet.members["d3"].table.get("configuration/main")
    assert document.kept is None
    for member in fleet.members.values():
        assert member.ingress.versions[-1] == 5


async def test_daemon_that_starts_after_the_return_gets_the_newer_configuration(
    fleet, autojump_clock
):
    """Guards against a daemon that takes the copy for the newest version."""
    copy = fleet.app.take_copy()
    fleet.configure(5)
    await trio.sleep(1.0)
    fleet.app.restore(copy)
    late = fleet.start_late("late", follows=True)
    await trio.sleep(8.0)
    assert late.validator.version == 5
    assert fleet.all_agree()


async def test_digests_stay_equal_while_the_operator_has_not_written_again(
    fleet, autojump_clock
):
    """Guards against endless transfers between daemons that keep content."""
    copy = fleet.app.take_copy()
    fleet.configure(5)
    fleet.evacuate()
    await trio.sleep(1.0)
    fleet.app.restore(copy)
    await trio.sleep(8.0)
    digest = fleet.members["d0"].table.digest
    for _ in range(60):
        await trio.sleep(0.5)
        assert {it.table.digest for it in fleet.members.values()} == {digest}


@pytest.mark.parametrize("state", [OrderState.DONE, OrderState.WITHDRAWN])
async def test_settled_order_that_the_copy_shows_running_stays_settled(
    fleet, autojump_clock, state
):
    """Guards against a move that runs again after it was reported done."""
    good = state is OrderState.DONE
    fleet.set_reports(runs=0)
    fleet.order("v2")
    await trio.sleep(2.0)
    copy = fleet.app.take_copy()
    if not good:
        for member in fleet.members.values():
            member.moves._orders[SERVICE].plan.first_seen_s -= 5.0  # noqa: SLF001
    await trio.sleep(8.0)
    assert fleet.settled == {"v2": state}
    fleet.app.restore(copy)
    assert fleet.stored("orders", SERVICE)["status"]["state"] == "in_progress"
    await trio.sleep(4.0)
    stored = fleet.stored("orders", SERVICE)["status"]["state"]
    assert stored == ("completed" if good else "reverted")
    assert {it.progress.state for it in fleet.members.values()} == {state}
    await trio.sleep(2.0)
    assert fleet.all_agree()
    progress_writes = [
        path for it in fleet.members.values() for _, path in it.app.writes
    ]
    # One daemon has written the lost progress; nobody repeats it.
    count = sum("status" in path for path in progress_writes)
    await trio.sleep(10.0)
    later = [path for it in fleet.members.values() for _, path in it.app.writes]
    assert sum("status" in path for path in later) == count


async def test_order_that_the_copy_lacks_stays_done_when_it_is_written_again(
    fleet, autojump_clock
):
    """Guards against a second move when the operator repeats a lost order."""
    copy = fleet.app.take_copy()
    fleet.set_reports(runs=0)
    fleet.order("v2")
    await trio.sleep(10.0)
    assert fleet.settled == {"v2": OrderState.DONE}
    fleet.app.restore(copy)
    await trio.sleep(5.0)
    for member in fleet.members.values():
        assert member.progress.state is OrderState.DONE
    for number in range(4):
        fleet.configure(2 + number)
    fleet.order("v2")
    await trio.sleep(5.0)
    assert fleet.stored("orders", SERVICE)["status"]["state"] == "completed"
    assert fleet.stored("orders", SERVICE)["status"]["percent"] == 100.0
    assert fleet.all_agree()


async def test_running_move_goes_on_from_the_share_that_is_enforced(
    fleet, autojump_clock
):
    """Guards against a new version that loses its share, and gets it twice."""
    fleet.set_reports(runs=0)
    fleet.order("v2", duration_s=20.0)
    await trio.sleep(2.0)
    copy = fleet.app.take_copy()
    shares = []
    while not shares or shares[-1] < 15.0:
        await trio.sleep(0.5)
        shares.append(fleet.members["d0"].progress.percent)
    fleet.app.restore(copy)
    for _ in range(100):
        await trio.sleep(0.2)
        shares.append(fleet.members["d0"].progress.percent)
    assert shares == sorted(shares)
    assert fleet.settled == {"v2": OrderState.DONE}


async def test_order_of_another_version_in_the_copy_does_not_replace_a_newer_one(
    fleet, autojump_clock
):
    """Guards against traffic that returns to the version before the last."""
    fleet.set_reports(runs=0)
    fleet.order("v2")
    await trio.sleep(10.0)
    copy = fleet.app.take_copy()
    fleet.order("v1")
    await trio.sleep(10.0)
    assert fleet.settled == {"v2": OrderState.DONE, "v1": OrderState.DONE}
    fleet.app.restore(copy)
    await trio.sleep(5.0)
    for member in fleet.members.values():
        assert member.order.version == "v1"
    assert fleet.all_agree()
    # The operator repeats the order, then gives a new one.
    fleet.order("v1")
    await trio.sleep(5.0)
    assert fleet.stored("orders", SERVICE)["status"]["target_version"] == "v1"
    fleet.order("v3")
    await trio.sleep(1.0)
    for member in fleet.members.values():
        assert member.order.version == "v3"


async def test_order_deleted_and_given_again_in_the_new_era_runs(fleet, autojump_clock):
    """Guards against an outcome that is carried over to a new order."""
    fleet.set_reports(runs=0)
    fleet.order("v2")
    await trio.sleep(2.0)
    copy = fleet.app.take_copy()
    await trio.sleep(8.0)
    fleet.app.restore(copy)
    await trio.sleep(5.0)
    fleet.app.remove("orders", SERVICE)
    await trio.sleep(1.0)
    fleet.settled.clear()
    for member in fleet.members.values():
        member.settled.clear()
    fleet.order("v2")
    await trio.sleep(1.0)
    assert fleet.members["d3"].progress.state is OrderState.RUNNING
    await trio.sleep(10.0)
    assert fleet.settled == {"v2": OrderState.DONE}


async def test_evacuation_whose_removal_was_lost_is_not_enforced_again(
    fleet, autojump_clock
):
    """Guards against a failure domain that a copy takes out of service."""
    fleet.evacuate()
    await trio.sleep(1.0)
    copy = fleet.app.take_copy()
    fleet.app.remove("evacuations", DOMAIN)
    await trio.sleep(1.0)
    fleet.app.restore(copy)
    await trio.sleep(5.0)
    assert not any(it.gate.evacuated for it in fleet.members.values())
    fleet.app.remove("evacuations", DOMAIN)
    await trio.sleep(2.0)
    assert fleet.all_agree()
    fleet.evacuate()
    await trio.sleep(1.0)
    assert all(it.gate.evacuated for it in fleet.members.values())


async def test_new_evacuation_after_a_lost_removal_is_enforced(fleet, autojump_clock):
    """Guards against a new write that is taken for content of the copy."""
    fleet.evacuate()
    await trio.sleep(1.0)
    copy = fleet.app.take_copy()
    fleet.app.remove("evacuations", DOMAIN)
    await trio.sleep(1.0)
    fleet.app.restore(copy)
    await trio.sleep(3.0)
    fleet.evacuate()
    await trio.sleep(2.0)
    assert all(it.gate.evacuated for it in fleet.members.values())


async def test_lost_evacuation_stays_in_force_until_it_is_written_again(
    fleet, autojump_clock
):
    """Guards against traffic into a failure domain that is out of service."""
    copy = fleet.app.take_copy()
    fleet.evacuate()
    await trio.sleep(1.0)
    fleet.app.restore(copy)
    await trio.sleep(20.0)
    assert all(it.gate.evacuated for it in fleet.members.values())
    fleet.evacuate()
    await trio.sleep(2.0)
    fleet.app.remove("evacuations", DOMAIN)
    await trio.sleep(2.0)
    assert not any(it.gate.evacuated for it in fleet.members.values())
    assert fleet.all_agree()


async def test_lost_records_are_written_once_and_spread_over_time(
    nursery, autojump_clock
):
    """Guards against daemons that are forgotten, and bursts of writes."""
    fleet = EraFleet(nursery, size=40, followers=3)
    empty = fleet.app.take_copy()
    await fleet.start()
    for member in fleet.members.values():
        member.app.writes.clear()
    fleet.app.restore(empty)
    restored_s = trio.current_time()
    while trio.current_time() < restored_s + MAX_ERA_DELAY_S + 3.0:
        await trio.sleep(0.1)
        for member in fleet.members.values():
            assert len(member.directory) == 40
    times = [at_s for it in fleet.members.values() for at_s, _ in it.app.writes]
    assert len(times) == 40
    assert min(times) >= restored_s + MIN_ERA_DELAY_S
    for begin_s in times:
        assert sum(begin_s <= at_s < begin_s + 0.5 for at_s in times) <= 16
    for name, member in fleet.members.items():
        assert fleet.stored("daemons", name)["spec"]["address"] == member.address
    assert fleet.all_agree()


async def test_record_of_the_copy_without_the_last_departure_is_written_again(
    fleet, autojump_clock
):
    """Guards against a departure that was acknowledged and then lost."""
    member = fleet.members["d3"]
    copy = fleet.app.take_copy()
    departure = Departure(lifetime="t1", started_ms=1000)
    assert await member.keeper.record_departure(departure)
    await trio.sleep(0.5)
    fleet.app.restore(copy)
    await trio.sleep(2 * MAX_ERA_DELAY_S)
    stored = fleet.stored("daemons", "d3")["spec"]["departures"]
    assert [each["lifetime"] for each in stored] == ["t1"]
    for other in fleet.members.values():
        assert read_record(other, "d3").departures == [departure]
    assert fleet.all_agree()


async def test_departure_in_a_new_era_is_stored_without_delay(fleet, autojump_clock):
    """Guards against a departure that waits for the spread of writes."""
    member = fleet.members["d2"]
    copy = fleet.app.take_copy()
    assert await member.keeper.record_departure(Departure(lifetime="a", started_ms=1))
    fleet.app.restore(copy)
    await trio.sleep(0.45)
    assert await member.keeper.record_departure(Departure(lifetime="b", started_ms=2))


async def test_record_that_no_follower_knew_is_written_again(fleet, autojump_clock):
    """Guards against a record that was written just before it was lost."""
    copy = fleet.app.take_copy()
    followers = [it for it in fleet.members.values() if it.role.follows]
    for follower in followers:
        follower.role.follows = False
    await trio.sleep(1.0)
    late = fleet.start_late("late", follows=False)
    late.cut_off = True
    await trio.sleep(4.0)
    assert fleet.stored("daemons", "late") is not None
    fleet.app.restore(copy)
    for follower in followers:
        follower.role.follows = True
    await trio.sleep(1.0)
    assert all(read_record(it, "late") is None for it in followers)
    late.cut_off = False
    fleet.configure(2)
    await trio.sleep(3 * MAX_ERA_DELAY_S)
    assert fleet.stored("daemons", "late") is not None
    for member in fleet.members.values():
        assert read_record(member, "late") is not None


async def test_answer_of_the_era_before_is_dropped(fleet, autojump_clock):
    """Guards against a late listing that shows what the store has lost."""
    copy = fleet.app.take_copy()
    fleet.evacuate()
    member = fleet.members["d0"]
    await trio.sleep(1.0)
    member.app.late_answers = 1
    member.app.late_s = 2.0
    listings = []

    async def list_late():
        listings.append(await member.store.list_objects("evacuations"))

    fleet.nursery.start_soon(list_late)
    await trio.sleep(0.1)
    fleet.app.restore(copy)
    await trio.sleep(3.0)
    assert listings[0].is_error()
    assert listings[0].error.reason == "answer of an older era"


async def test_listing_of_an_older_era_than_a_document_is_dropped(
    nursery, autojump_clock
):
    """Guards against a late answer to a client that knows no other era.

    Only the documents of the peers tell this daemon of the new era.
    """
    fleet = EraFleet(nursery, size=1, followers=1)
    fleet.evacuate()
    member = fleet.members["d0"]
    body = encode_record(member)
    member.sync.offer(
        Document(name="daemons/d0", revision=join_revision(1, 5), body=body), "peer"
    )
    await fleet.start()
    assert member.table.era == 1
    assert not member.gate.evacuated
    assert member.validator.version == -1


async def test_condition_of_an_older_era_is_never_sent(fleet, autojump_clock):
    """Guards against a write to an object that has got the same number."""
    member = fleet.members["d0"]
    copy = fleet.app.take_copy()
    fleet.app.restore(copy)
    await trio.sleep(1.0)
    number = fleet.stored("daemons", "d1")["metadata"]["revision"]
    count = len(member.app.writes)
    deleted = await member.store.delete("daemons", "d1", if_revision=number)
    assert deleted.is_error()
    assert len(member.app.writes) == count
    current = join_revision(1, number)
    deleted = await member.store.delete("daemons", "d1", if_revision=current)
    assert deleted.is_ok()


async def test_write_whose_answer_was_lost_with_the_write_is_repeated(
    fleet, autojump_clock
):
    """Guards against a record that counts as stored in the era before."""
    member = fleet.members["d1"]
    copy = fleet.app.take_copy()
    member.app.lost_writes = 1
    departure = Departure(lifetime="t1", started_ms=1000)
    await member.keeper.record_departure(departure)
    fleet.app.restore(copy)
    await trio.sleep(2 * MAX_ERA_DELAY_S)
    stored = fleet.stored("daemons", "d1")["spec"]["departures"]
    assert [each["lifetime"] for each in stored] == ["t1"]


async def test_era_that_passed_unseen_is_caught_up_with(fleet, autojump_clock):
    """Guards against daemons that only notice the next era."""
    copy = fleet.app.take_copy()
    fleet.configure(2)
    fleet.evacuate()
    await trio.sleep(1.0)
    fleet.app.down = True
    fleet.app.restore(copy)
    fleet.app.restore(copy)
    await trio.sleep(1.0)
    fleet.app.down = False
    await trio.sleep(8.0)
    for member in fleet.members.values():
        assert member.table.era == 2
        assert member.gate.evacuated
        assert member.validator.version == 2
    assert fleet.all_agree()


async def test_store_without_an_era_gets_no_further_calls(nursery, autojump_clock):
    """Guards against a price of eras where there are none."""
    fleet = EraFleet(nursery)
    await fleet.start()
    fleet.app.write("configuration", "main", make_configuration(2))
    await trio.sleep(1.0)
    for member in fleet.members.values():
        assert len(member.app.writes) == 1
        assert member.table.era == 0
        assert era_of(member.table.revision("configuration/main")) == 0


async def test_moves_that_the_operator_repeats_one_after_another_do_not_run(
    fleet, autojump_clock
):
    """Guards against a withdrawn version that gets calls in a repetition."""
    copy = fleet.app.take_copy()
    fleet.set_reports(runs=0)
    for version in ("v2", "v1"):
        fleet.order(version)
        await trio.sleep(10.0)
    fleet.app.restore(copy)
    await trio.sleep(5.0)
    for version in ("v2", "v1"):
        fleet.order(version)
        await trio.sleep(2.0)
        status = fleet.stored("orders", SERVICE)["status"]
        assert (status["target_version"], status["state"]) == (version, "completed")
    assert fleet.all_agree()


async def test_evacuation_that_is_removed_before_the_store_is_read_ends(
    fleet, autojump_clock
):
    """Guards against an evacuation that nobody can end any more."""
    fleet.evacuate()
    await trio.sleep(1.0)
    copy = fleet.app.take_copy()
    fleet.app.restore(copy)
    fleet.app.remove("evacuations", DOMAIN)
    await trio.sleep(5.0)
    assert not any(it.gate.evacuated for it in fleet.members.values())
    assert fleet.all_agree()
