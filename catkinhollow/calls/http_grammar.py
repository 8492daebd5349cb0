"""Define which heads of HTTP/1.1 messages are well-formed, as in RFC 9112.

Lines end with CR LF only, and no line is folded.
"""

import re

_TOKEN = rb"[-!#$%&'*+.^_`|~0-9a-zA-Z]++"
_TEXT = rb"[\t\x20-\x7e\x80-\xff]*+"
_FIELDS = rb"(?:" + _TOKEN + rb":" + _TEXT + rb"\r\n)*+\r\n"

REQUEST_HEAD = re.compile(
    rb"(" + _TOKEN + rb") ([\x21-\x7e]++) HTTP/1\.([01])\r\n(" + _FIELDS + rb")"
)
"""Match a head; the groups are method, target, minor version and fields."""
RESPONSE_HEAD = re.compile(
    rb"HTTP/1\.([01]) ([1-5][0-9]{2})(?: " + _TEXT + rb")?\r\n" + _FIELDS
)
"""Match a head; the groups are minor version and status."""
HEAD_END = b"\r\n\r\n"
