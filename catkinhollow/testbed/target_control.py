"""Serve the reports and the control calls of the stand-in target."""

from attrs import frozen

from catkinhollow.calls.exchange import Request, Response, json_response, plain_response
from catkinhollow.codec import encode_json
from catkinhollow.generated.messages import TargetRecord, TargetState
from catkinhollow.generated.testbed import TargetFaults
from catkinhollow.testbed.executions import ExecutionRecorder
from catkinhollow.testbed.faults import merge_faults
from catkinhollow.testbed.target_model import TargetModel
from catkinhollow.timer import Clock

CONTROL_PREFIX = "/control/"


@frozen(kw_only=True)
class TargetIdentity:
    """Describe the announced attributes of a target that never change."""

    service: str
    version: str
    address: str


class TargetControl:
    """Report the state of a target and change its state and faults."""

    def __init__(
        self, identity: TargetIdentity, model: TargetModel, clock: Clock
    ) -> None:
        self._identity = identity
        self._model = model
        self._clock = clock
        self._started_ms = clock.unix_ms()
        self._recorder = ExecutionRecorder()

    @property
    def identity(self) -> TargetIdentity:
        """Return the announced attributes that never change."""
        return self._identity

    @property
    def recorder(self) -> ExecutionRecorder:
        """Return the recorder of the executions."""
        return self._recorder

    def record(self) -> TargetRecord:
        """Return the record that the target announces."""
        return TargetRecord(
            service=self._identity.service,
            version=self._identity.version,
            address=self._identity.address,
            slots=self._model.profile.slots,
            started_ms=self._started_ms,
            state=self._model.announced_state(self._clock.monotonic()),
        )

    def respond(self, request: Request) -> Response | None:
        """Return the response to a control call, or None for other calls."""
        match request.method, request.path:
            case "GET", "/health":
                return self._health()
            case "GET", "/load":
                load = self._model.load(self._clock.monotonic())
                return json_response(200, load)
        if not request.path.startswith(CONTROL_PREFIX):
            return None
        name = request.path.removeprefix(CONTROL_PREFIX)
        if name == "faults":
            return self._faults(request)
        if request.method == "GET" and name == "executions":
            return json_response(200, self._log())
        if request.method == "POST":
            return self._change_state(name, announced=request.query == b"announced")
        return plain_response(404, "no such control call")

    def _health(self) -> Response:
        report = self._model.health(self._clock.monotonic())
        failed = report.state is TargetState.FAILED
        return json_response(503 if failed else 200, report)

    def _log(self) -> object:
        return self._recorder.log(
            version=self._identity.version, refused=self._model.refused
        )

    def _faults(self, request: Request) -> Response:
        if request.method == "GET":
            return json_response(200, self._model.faults)
        current, body = self._model.faults, request.body
        if request.method == "DELETE":
            body = encode_json(TargetFaults())
        merged = merge_faults(current, body)
        if merged.is_error():
            return plain_response(400, merged.error.reason)
        self._model.set_faults(merged.ok, self._clock.monotonic())
        return json_response(200, merged.ok)

    def _change_state(self, name: str, *, announced: bool) -> Response:
        match name:
            case "drain":
                self._model.drain()
            case "undrain":
                self._model.undrain()
            case "cold":
                self._model.turn_cold(self._clock.monotonic(), announced=announced)
                if announced:
                    self._started_ms = self._clock.unix_ms()
            case _:
                return plain_response(404, "no such control call")
        return json_response(200, self.record())
