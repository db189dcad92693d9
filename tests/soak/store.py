"""A stand-in for the platform's store. Each node has its own address of it and sees the other VMs through its links."""

import asyncio
import base64
import json
import re
import time

import wire

ANSWER_S = 0.004


class Store:
    """Holds the items and answers /kv-key, /kv-range and /kv-watch."""

    def __init__(self, record):
        self.record = record
        self.items = {}
        self.events = []
        self.revision = 10
        self.changed = asyncio.Condition()

    async def listen(self, ip, port, rewrite):
        """Opens an address. `rewrite` changes a document (key, document) as the node at this address is to see it."""
        async def serve(reader, writer):
            await self.serve(reader, writer, rewrite)
        await asyncio.start_server(serve, ip, port)

    async def put(self, key, document):
        async with self.changed:
            self.revision += 1
            created = self.items[key]["created"] if key in self.items else self.revision
            item = {"key": key, "document": document, "rev": self.revision, "created": created}
            self.items[key] = item
            self.events.append(item)
            self.changed.notify_all()
        self.record.write("stored", key=key, revision=self.revision)

    async def delete(self, key):
        async with self.changed:
            self.revision += 1
            self.items.pop(key, None)
            self.events.append({"key": key, "rev": self.revision, "deleted": True})
            self.changed.notify_all()
        self.record.write("deleted", key=key, revision=self.revision)

    async def serve(self, reader, writer, rewrite):
        try:
            while True:
                head = await wire.read_head(reader)
                if head is None:
                    break
                path, _, query = head.first_line.split(" ")[1].partition("?")
                arguments = dict(part.partition("=")[::2] for part in query.split("&") if part)
                arguments = {name: re.sub("%([0-9A-Fa-f]{2})", lambda match: chr(int(match[1], 16)), value)
                             for name, value in arguments.items()}
                await asyncio.sleep(ANSWER_S)
                status, body = await self.answer(path, arguments, rewrite)
                writer.write(wire.format_message(f"HTTP/1.1 {status}", [("Content-Type", "application/json")],
                                                 json.dumps(body).encode()))
                await writer.drain()
        except (OSError, ValueError, asyncio.IncompleteReadError):
            pass
        finally:
            writer.close()

    @staticmethod
    def format_item(item, rewrite):
        if "deleted" in item:
            return item
        value = json.dumps(rewrite(item["key"], item["document"])).encode()
        return {"key": item["key"], "value": base64.b64encode(value).decode(), "rev": item["rev"],
                "created": item["created"], "lease": 0}

    async def answer(self, path, arguments, rewrite):
        prefix = arguments.get("prefix", "")
        if path == "/kv-key":
            item = self.items.get(arguments.get("key", ""))
            if item is None:
                return "404 Not Found", {"storeRevision": self.revision}
            return "200 OK", dict(self.format_item(item, rewrite), storeRevision=self.revision)
        if path == "/kv-range":
            items = [self.format_item(self.items[key], rewrite) for key in sorted(self.items)
                     if key.startswith(prefix) and key > arguments.get("after", "")]
            return "200 OK", {"items": items, "hasMore": False, "storeRevision": self.revision}
        if path != "/kv-watch":
            return "404 Not Found", {}
        return await self.watch(prefix, arguments, rewrite)

    async def watch(self, prefix, arguments, rewrite):
        after = int(arguments["after"])
        end = time.monotonic() + min(30000, int(arguments.get("waitMs", "0"))) / 1000
        async with self.changed:
            while True:
                events = [self.format_item(item, rewrite) for item in self.events
                          if item["rev"] > after and item["key"].startswith(prefix)]
                left = end - time.monotonic()
                if events or left <= 0:
                    return "200 OK", {"events": events, "storeRevision": self.revision}
                try:
                    await asyncio.wait_for(self.changed.wait(), left)
                except asyncio.TimeoutError:
                    pass
