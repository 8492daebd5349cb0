"""Decide what a target's response says about the request sent to it."""

from collections.abc import Callable

from catkinhollow.calls.egress import SendResult
from catkinhollow.calls.exchange import Request, Response
from catkinhollow.calls.retries import AttemptKind
from catkinhollow.relay.gate import MISDIRECTED
from catkinhollow.relay.header_names import HeaderNames

SUCCESSES = range(200, 300)
# Callers read these as a promise that the request has not run, which only
# the target's own mark can give.
PROMISES = (408, 421, 429, 503)


def make_classifier(names: HeaderNames) -> Callable[[Request, Response], SendResult]:
    """Return the function that judges responses with these header names."""

    def broken(reason: str) -> SendResult:
        return SendResult(kind=AttemptKind.BROKEN, reason=reason)

    def classify(request: Request, answer: Response) -> SendResult:
        answered_id = answer.header(names.request_id)
        if answered_id is not None and answered_id != request.header(names.request_id):
            return broken("answer to another request")
        if answer.status == MISDIRECTED or answer.header(names.not_run) is not None:
            return SendResult(
                kind=AttemptKind.REFUSED, response=answer, reason="refused by target"
            )
        if answer.status in PROMISES:
            return broken(f"status {answer.status} without a mark that it has not run")
        if answer.status in SUCCESSES:
            if answered_id is None:
                return broken("success without the request's id")
            if answer.header(names.signature) is None:
                return broken("success without the target's signature")
            if answer.header(b"content-encoding") is not None:
                return broken("encoded body")
        return SendResult(kind=AttemptKind.ANSWERED, response=answer)

    return classify
