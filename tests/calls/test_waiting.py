"""Tests of the list of calls that wait for capacity."""

from hypothesis import given, settings
from hypothesis import strategies as st

from catkinhollow.calls.call import SendTo, Wait
from catkinhollow.calls.exchange import Outcome
from catkinhollow.calls.waiting import MAX_WAITING, WaitClass, WaitingList
from tests.builders import OK, begin_call, make_member, make_router, send_call

NOW_S = 1000.0
CLASSES = [
    WaitClass((first, worth), f"{first}{worth}", account)
    for first in (False, True)
    for worth in (0.0, 2.0)
    for account in "ab"
]


@settings(derandomize=True, deadline=None)
@given(st.lists(st.tuples(st.sampled_from(CLASSES), st.integers(0, 5))))
def test_list_is_bounded_and_keeps_the_worthiest(steps):
    """Guards against an endless list, and against a lookup before an order."""
    waiting, model = WaitingList(4), []
    for number, (key, removed) in enumerate(steps):
        if removed < len(model):
            waiting.remove(*model.pop(removed))
        dropped = waiting.add(key, number)
        model.append((key, number))
        if len(model) > 4:
            assert dropped in [item for _, item in model]
            lost = next(entry for entry in model if entry[1] == dropped)
            assert lost[0].worth == min(entry[0].worth for entry in model)
            model.remove(lost)
        else:
            assert dropped is None
        ordered = [item for items in waiting.by_worth() for item in items]
        assert sorted(ordered) == sorted(item for _, item in model)
        assert len(waiting) == len(model)
        worths = {item: entry.worth for entry, item in model}
        assert [worths[item] for item in ordered] == sorted(
            worths.values(), reverse=True
        )


def wait(router, method):
    call = begin_call(router, NOW_S, method).ok
    assert isinstance(call.next_step(NOW_S), Wait)
    return call


def full_router():
    """Return a router whose only slot is used, and the call that uses it."""
    router = make_router([make_member(0, slots=1)])
    return router, send_call(router, NOW_S)[0]


def test_released_slot_goes_to_the_order_that_came_last():
    """Guards against orders behind lookups, and against a slot given twice."""
    router, running = full_router()
    lookup, order = wait(router, "GET"), wait(router, "POST")
    running.finish_attempt(OK, NOW_S)
    assert isinstance(lookup.next_step(NOW_S), Wait)
    assert isinstance(order.next_step(NOW_S), SendTo)


def test_granted_slot_of_a_caller_that_went_away_goes_to_the_next():
    """Guards against a reserved slot that nobody uses or gives back."""
    router, running = full_router()
    order, lookup = wait(router, "POST"), wait(router, "GET")
    running.finish_attempt(OK, NOW_S)
    order.close(NOW_S)
    assert order.outcome is Outcome.NOT_RUN
    assert isinstance(lookup.next_step(NOW_S), SendTo)


def test_order_takes_the_place_of_a_lookup_on_a_full_list():
    """Guards against refused orders while lookups wait."""
    router, running = full_router()
    lookups = [wait(router, "GET") for _ in range(MAX_WAITING)]
    assert begin_call(router, NOW_S).ok.next_step(NOW_S).outcome is Outcome.NOT_RUN
    wait(router, "POST")
    assert lookups[-1].next_step(NOW_S).reason == "shed"
    assert isinstance(lookups[0].next_step(NOW_S), Wait)
