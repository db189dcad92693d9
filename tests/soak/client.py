"""Clients on the VMs: they keep connections, pipeline, send in parts, leave early and return after a promise."""

import asyncio
import random

import wire
from fleet import CALLERS_PORT, HOST

PROMISES = (408, 421, 429, 503)
DEADLINE_MS = 5000
ANSWER_TIMEOUT_S = 7
MOST_RETURNS = 2


class Client:
    """One client of a VM's node, which sends one batch of requests after the other until it is told to end."""

    def __init__(self, record, node, name, seed, rate):
        self.record = record
        self.node = node
        self.name = name
        self.random = random.Random(seed)
        self.rate = rate  # Batches a second.
        self.is_ending = False
        self.connection = None
        self.count = 0

    async def play(self):
        await asyncio.sleep(self.random.random() / self.rate)
        while not self.is_ending:
            start = self.record.now()
            await self.send_batch()
            pause = self.random.expovariate(self.rate) - (self.record.now() - start)
            await asyncio.sleep(max(0.0, pause))
        self.drop()

    def drop(self):
        if self.connection:
            self.connection[1].transport.abort()
        self.connection = None

    async def connect(self):
        if self.connection and self.random.random() < 0.3:
            self.drop()
        is_kept = self.connection is not None
        if not is_kept:
            self.connection = await asyncio.wait_for(asyncio.open_connection(self.node.ip, CALLERS_PORT), 1)
        return is_kept

    def make_order(self):
        calls = 1 if self.random.random() < 0.2 else 0
        return "POST", f"/orders/{self.random.choice((5, 20, 40, 120))}/{self.random.randrange(10, 600)}/{calls}"

    def make_read(self):
        return "GET", f"/browse/{self.random.choice((5, 20, 60))}/{self.random.randrange(10, 3000)}/0"

    async def send_batch(self):
        if self.random.random() < 0.65:
            await self.send([self.make_order()], MOST_RETURNS)
        else:
            await self.send([self.make_read() for _ in range(self.random.choice((1, 1, 2, 4)))], 0)

    async def send(self, requests, returns_left):
        """Sends requests behind each other on one connection and reads their answers."""
        sent = []
        try:
            is_kept = await self.connect()
            reader, writer = self.connection
            for method, path in requests:
                sent.append((await self.send_request(writer, method, path, is_kept), method, path))
            if self.random.random() < 0.03:
                await asyncio.sleep(self.random.random() * 0.1)
                raise ConnectionError("the client leaves")
            while sent:
                pause_s = await self.read_answer(reader, sent[0][0])
                request = sent.pop(0)
                if pause_s is not None and returns_left > 0:
                    await asyncio.sleep(min(pause_s, DEADLINE_MS / 3000))
                    self.drop()
                    await self.send([request[1:]], returns_left - 1)
                    return
        except (OSError, ValueError, asyncio.TimeoutError, asyncio.IncompleteReadError) as failure:
            for request_id, _, _ in sent:
                self.record.write("unanswered", id=request_id, why=f"{type(failure).__name__} {failure}")
            self.drop()

    async def send_request(self, writer, method, path, is_kept):
        self.count += 1
        request_id = f"{self.name}-{self.count}"
        body = f"order {request_id}" if method == "POST" else ""
        self.record.write("sent", id=request_id, method=method, path=path, body=body, once=method == "POST",
                          caller=self.node.instance.service, node=self.node.name, kept=is_kept)
        fields = [("Host", HOST), ("Request-Id", request_id), ("Request-Deadline", DEADLINE_MS)]
        text = wire.format_message(f"{method} {path} HTTP/1.1", fields, body.encode()) if method == "POST" \
            else wire.format_head(f"{method} {path} HTTP/1.1", fields)
        if self.random.random() < 0.1:
            cut = self.random.randrange(1, len(text))
            writer.write(text[:cut])
            await asyncio.sleep(self.random.random() * 0.2)
            text = text[cut:]
        writer.write(text)
        return request_id

    async def read_answer(self, reader, request_id):
        """Reads and records one answer. Returns the pause after which the client may return, if it is a promise."""
        head = await asyncio.wait_for(wire.read_head(reader), ANSWER_TIMEOUT_S)
        if head is None:
            raise ConnectionError("closed without an answer")
        body = await asyncio.wait_for(wire.read_body(reader, head), ANSWER_TIMEOUT_S)
        status = head.get_status()
        self.record.write("answered", id=request_id, status=status, stamp=head.get("Server-Stamp"), size=len(body),
                          whole=body == wire.make_body(request_id, len(body)))
        if head.get("Connection", "").lower() == "close":
            self.drop()
        return float(head.get("Retry-After", "0.1")) if status in PROMISES else None
