"""Route the calls of an ingress daemon and keep its services' state."""

from collections.abc import Iterable
from random import Random

from attrs import frozen
from expression import Error, Ok, Result

from catkinhollow.calls.balancer import Balancer, Picker
from catkinhollow.calls.call import Call, Refusal, RequestAttributes
from catkinhollow.calls.directory import TargetDirectory
from catkinhollow.calls.evidence_counts import EvidenceCounts
from catkinhollow.calls.latency import RouteLatencies
from catkinhollow.calls.policy import Policy, resolve
from catkinhollow.calls.pool import Location, PoolSettings, ServicePool
from catkinhollow.calls.routing import RouteTable
from catkinhollow.calls.service_calls import CallCounters, ServiceCalls, ServiceStatus
from catkinhollow.calls.targets import TargetLimits
from catkinhollow.generated.fleet import Fleet, Route, Service
from catkinhollow.generated.messages import MemberRecord, MemberState, VersionCounts

# Above 0, because the pause of a cold target is divided by the share.
MIN_INGRESS_SHARE = 1e-6


@frozen(kw_only=True)
class RouterStatus:
    """Represent the state of the router for the metrics."""

    in_flight: int
    calls: int
    attempts: int
    retries: int
    retries_denied: int
    refusals: dict[str, int]
    outcomes: dict[str, int]
    services: list[ServiceStatus]


