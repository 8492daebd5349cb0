"""Decode versions of the configuration, most of which change few routes."""

from attrs import evolve
from expression import Ok, Result
from msgspec import Raw

from catkinhollow.codec import decode_message, encode_message
from catkinhollow.errors import DecodeError
from catkinhollow.generated.relay import RelayConfiguration, RelayRoute

ROUTES_FIELD = "routes"


class ConfigurationDecoder:
    """Decode the routes that the last version did not have.

    Decoding a route takes ten times as long as finding it among those of the
    last version. Unchanged routes are the same objects in both versions.
    """

    def __init__(self) -> None:
        # Routes of the last version by their encoded form.
        self._routes: dict[bytes, RelayRoute] = {}

    def decode(self, body: bytes) -> Result[RelayConfiguration, DecodeError]:
        """Return the configuration in the body of a document."""
        fields = decode_message(body, dict[str, Raw])
        if fields.is_error():
            return fields.map(lambda _: RelayConfiguration(version=0))
        rest = {
            name: value for name, value in fields.ok.items() if name != ROUTES_FIELD
        }
        decoded = decode_message(encode_message(rest), RelayConfiguration)
        if decoded.is_error() or ROUTES_FIELD not in fields.ok:
            return decoded
        items = decode_message(bytes(fields.ok[ROUTES_FIELD]), list[Raw])
        return items.bind(self._decode_routes).map(
            lambda routes: evolve(decoded.ok, routes=routes)
        )

    def _decode_routes(self, items: list[Raw]) -> Result[list[RelayRoute], DecodeError]:
        routes: dict[bytes, RelayRoute] = {}
        ordered: list[RelayRoute] = []
        for item in items:
            encoded = bytes(item)
            route = routes.get(encoded) or self._routes.get(encoded)
            if route is None:
                decoded = decode_message(encoded, RelayRoute)
                if decoded.is_error():
                    return decoded.map(lambda _: ordered)
                route = decoded.ok
            routes[encoded] = route
            ordered.append(route)
        self._routes = routes
        return Ok(ordered)
