"""The seeded schedule of a run: faults of instances, links and nodes, and changes, in series and overlapping."""

import asyncio
import random
import signal

KINDS = ("instances", "links", "nodes", "changes")
INSTANCE_FAULTS = {
    "refuse": 0.4, "refuse_unnamed": 0.5, "copy": 0.2, "copy_now": 0.2, "mix": 0.35, "greet": 0.2, "unnamed": 0.2,
    "noise": 0.1, "stray": 0.5, "cut": 0.2, "lose": 0.2, "mute": 0.05, "unframed": 0.2}
MEAN_GAP_S = 0.5


class Disturbances:
    """Draws one disturbance after the other from the seed and carries it out."""

    def __init__(self, fleet, seed, kinds):
        self.fleet = fleet
        self.random = random.Random(f"disturbances/{seed}")
        self.kinds = kinds
        self.version = 1
        self.tasks = []

    async def play(self, duration_s):
        end = self.fleet.record.now() + duration_s
        actions = {"instances": (self.spoil_answers, self.spoil_answers, self.freeze_instance, self.restart_instance,
                                 self.replace_instance),
                   "links": (self.delay_link, self.reset_links, self.hold_links),
                   "nodes": (self.pause_node, self.kill_node, self.stop_node, self.reload_node),
                   "changes": (self.change_config,)}
        while self.kinds and self.fleet.record.now() < end:
            action = self.random.choice(actions[self.random.choice(self.kinds)])
            # All values are drawn before the first pause, so that a seed gives one schedule.
            self.tasks.append(asyncio.ensure_future(action(*self.draw())))
            await asyncio.sleep(self.random.expovariate(1 / MEAN_GAP_S))
        await asyncio.gather(*self.tasks)

    def draw(self):
        """Returns the duration, strength and targets of a disturbance."""
        numbers = range(len(self.fleet.nodes))
        return (self.random.uniform(0.2, 1.0), self.random.random(), self.random.sample(numbers, len(numbers)),
                self.random.sample(sorted(INSTANCE_FAULTS), 3))

    async def spoil_answers(self, length, strength, order, faults):
        instances = [self.fleet.instances[number] for number in order[:(1, 3, len(order))[int(strength * 3)]]]
        shares = {fault: INSTANCE_FAULTS[fault] * strength for fault in faults}
        self.fleet.record.write("fault", what="answers", shares=shares, instances=[entry.id for entry in instances])
        for instance in instances:
            instance.faults.update(shares)
        await asyncio.sleep(length * 6)
        for instance in instances:
            for fault in faults:
                instance.faults.pop(fault, None)

    async def freeze_instance(self, length, _, order, _faults):
        instance = self.fleet.instances[order[0]]
        self.fleet.record.write("fault", what="freeze", instances=[instance.id])
        instance.thawed.clear()
        await asyncio.sleep(length * 2)
        instance.thawed.set()

    async def restart_instance(self, _length, _strength, order, _faults):
        instance = self.fleet.instances[order[0]]
        self.fleet.record.write("fault", what="restart", instances=[instance.id])
        instance.restart()
        await self.fleet.store.put(f"servers/{instance.id}", instance.get_entry())

    async def replace_instance(self, length, _strength, order, _faults):
        """Puts an instance with another id at an address; the store tells of it later."""
        instance = self.fleet.instances[order[0]]
        old_id, instance.id = instance.id, f"{instance.id.split('+')[0]}+{self.version}{order[1]}"
        self.fleet.record.write("fault", what="replace", instances=[old_id, instance.id])
        instance.restart()
        await asyncio.sleep(length)
        await self.fleet.store.delete(f"servers/{old_id}")
        await self.fleet.store.put(f"servers/{instance.id}", instance.get_entry())

    def pick_links(self, order):
        return [link for (source, target), link in self.fleet.links.items()
                if source in order[:2] or target in order[:2]]

    async def delay_link(self, length, strength, order, _faults):
        links = self.pick_links(order)
        self.fleet.record.write("fault", what="delay", links=len(links), seconds=strength * 0.3)
        for link in links:
            link.delay_s = strength * 0.3
        await asyncio.sleep(length * 4)
        for link in links:
            link.delay_s = 0.0

    async def reset_links(self, _length, _strength, order, _faults):
        links = self.pick_links(order)
        self.fleet.record.write("fault", what="reset", links=len(links))
        for link in links:
            link.reset()

    async def hold_links(self, length, strength, order, _faults):
        links = self.pick_links(order)
        directions = (("there",), ("back",), ("there", "back"))[int(strength * 3)]
        self.fleet.record.write("fault", what="hold", links=len(links), directions=directions)
        for link in links:
            for direction in directions:
                link.hold(direction, True)
        await asyncio.sleep(length * 4)
        for link in links:
            for direction in directions:
                link.hold(direction, False)

    async def pause_node(self, length, _strength, order, _faults):
        node = self.fleet.nodes[order[0]]
        process = node.process
        node.send_signal(signal.SIGSTOP)
        await asyncio.sleep(length * 3)
        if process is node.process:
            node.send_signal(signal.SIGCONT)

    async def kill_node(self, _length, _strength, order, _faults):
        self.fleet.nodes[order[0]].send_signal(signal.SIGKILL)

    async def stop_node(self, _length, _strength, order, _faults):
        await self.fleet.nodes[order[0]].stop()

    async def reload_node(self, _length, _strength, order, _faults):
        self.fleet.nodes[order[0]].send_signal(signal.SIGHUP)

    async def change_config(self, _length, strength, _order, _faults):
        self.version += 1
        await self.fleet.store.put("op/config", self.fleet.make_config(self.version, 5 if strength < 0.7 else 4))
