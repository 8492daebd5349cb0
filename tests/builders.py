"""Build configurations, members and call routers for tests."""

from random import Random

from catkinhollow.calls.call import RequestAttributes, SendTo, Wait
from catkinhollow.calls.call_router import CallRouter
from catkinhollow.calls.pool import Location
from catkinhollow.calls.retries import AttemptKind, AttemptResult
from catkinhollow.generated.fleet import Fleet, Method, RequestKind, Route, Service
from catkinhollow.generated.messages import MemberRecord, MemberState, TargetRecord

ROUTER_LOCATION = Location(failure_domain="fd0", region="r0")
OK = AttemptResult(kind=AttemptKind.ANSWERED, status=200)
ERROR = AttemptResult(kind=AttemptKind.ANSWERED, status=500)
REFUSED = AttemptResult(kind=AttemptKind.REFUSED, status=503)
UNREACHABLE = AttemptResult(kind=AttemptKind.NOT_CONNECTED)
BROKEN = AttemptResult(kind=AttemptKind.BROKEN)
TIMEOUT = AttemptResult(kind=AttemptKind.TIMEOUT)
CANCELLED = AttemptResult(kind=AttemptKind.CANCELLED)
LOOKUP = Route(name="lookup", service="orders", path_prefix="/o")
ORDER = Route(
    name="order",
    service="orders",
    path_prefix="/o",
    methods=[Method.POST],
    kind=RequestKind.ORDER,
    idempotent=False,
)


def make_fleet(service=None, **changes):
    service = service or Service(name="orders")
    return Fleet(services=[service], routes=[LOOKUP, ORDER], **changes)


def make_member(index, domain="fd0", region="r0", state=MemberState.ALIVE, **target):
    """Return a member with one warm target that has the given fields."""
    fields = {"version": "v1", "slots": 10, "started_ms": 0} | target
    record = TargetRecord(service="orders", address=f"t{index}:1", **fields)
    return MemberRecord(
        address=f"m{index}:1",
        incarnation=1,
        failure_domain=domain,
        region=region,
        state=state,
        targets=[record],
    )


def make_router(members, configuration=None, share=1.0, random=None, picker=None):
    """Return a router at time 1000 s, when targets started at 0 s are warm."""
    router = CallRouter(ROUTER_LOCATION, random or Random(1), picker)
    router.enforce(configuration or make_fleet(), 1000.0)
    router.update_members(members, 1000.0, 1_000_000)
    router.set_entry_share("orders", share, 1000.0)
    return router


def begin_call(router, now_s, method="GET", backer="", deadline_ms=None):
    attributes = RequestAttributes(
        method=method, path="/o/1", backer=backer, deadline_ms=deadline_ms
    )
    return router.begin(attributes, now_s)


def send_call(router, now_s, method="GET"):
    """Begin a call and return it with its target, or None without one."""
    result = begin_call(router, now_s, method)
    step = result.ok.next_step(now_s) if result.is_ok() else None
    if isinstance(step, Wait):
        result.ok.close(now_s)
    return (result.ok, step.entry) if isinstance(step, SendTo) else None


def send_orders(router, count):
    """Begin a number of orders at once and return their targets."""
    sent = [send_call(router, 1000.0, "POST") for _ in range(count)]
    return [item[1] for item in sent if item]
