"""Classify the responses of a target."""

from catkinhollow.calls.egress import Classify, SendResult
from catkinhollow.calls.exchange import Request, Response
from catkinhollow.calls.retries import AttemptKind
from catkinhollow.relay.admission.gate import MISDIRECTED_STATUS
from catkinhollow.relay.header_names import HeaderNames

SUCCESS_STATUSES = range(200, 300)
# Callers conclude from these statuses that the request has not run. Except for
# MISDIRECTED_STATUS, which is accepted without a header, only the not-run
# header of the target can guarantee that.
NOT_RUN_STATUSES = (408, 421, 429, 503)


def make_classifier(header_names: HeaderNames) -> Classify:
    """Return a function that classifies responses by these headers."""

    def broken(reason: str) -> SendResult:
        return SendResult(kind=AttemptKind.BROKEN, reason=reason)

    def classify(
        request: Request, response: Response, /, *, reused: bool = False
    ) -> SendResult:
        request_id = request.header(header_names.request_id)
        response_id = response.header(header_names.request_id)
        if response_id is None:
            # A target may write a response to an earlier request once more.
            if reused and request_id is not None:
                return broken("response without an id on a reused connection")
        elif response_id != request_id:
            return broken("answer to another request")
        if (
            response.status == MISDIRECTED_STATUS
            or response.header(header_names.not_run) is not None
        ):
            return SendResult(
                kind=AttemptKind.REFUSED, response=response, reason="refused by target"
            )
        if response.status in NOT_RUN_STATUSES:
            return broken(
                f"status {response.status} without a mark that it has not run"
            )
        # Health checks carry no id, and a target does not sign its answers to
        # them.
        if request_id is not None and response.status in SUCCESS_STATUSES:
            error = _find_success_error(response, header_names)
            if error:
                return broken(error)
        return SendResult(kind=AttemptKind.ANSWERED, response=response)

    return classify


def _find_success_error(response: Response, header_names: HeaderNames) -> str:
    """Return why a success must not be delivered, "" if it may be."""
    if response.header(header_names.request_id) is None:
        return "success without the request's id"
    if response.header(header_names.signature) is None:
        return "success without the target's signature"
    if response.header(b"content-encoding") is not None:
        return "encoded body"
    return ""
