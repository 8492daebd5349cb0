"""Tests of the classification of a target's responses."""

import pytest

from catkinhollow.calls.exchange import Request, Response
from catkinhollow.calls.retries import AttemptKind
from catkinhollow.relay.admission.target_responses import make_classifier
from catkinhollow.relay.header_names import HeaderNames

NAMES = HeaderNames()
ID = (NAMES.request_id, b"c1")
SIGNED = (NAMES.signature, b"signed")
NOT_RUN = (NAMES.not_run, b"1")


@pytest.mark.parametrize(
    ("status", "headers", "kind"),
    [
        (200, [ID, SIGNED], AttemptKind.ANSWERED),
        (500, [ID, SIGNED], AttemptKind.ANSWERED),
        (404, [ID, SIGNED], AttemptKind.ANSWERED),
        (503, [ID, NOT_RUN], AttemptKind.REFUSED),
        (421, [], AttemptKind.REFUSED),
        # A late extra response to an earlier request.
        (200, [SIGNED], AttemptKind.BROKEN),
        (200, [(NAMES.request_id, b"c0"), SIGNED], AttemptKind.BROKEN),
        (500, [(NAMES.request_id, b"c0")], AttemptKind.BROKEN),
        # A response from something other than the target.
        (200, [ID], AttemptKind.BROKEN),
        (200, [ID, SIGNED, (b"content-encoding", b"gzip")], AttemptKind.BROKEN),
        # A refusal without the header which says that the request has not run.
        (503, [ID], AttemptKind.BROKEN),
        (429, [ID, SIGNED], AttemptKind.BROKEN),
    ],
)
def test_response_is_classified_by_its_headers(status, headers, kind):
    """Guards against false refusals and responses to other requests."""
    request = Request(method="GET", path="/a", query=b"", headers=[ID], body=b"")
    response = Response(status=status, headers=headers, body=b"")
    assert make_classifier(NAMES)(request, response).kind is kind


def test_health_check_needs_no_request_id():
    """Guards against health checks of which none can ever pass."""
    request = Request(method="GET", path="/health", query=b"", headers=[], body=b"")
    response = Response(status=200, headers=[(NAMES.lifetime, b"t1")], body=b"")
    attempt = make_classifier(NAMES)(request, response)
    assert attempt.kind is AttemptKind.ANSWERED