class CallRouter:
    """Begin calls; apply configurations and member tables to all services."""

    def __init__(
        self, location: Location, random: Random, picker: Picker | None = None
    ) -> None:
        self._location = location
        self._picker = picker or Balancer(random)
        self._directory = TargetDirectory(random)
        self._latencies = RouteLatencies()
        self._evidence = EvidenceCounts()
        self._counters = CallCounters()
        self._fleet = Fleet()
        self._routes: RouteTable | None = None
        self._policies: dict[str, Policy] = {}
        self._services: dict[str, ServiceCalls] = {}
        self._quarantined: set[tuple[str, str]] = set()
        self._default_share = 1.0
        self._ingress_shares: dict[str, float] = {}

    def enforce(self, fleet: Fleet, now_s: float) -> None:
        """Apply a configuration to all later decisions."""
        self._fleet = fleet
        self._routes = RouteTable(fleet)
        self._policies = {
            route.name: resolve(fleet, route.service, route.name)
            for route in fleet.routes
        }
        self._latencies.keep_routes({route.name for route in fleet.routes})
        names = {service.name for service in fleet.services}
        for name in self._services.keys() - names:
            # An empty pool prevents retries of calls to a removed service.
            self._services[name].pool.rebuild([], now_s)
        self._services = {
            service.name: self._services.get(service.name) or self._new(service)
            for service in fleet.services
        }
        for service in fleet.services:
            self._configure(service, now_s)

    def update_members(
        self, members: Iterable[MemberRecord], now_s: float, unix_ms: int
    ) -> None:
        """Apply the whole member table.

        A service for which `set_ingress_share` was not called gets the share
        1 / (number of alive members).
        """
        table = list(members)
        changed = self._directory.update(table, now_s, unix_ms)
        alive = sum(member.state is MemberState.ALIVE for member in table)
        share = 1.0 / max(1, alive)
        if share != self._default_share:
            self._default_share = share
            changed = {service.name for service in self._fleet.services}
        self._configure_named(changed, now_s)

    def quarantine(self, service: str, version: str, now_s: float) -> None:
        """Exclude a version from all later attempts."""
        self._quarantined.add((service, version))
        self._configure_named({service}, now_s)

    def lift_quarantine(self, service: str, version: str, now_s: float) -> None:
        """Allow attempts at a version again.

        Called when a new move to the version starts.
        """
        self._quarantined.discard((service, version))
        self._configure_named({service}, now_s)

    def set_ingress_share(self, service: str, share: float, now_s: float) -> None:
        """Set this daemon's estimated fraction of all calls to a service."""
        self._ingress_shares[service] = min(1.0, max(MIN_INGRESS_SHARE, share))
        self._configure_named({service}, now_s)

    def begin(
        self, attributes: RequestAttributes, now_s: float
    ) -> Result[Call, Refusal]:
        """Begin a call, or refuse it; a refused request did not run."""
        if self._routes is None:
            return self._refuse(503, "no configuration yet")
        route = self._routes.match(attributes.method, attributes.path)
        if route is None:
            return self._refuse(404, "no route")
        policy, service = self._policies[route.name], self._services[route.service]
        service.pool.refresh(now_s)
        if not service.pool.groups:
            return self._refuse(503, "no target")
        account = service.admission.account(attributes.backer)
        service.begin()
        time_ms = policy.timeout_ms
        if attributes.deadline_ms is not None:
            time_ms = min(time_ms, attributes.deadline_ms)
        return Ok(
            Call(
                route=route,
                policy=policy,
                account=account,
                deadline_s=now_s + time_ms / 1000,
                host=service,
            )
        )

    def wake(self, now_s: float) -> bool:
        """Grant targets to waiting calls; return whether any still wait.

        The end of a call does so as well, for its service. This method also
        finds capacity that appears over time, such as after a pause.
        """
        waiting = [item for item in self._services.values() if item.waiting]
        for service in waiting:
            service.wake(now_s)
        return any(service.waiting for service in waiting)

    def take_counts(self) -> list[VersionCounts]:
        """Return the evidence by version and route, and reset it."""
        return self._evidence.take()

    def status(self, now_s: float) -> RouterStatus:
        """Return the state for the metrics."""
        counters = self._counters
        return RouterStatus(
            in_flight=counters.in_flight,
            calls=counters.calls,
            attempts=counters.attempts,
            retries=counters.retries,
            retries_denied=counters.retries_denied,
            refusals=dict(counters.refusals),
            outcomes=dict(counters.outcomes),
            services=[item.status(now_s) for item in self._services.values()],
        )

    def _refuse(self, status: int, reason: str) -> Result[Call, Refusal]:
        self._counters.refusals[reason] += 1
        return Error(Refusal(status=status, reason=reason))

    def _new(self, service: Service) -> ServiceCalls:
        settings = self._pool_settings(service, resolve(self._fleet, service.name, ""))
        return ServiceCalls(
            name=service.name,
            pool=ServicePool(location=self._location, settings=settings),
            picker=self._picker,
            latencies=self._latencies,
            evidence=self._evidence,
            counters=self._counters,
        )

    def _configure_named(self, names: set[str], now_s: float) -> None:
        for service in self._fleet.services:
            if service.name in names:
                self._configure(service, now_s)

    def _configure(self, service: Service, now_s: float) -> None:
        name = service.name
        policy = resolve(self._fleet, name, "")
        calls = self._services[name]
        calls.slow_start_s = policy.slow_start_s
        calls.budget.percent = policy.budget_percent
        calls.admission.configure(service, self._routes_of(name))
        self._directory.configure(name, self._target_limits(name, policy), now_s)
        calls.pool.settings = self._pool_settings(service, policy)
        calls.pool.rebuild(self._directory.usable(name), now_s)

    def _target_limits(self, service: str, policy: Policy) -> TargetLimits:
        # A route may allow more calls per target than its service does. The
        # target's bound is the highest of them; the balancer enforces the
        # bound of each route.
        allowed = [policy.max_in_flight_per_target]
        for route in self._routes_of(service):
            allowed.append(self._policies[route.name].max_in_flight_per_target)
        return TargetLimits(
            slow_start_s=policy.slow_start_s,
            max_in_flight=max(allowed),
            ingress_share=self._ingress_shares.get(service, self._default_share),
        )

    def _routes_of(self, service: str) -> list[Route]:
        return [route for route in self._fleet.routes if route.service == service]

    def _pool_settings(self, service: Service, policy: Policy) -> PoolSettings:
        return PoolSettings(
            split=service.split,
            failure_domains_out=frozenset(self._fleet.failure_domains_out),
            quarantined=frozenset(
                version for name, version in self._quarantined if name == service.name
            ),
            max_ejected_percent=policy.max_ejected_percent,
            local_preference=policy.local_preference,
        )
