"""The record of a run: each send, run, answer and fault with its time."""

import json
import time


class Record:
    """Keeps the events of a run in memory and writes them to a file, one JSON object a line."""

    def __init__(self, path=None):
        self.start = time.monotonic()
        self.events = []
        self.file = open(path, "w", encoding="utf-8") if path else None

    def now(self):
        return time.monotonic() - self.start

    def write(self, kind, **fields):
        event = {"at": round(self.now(), 4), "kind": kind, **fields}
        self.events.append(event)
        if self.file:
            self.file.write(json.dumps(event) + "\n")

    def close(self):
        if self.file:
            self.file.close()
