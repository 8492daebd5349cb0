"""Define the fault matrix: faults, steps and cells that do not apply."""

FAULTS = {
    "kill": "acting daemon killed",
    "restart": "acting daemon restarted at the same address",
    "pause": "acting daemon paused for longer than the lease and the failure timeouts",
    "cut-link": "link to a peer cut",
    "split": "network partition between the regions, healed later",
    "outage": "store outage",
    "slow-store": "slow store",
    "lost-answer": "response to a write lost after the write took effect",
    "stale-view": "stale read from the store",
    "concurrent-update": "another update is written during the step",
    "race": "two operators change the same object",
    "target-dies": "target crashes",
    "target-cold": "target turns cold without an announcement",
    "cut-connection": "connection cut",
    "wrong-answer": "response to another request",
}

STEPS = {
    "join": "a daemon joins",
    "spread": "a version is accepted and distributed",
    "order-connect": "an order, before the connection",
    "order-written": "an order, after the request is written",
    "order-answer": "an order, while the response is in transit",
    "cold-start": "a target starts cold",
    "move-start": "a move starts",
    "move-step": "a move takes a step",
    "move-end": "a move ends",
    "withdraw": "a version is withdrawn",
    "domain-out": "a failure domain is taken out of service",
    "domain-in": "a failure domain is returned to service",
    "shutdown": "a daemon shuts down",
}

ORDERS = ("order-connect", "order-written", "order-answer")
CONFIGURATION = ("spread", "domain-out", "domain-in")
MESH = ("join", *CONFIGURATION, "withdraw", "shutdown")
MOVES = ("move-start", "move-step", "move-end", "withdraw")

_NO_STORE = "a call reads and writes no object in the store"
_NO_WRITE = "the step writes no object in the store"
_NO_TARGET = "the step sends nothing to a target and does not use its state"
_ONE_WRITER = "the step includes no request of an operator"
_STORE_HTTP = "a store call has its own HTTP exchange; see test_http_store.py"


def _make_cells(faults: tuple, steps: tuple, reason: str) -> dict:
    return {(fault, step): reason for fault in faults for step in steps}


NOT_APPLICABLE = {
    **_make_cells(
        ("outage", "slow-store", "lost-answer", "stale-view"),
        (*ORDERS, "cold-start"),
        _NO_STORE,
    ),
    **_make_cells(("lost-answer",), ("join", "shutdown"), _NO_WRITE),
    **_make_cells(("race",), ("join", "shutdown", "cold-start"), _ONE_WRITER),
    **_make_cells(
        ("target-dies", "target-cold"),
        ("join", *CONFIGURATION),
        _NO_TARGET,
    ),
    ("target-cold", "shutdown"): _NO_TARGET,
    ("target-dies", "shutdown"): "a crashed target gets no requests in any case",
    **_make_cells(("wrong-answer",), MOVES[:3], _STORE_HTTP),
    **_make_cells(
        ("cut-link", "cut-connection", "wrong-answer"),
        ("cold-start",),
        "the slow start in an ingress daemon uses no peer link and no response content",
    ),
}


def list_cells(steps, seeds=(0, 1, 2), skip=()):
    """Return (step, fault, seed) for each applicable cell and each seed."""
    return [
        (step, fault, seed)
        for step in steps
        for fault in FAULTS
        if (fault, step) not in NOT_APPLICABLE and (fault, step) not in skip
        for seed in seeds
    ]
