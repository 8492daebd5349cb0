"""Classify the responses of a target."""

from collections.abc import Callable

from catkinhollow.calls.egress import Attempt
from catkinhollow.calls.exchange import Request, Response
from catkinhollow.calls.retries import AttemptKind
from catkinhollow.relay.gate import MISDIRECTED_STATUS
from catkinhollow.relay.header_names import HeaderNames

SUCCESS_STATUSES = range(200, 300)
# Callers conclude from these that the request has not run, which only the
# not-run header of the target can guarantee.
NOT_RUN_STATUSES = (408, 421, 429, 503)


def make_classifier(
    header_names: HeaderNames,
) -> Callable[[Request, Response], Attempt]:
    """Return a function that classifies responses by these headers."""

    def broken(reason: str) -> Attempt:
        return Attempt(kind=AttemptKind.BROKEN, reason=reason)

    def classify(request: Request, answer: Response) -> Attempt:
        answered_id = answer.header(header_names.request_id)
        if answered_id is not None and answered_id != request.header(
            header_names.request_id
        ):
            return broken("answer to another request")
        if (
            answer.status == MISDIRECTED_STATUS
            or answer.header(header_names.not_run) is not None
        ):
            return Attempt(
                kind=AttemptKind.REFUSED, response=answer, reason="refused by target"
            )
        if answer.status in NOT_RUN_STATUSES:
            return broken(f"status {answer.status} without a mark that it has not run")
        if answer.status in SUCCESS_STATUSES:
            if answered_id is None:
                return broken("success without the request's id")
            if answer.header(header_names.signature) is None:
                return broken("success without the target's signature")
            if answer.header(b"content-encoding") is not None:
                return broken("encoded body")
        return Attempt(kind=AttemptKind.ANSWERED, response=answer)

    return classify
