"""Two example users with their regions, services, request classes and presets, scaled down to one machine."""

from dataclasses import dataclass, field


@dataclass(frozen=True)
class Service:
    """A service and the behaviour of its targets."""

    name: str
    slots: int
    service_ms: float
    calls: str = ""  # Services that it calls; `a,b`: sequentially, `a+b`: in parallel.
    answer_bytes: int = 1000
    queue: int = 200
    regions: tuple = ()  # Empty: all regions.


@dataclass(frozen=True)
class RequestClass:
    """A request class of the preset document and the requests that its callers send."""

    name: str
    service: str
    priority: int
    deadline_ms: int
    rate: float  # Requests per second at 1x over all regions, without retries.
    method: str = "GET"
    path: str = "/"
    at_most_once: bool = False
    large: bool = False
    answer_bytes: int = -1  # -1: the target's default.

    def to_document(self):
        document = {"priority": self.priority, "deadline_ms": self.deadline_ms}
        if self.at_most_once:
            document["at_most_once"] = True
        if self.large:
            document["large"] = True
        return document


@dataclass(frozen=True)
class User:
    """A user's system: its regions, services and request classes."""

    name: str
    zones: dict = field(default_factory=dict)  # Region -> list of availability zones.
    services: tuple = ()
    classes: tuple = ()
    probe_service: str = ""  # No service time, no calls: shows the added latency alone.

    def find_class(self, name):
        return next(request_class for request_class in self.classes if request_class.name == name)

    def make_preset(self, retries=2, fleet_ratio=0.1, link_bytes_per_second=3750000):
        """One preset of the preset document."""
        classes = {request_class.name: request_class.to_document() for request_class in self.classes}
        classes["internal"] = {"priority": 500, "deadline_ms": 1000}
        by_service = {request_class.service: request_class.name for request_class in self.classes}
        services = {
            service.name: {
                "class": by_service.get(service.name, "internal"),
                "max_limit": service.slots * 2,
                "max_queue": service.queue,
            }
            for service in self.services
        }
        return {
            "retries": {"per_request": retries, "fleet_ratio": fleet_ratio},
            "link": {"bytes_per_second": link_bytes_per_second},
            "classes": classes,
            "services": services,
        }

    def make_document(self, active_preset="ordinary"):
        """The preset document with the presets `ordinary`, `peak` and `maintenance`."""
        maintenance = self.make_preset(retries=0)
        lowest_class = min(self.classes, key=lambda request_class: request_class.priority)
        maintenance["classes"][lowest_class.name]["may_cross_regions"] = False
        return {
            "format": 1,
            "in_force": active_preset,
            "presets": {
                "ordinary": self.make_preset(),
                "peak": self.make_preset(retries=1, fleet_ratio=0.05),
                "maintenance": maintenance,
            },
        }


VYSIVKA = User(
    name="vysivka",
    probe_service="threads",
    zones={"zapad": ["zapad-a", "zapad-b"], "vychod": ["vychod-a", "vychod-b"]},
    services=(
        Service("catalogue", slots=5, service_ms=30, calls="stock"),
        Service("orders", slots=4, service_ms=30, calls="stock,store"),
        Service("proofs", slots=4, service_ms=30, answer_bytes=100000),
        Service("status", slots=3, service_ms=5, calls="store"),
        Service("stock", slots=8, service_ms=5, calls="store"),
        Service("store", slots=4, service_ms=20, regions=("zapad",)),
        Service("threads", slots=8, service_ms=0, regions=("zapad",)),
    ),
    classes=(
        RequestClass("catalogue", "catalogue", 100, 1000, rate=230, path="/catalogue/badges"),
        RequestClass(
            "orders", "orders", 900, 2000, rate=20, method="POST", path="/orders", at_most_once=True
        ),
        RequestClass(
            "proofs", "proofs", 700, 5000, rate=10, path="/proofs/1", large=True, answer_bytes=100000
        ),
        RequestClass("status", "status", 950, 500, rate=40, path="/status/1"),
    ),
)

CUTWORKS = User(
    name="cutworks",
    probe_service="prices",
    zones={"seq": ["seq-a", "seq-b"], "fnq": ["fnq-a", "fnq-b"]},
    services=(
        Service("catalogue", slots=6, service_ms=30, calls="stock"),
        Service("orders", slots=5, service_ms=30, calls="stock,store"),
        Service("templates", slots=6, service_ms=30, answer_bytes=200000),
        Service("tracker", slots=5, service_ms=5, calls="store"),
        Service("stock", slots=8, service_ms=5, calls="store"),
        Service("store", slots=5, service_ms=20, regions=("seq",)),
        Service("prices", slots=8, service_ms=0, regions=("seq",)),
    ),
    classes=(
        RequestClass("catalogue", "catalogue", 100, 1000, rate=250, path="/catalogue/poles"),
        RequestClass(
            "orders", "orders", 950, 2000, rate=30, method="POST", path="/cut-orders", at_most_once=True
        ),
        RequestClass(
            "templates", "templates", 700, 5000, rate=8, path="/templates/1", large=True, answer_bytes=200000
        ),
        RequestClass("tracker", "tracker", 900, 500, rate=50, path="/tracker/1"),
    ),
)

USERS = {user.name: user for user in (VYSIVKA, CUTWORKS)}


def make_chain(depth, fan_out=1, service_ms=1.0, slots=8, rate=20):
    """A user with a call chain of `depth` services; the last one is called `fan_out` times in parallel."""
    service_names = [f"hop{number:02}" for number in range(1, depth + 1)]
    services = []
    for number, name in enumerate(service_names):
        calls = service_names[number + 1] if number + 1 < depth else ""
        if number + 2 == depth:
            calls = "+".join([calls] * fan_out)
        services.append(Service(name, slots, service_ms, calls))
    chain = RequestClass("chain", service_names[0], 500, 5000, rate=rate, path="/chain")
    return User(name=f"chain{depth}", zones={"west": ["west-a"], "east": ["east-a"]}, services=tuple(services),
                classes=(chain,))
