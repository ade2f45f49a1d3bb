"""Engines that carry out the orders of an instance, and versions of their services."""

from dataclasses import replace

from result import Err, Ok

from marjoramstage.exceptions import Verdict
from marjoramstage.protocol.control import OrderAnswer
from marjoramstage.protocol.objects import PlatformError, PlatformFault
from marjoramstage.state.fleet import FleetTarget, Item, TargetReport
from marjoramstage.state.routes import (
    CallerLimits,
    EngineSpec,
    ModelSpec,
    RouteTable,
    Service,
)

MEMORY_MB = 220.0
LOAD_S = 0.5


def engine(names, size_mb=70.0, adapter_slots=2):
    models = {n: ModelSpec(n, size_mb, LOAD_S, 0.1, 0.1) for n in names}
    return EngineSpec(8, MEMORY_MB, adapter_slots, 4.0, models)


def models(*numbers):
    return [f"m{number}" for number in numbers]


def table(version, services):
    found = {name: Service(name, engine=spec) for name, spec in services.items()}
    return RouteTable(version, (), found, CallerLimits())


BEFORE = {"a": engine(models(*range(1, 7))), "b": engine(models(*range(1, 7)))}


class LeaseStore:
    async def get(self, kind, name):
        return Err(PlatformError(PlatformFault.NOT_FOUND, Verdict.NOT_RUN))

    async def create(self, obj):
        return Ok(replace(obj, version=str(int(obj.version or 0) + 1)))

    update = create


class Engines:
    """Targets that carry out orders at once, and check their memory."""

    def __init__(self, state):
        self.state, self.sizes, self.counts = state, {}, {}
        self.loaded, self.over = set(), []

    def size_mb(self, service, item):
        spec = self.state.table.engine(service)
        model = spec.models.get(item.model) if spec else None
        return model.memory_mb if model and not item.adapter else 0.0

    def add(self, name, service, held):
        items = {Item(model) for model in held}
        self.sizes[name] = {item: self.size_mb(service, item) for item in items}
        self.counts[name] = 0
        self.state.put_target(
            FleetTarget(name, 1, service, "10.0.0.1:80", "a", 8, items=frozenset(items))
        )

    async def fetch_report(self, target):
        items = frozenset(self.sizes[target.name])
        return TargetReport(self.counts[target.name], False, 0, 0, items)

    async def send_order(self, target, order):
        sizes, service = self.sizes[target.name], target.service
        self.counts[target.name] += 1
        if not order.load:
            sizes.pop(order.item, None)
            return OrderAnswer.ACCEPTED
        sizes[order.item] = self.size_mb(service, order.item)
        self.loaded.add(f"{service} {order.item}")
        used_mb = sum(
            max(mb, self.size_mb(service, item)) for item, mb in sizes.items()
        )
        adapters = sum(1 for item in sizes if item.adapter)
        slots = self.state.table.engine(service).adapter_slots
        if used_mb > MEMORY_MB or adapters > slots:
            self.over.append((target.name, dict(sizes)))
        return OrderAnswer.ACCEPTED
