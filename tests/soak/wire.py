"""HTTP/1.1 messages as the stand-ins read and write them."""

import asyncio
import hashlib

EOL = b"\r\n"


class Head:
    """The first line and the header fields of a message."""

    def __init__(self, first_line, fields):
        self.first_line = first_line
        self.fields = fields

    def get(self, name, default=None):
        return self.fields.get(name.lower(), default)

    def get_status(self):
        return int(self.first_line.split(" ")[1])


async def read_head(reader):
    """Returns the head of a message, or None at the end of the connection. Raises ValueError for bytes that are none."""
    try:
        text = (await reader.readuntil(EOL + EOL)).decode("latin-1")
    except asyncio.IncompleteReadError as end:
        if end.partial:
            raise ValueError("the connection ends within a head") from end
        return None
    lines = text.split("\r\n")
    fields = {}
    for line in lines[1:]:
        if line:
            name, separator, value = line.partition(":")
            if not separator:
                raise ValueError(f"not a header field: {line!r}")
            fields[name.strip().lower()] = value.strip()
    return Head(lines[0], fields)


async def read_body(reader, head):
    """Returns the body of a message with a length or in chunks."""
    if head.get("Transfer-Encoding", "").lower() == "chunked":
        body = b""
        while True:
            size = int((await reader.readuntil(EOL)).split(b";")[0], 16)
            part = await reader.readexactly(size + 2)
            if size == 0:
                return body
            body += part[:-2]
    return await reader.readexactly(int(head.get("Content-Length", "0")))


def format_head(first_line, fields):
    lines = [first_line] + [f"{name}: {value}" for name, value in fields]
    return "\r\n".join(lines).encode("latin-1") + EOL + EOL


def format_message(first_line, fields, body=b""):
    return format_head(first_line, list(fields) + [("Content-Length", len(body))]) + body


def make_body(request_id, size):
    """Returns the whole body that an instance gives to a request."""
    block = hashlib.sha256(request_id.encode()).hexdigest().encode()
    return (block * (size // len(block) + 1))[:size]
