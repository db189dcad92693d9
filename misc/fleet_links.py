"""Routes traffic between locations (zones or regions), and to the platform, through the relay stand-in."""

import json

from fleet import HOST
from fleet_process import Process, read_json, send_json, wait_until_ready

PLATFORM = "platform"
FIRST_PORT_OFFSET = 1000


def get_link_name(first, other):
    """The name of the link between two locations, the same in both directions."""
    return "|".join(sorted((first, other)))


class RelayLinks:
    """Relayed links between a fleet's locations, whose rules can be changed while the fleet runs.

    Assign it to `Fleet.links` before the fleet starts; the fleet starts the relay before the nodes.
    """

    def __init__(self, fleet, scope="zone"):
        """`scope` is `zone` or `region`: the kind of location that the links connect."""
        self.fleet = fleet
        self.scope = scope
        self.control = f"{HOST}:{fleet.base_port + FIRST_PORT_OFFSET - 1}"
        self.process = None
        self.routes = []
        self.addresses_by_location = {}  # location -> {original address: relay address}
        for location in self.list_locations():
            self._add_location(location)

    def get_location(self, instance):
        return getattr(instance, self.scope)

    def list_locations(self):
        return sorted({self.get_location(instance) for instance in self.fleet.instances})

    def _add_route(self, location, other, address):
        listen = f"{HOST}:{self.fleet.base_port + FIRST_PORT_OFFSET + len(self.routes)}"
        self.routes.append({
            "name": get_link_name(location, other), "listen": listen, "to": address, "reversed": location > other,
        })
        return listen

    def _add_location(self, location):
        relay_addresses = {}
        for instance in self.fleet.instances:
            other = self.get_location(instance)
            if other == location:
                continue
            for address in (instance.mesh, instance.peer):
                relay_addresses[address] = self._add_route(location, other, address)
        platform_relay = self._add_route(location, PLATFORM, self.fleet.platform_address)
        relay_addresses[self.fleet.platform_address] = platform_relay
        self.addresses_by_location[location] = relay_addresses

    def make_settings(self, instance):
        """Settings that make an instance's node connect through the relay."""
        relay_addresses = dict(self.addresses_by_location[self.get_location(instance)])
        platform_relay = relay_addresses.pop(self.fleet.platform_address)
        routes = [f"{address}={relay_address}" for address, relay_address in relay_addresses.items()]
        return {"platform.address": platform_relay, "fleet.routes": routes}

    def start(self):
        self.fleet.out.mkdir(parents=True, exist_ok=True)
        path = self.fleet.out / "relay.json"
        path.write_text(json.dumps({"routes": self.routes}, indent=1) + "\n")
        self.process = Process("relay", [
            self.fleet.build / "tests/stand_ins/stand_in_relay", "--config", path, "--control", self.control,
        ], self.fleet.out / "relay.log")
        self.process.start()
        wait_until_ready(self.read_links, "relay")

    def stop(self):
        if self.process:
            self.process.stop()

    def read_links(self):
        """Reads the rules and byte counts of all links."""
        return read_json(self.control, "/links")

    def set_rules(self, first, other, **rules):
        """Sets rules of one link: `cut`, `blackhole`, `delay_ms` or `bytes_per_second`."""
        send_json(self.control, "/links", {"name": get_link_name(first, other), **rules})

    def set_rules_of_location(self, location, with_platform=True, **rules):
        """Sets rules of every link of a location, by default including the link to the platform."""
        others = [other for other in self.list_locations() if other != location]
        for other in others + ([PLATFORM] if with_platform else []):
            self.set_rules(location, other, **rules)
