"""Parse the header in which a target reports its load."""

from catkinhollow.relay.admission.target_load import LoadFigures

# Bounds of the fourth figure: how long work takes, in percent of the usual
# time.
MIN_SLOWNESS_PERCENT = 10
MAX_SLOWNESS_PERCENT = 10_000
# Larger counts are invalid; their digits are not converted.
MAX_DIGITS = 9


def parse_load_header(value: bytes) -> LoadFigures | None:
    """Return the figures of a load header, None if it is malformed.

    A fourth figure out of range is ignored; the other three are used.
    """
    figures = [part.strip() for part in value.split(b",")]
    if len(figures) not in (3, 4):
        return None
    if not all(figure.isdigit() and len(figure) <= MAX_DIGITS for figure in figures):
        return None
    running, waiting, slots, *rest = map(int, figures)
    percent = rest[0] if rest else 0
    if not MIN_SLOWNESS_PERCENT <= percent <= MAX_SLOWNESS_PERCENT:
        percent = 0
    return LoadFigures(running, waiting, slots, percent / 100.0)
