"""Define the names of the platform's HTTP headers."""

from catkinhollow.relay.header_names import HeaderNames

PLATFORM_HEADERS = HeaderNames(
    request_id=b"x-attempt-id",
    deadline=b"x-deadline-ms",
    not_run=b"x-not-executed",
    signature=b"x-response-seal",
    expected_lifetime=b"x-expect-instance",
    lifetime=b"x-instance-id",
    cold_remaining=b"x-cold-ms",
    caller_service=b"x-caller-service",
    organisation=b"x-tenant",
    load=b"x-server-load",
)

# Rises by one each time the store comes back from a copy; 0 if it is missing.
STORE_ERA_HEADER = b"store-era"
