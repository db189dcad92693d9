"""A loopback proxy in front of a node's listener for peers, one for each pair of VMs and direction."""

import asyncio

CHUNK_BYTES = 65536


class Link:
    """Forwards connections and can delay, hold, or reset what passes."""

    def __init__(self, name, remote):
        self.name = name
        self.remote = remote
        self.delay_s = 0.0
        self.is_open = {"there": asyncio.Event(), "back": asyncio.Event()}
        for event in self.is_open.values():
            event.set()
        self.writers = set()

    async def listen(self, ip, port):
        await asyncio.start_server(self.serve, ip, port)

    def hold(self, direction, is_held):
        """Holds all bytes and closes of one direction until it is released."""
        if is_held:
            self.is_open[direction].clear()
        else:
            self.is_open[direction].set()

    def reset(self):
        for writer in list(self.writers):
            writer.transport.abort()

    async def serve(self, reader, writer):
        try:
            far_reader, far_writer = await asyncio.open_connection(*self.remote)
        except OSError:
            writer.transport.abort()
            return
        ends = (writer, far_writer)
        self.writers.update(ends)
        await asyncio.gather(self.forward(reader, far_writer, "there"), self.forward(far_reader, writer, "back"))
        self.writers.difference_update(ends)

    async def forward(self, reader, writer, direction):
        try:
            while True:
                part = await reader.read(CHUNK_BYTES)
                if self.delay_s:
                    await asyncio.sleep(self.delay_s)
                await self.is_open[direction].wait()
                if not part:
                    writer.close()
                    return
                writer.write(part)
                await writer.drain()
        except OSError:
            writer.transport.abort()
