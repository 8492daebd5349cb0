"""The fault matrix: its faults, its steps, and cells that can't occur."""

FAULTS = {
    "kill": "kill of the acting daemon",
    "restart": "restart of the acting daemon at the same address",
    "pause": "pause longer than the lease and the failure timeouts",
    "cut-link": "cut link",
    "split": "split between the regions, later healed",
    "outage": "store outage",
    "slow-store": "slow store",
    "lost-answer": "answer to a write lost after the write took effect",
    "stale-view": "older view of the store",
    "crossed": "another update crosses the step",
    "race": "two operators race",
    "target-dies": "target dies",
    "target-cold": "target turns cold without notice",
    "cut-connection": "connection cut",
    "wrong-answer": "answer of another request",
}

STEPS = {
    "join": "a daemon joins",
    "spread": "a version is accepted and spreads",
    "order-connect": "an order, before the connection",
    "order-written": "an order, request written",
    "order-answer": "an order, answer on its way",
    "cold-start": "a target starts cold",
    "move-start": "a move starts",
    "move-step": "a move takes a step",
    "move-end": "a move ends",
    "withdraw": "a version is withdrawn",
    "domain-out": "a failure domain goes out",
    "domain-in": "a failure domain comes back",
    "shutdown": "a daemon shuts down",
}

ORDERS = ("order-connect", "order-written", "order-answer")
CONFIGURATION = ("spread", "domain-out", "domain-in")
MESH = ("join", *CONFIGURATION, "withdraw", "shutdown")
MOVES = ("move-start", "move-step", "move-end", "withdraw")

_NO_STORE = "a call reads and writes no object in the store"
_NO_WRITE = "the step writes no object in the store"
_NO_TARGET = "the step sends nothing to a target and reads none of its state"
_ONE_WRITER = "no operator's request belongs to the step"
_STORE_HTTP = "a store call has its own HTTP exchange; see test_http_store.py"


def _cells(faults: tuple, steps: tuple, reason: str) -> dict:
    return {(fault, step): reason for fault in faults for step in steps}


NOT_APPLICABLE = {
    **_cells(
        ("outage", "slow-store", "lost-answer", "stale-view"),
        (*ORDERS, "cold-start"),
        _NO_STORE,
    ),
    **_cells(("lost-answer",), ("join", "shutdown"), _NO_WRITE),
    **_cells(("race",), ("join", "shutdown", "cold-start"), _ONE_WRITER),
    **_cells(
        ("target-dies", "target-cold"),
        ("join", *CONFIGURATION),
        _NO_TARGET,
    ),
    ("target-cold", "shutdown"): _NO_TARGET,
    ("target-dies", "shutdown"): "a target that died gets no work anyway",
    **_cells(("wrong-answer",), MOVES[:3], _STORE_HTTP),
    **_cells(
        ("cut-link", "cut-connection", "wrong-answer"),
        ("cold-start",),
        "the ramp of an entry daemon uses no peer link and no answer's content",
    ),
}


def cells(steps, seeds=(0, 1, 2), skip=()):
    """Return (step, fault, seed) for each cell that applies."""
    return [
        (step, fault, seed)
        for step in steps
        for fault in FAULTS
        if (fault, step) not in NOT_APPLICABLE and (fault, step) not in skip
        for seed in seeds
    ]
