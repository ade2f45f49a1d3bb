"""Deployments of current users, as the basis of generated traces."""

from __future__ import annotations

from dataclasses import dataclass
from typing import Any

ENGINE_MEMORY_MB = 96_000
ENGINE_ACCELERATORS = 2
ENGINE_SLOTS = 16
SERVICE_SLOTS = 32
ADAPTER_MB = 300
STORE_MB_PER_S = 2000.0
MODEL_SIZES_MB = (14_000, 16_000, 18_000, 20_000, 24_000, 28_000)
MODELS = 20


@dataclass(frozen=True)
class Deployment:
    """One user's deployment.

    Attributes
    ----------
    engines, services, instances : tuple of str
        Data centre of each engine, service or instance.
    customers : tuple of str
        Names of the customers, who all have the same weight.
    service : str
        Name of the service that runs beside the engines.
    service_share : float
        Share of all requests that go to the service.
    at_full_speed : int
        Concurrent loads that the weight store serves at full speed.
    adapters : int
        Number of adapters.
    adapters_in_transit : int
        Concurrent adapter loads that are not slowed down.
    classes : dict
        Share of the engine requests by class.
    """

    name: str
    data_centres: tuple[str, ...]
    engines: tuple[str, ...]
    services: tuple[str, ...]
    instances: tuple[str, ...]
    customers: tuple[str, ...]
    service: str
    service_share: float
    at_full_speed: int
    adapters: int
    adapters_in_transit: int
    classes: dict[str, float]

    @property
    def models(self) -> tuple[str, ...]:
        """Names of the models, most requested first."""
        return tuple(f"m{number:02d}" for number in range(MODELS))

    def adapters_of(self, model: str, customer: str) -> tuple[str, ...]:
        """Return the adapters of a model that a customer paid for.

        Adapter ``number`` belongs to the model with the index ``number % MODELS``.
        The adapters of a model are assigned to the customers in turn; the first
        customer differs from model to model.
        """
        index = self.models.index(model)
        place = self.customers.index(customer)
        found = []
        for number in range(index, self.adapters, MODELS):
            if (number // MODELS + index) % len(self.customers) == place:
                found.append(f"a{number:02d}")
        return tuple(found)

    def header(self, name: str, expect: dict[str, Any], slowdown: float) -> dict:
        """Return the header line of a trace.

        Parameters
        ----------
        slowdown : float
            Factor by which the weight store is slower than normal.
        """
        return {
            "kind": "header",
            "name": name,
            "data_centres": list(self.data_centres),
            "instances": _parts("i", self.instances),
            "targets": self._targets(),
            "models": [_model(name, index) for index, name in enumerate(self.models)],
            "adapters": [self._adapter(number) for number in range(self.adapters)],
            "customers": [self._customer(name) for name in self.customers],
            "store": {
                "loads_per_s": 2.0 / slowdown,
                "at_full_speed": self.at_full_speed,
                "mb_per_s": STORE_MB_PER_S / slowdown,
            },
            "adapter_load_ms": [5, 10],
            "adapters_in_transit": self.adapters_in_transit,
            "expect": expect,
        }

    def _targets(self) -> list[dict]:
        engine = {
            "memory_mb": ENGINE_MEMORY_MB,
            "accelerators": ENGINE_ACCELERATORS,
            "kind": "engine",
            "slots": ENGINE_SLOTS,
        }
        service = {
            "memory_mb": 0,
            "accelerators": 0,
            "kind": "service",
            "slots": SERVICE_SLOTS,
            "fencing": False,
        }
        found = []
        for index, part in enumerate(_parts("e", self.engines)):
            found.append({**part, **engine, "fencing": index % 2 == 0})
        found += [{**part, **service} for part in _parts("s", self.services)]
        return found

    def _adapter(self, number: int) -> dict:
        model = self.models[number % MODELS]
        return {"name": f"a{number:02d}", "model": model, "memory_mb": ADAPTER_MB}

    def _customer(self, name: str) -> dict:
        paid = [*self.models, self.service]
        for model in self.models:
            paid += self.adapters_of(model, name)
        return {"name": name, "weight": 1.0, "paid": paid}


def _parts(prefix: str, places: tuple[str, ...]) -> list[dict]:
    return [
        {"name": f"{prefix}{number}", "data_centre": place}
        for number, place in enumerate(places, start=1)
    ]


def _model(name: str, index: int) -> dict:
    size_mb = MODEL_SIZES_MB[index % len(MODEL_SIZES_MB)]
    return {
        "name": name,
        "memory_mb": size_mb,
        "prefill_tokens_per_s": 80_000_000 // size_mb,
        "decode_tokens_per_s": 1_000_000 // size_mb,
    }


TRAN_GIA = Deployment(
    name="tran-gia",
    data_centres=("saigon", "thu-duc", "can-tho", "vung-tau"),
    engines=("saigon", "saigon", "thu-duc", "thu-duc", "can-tho", "vung-tau"),
    services=("saigon", "thu-duc", "can-tho", "vung-tau"),
    instances=(
        *("saigon", "saigon", "thu-duc", "thu-duc"),
        *("can-tho", "can-tho", "vung-tau", "vung-tau"),
    ),
    customers=("law", "medicine", "sciences", "arts"),
    service="booking",
    service_share=0.3,
    at_full_speed=8,
    adapters=80,
    adapters_in_transit=60,
    classes={"urgent": 0.3, "interactive": 0.55, "overnight": 0.15},
)

CAMPANAS_ANDINAS = Deployment(
    name="campanas-andinas",
    data_centres=("miraflores", "callao", "barranco"),
    engines=("miraflores", "miraflores", "callao", "callao", "barranco", "barranco"),
    services=("miraflores", "callao", "barranco"),
    instances=(
        *("miraflores", "miraflores", "miraflores"),
        *("callao", "callao", "callao"),
        *("barranco", "barranco", "barranco"),
    ),
    customers=("sol", "luna", "viento"),
    service="exchange",
    service_share=0.2,
    at_full_speed=9,
    adapters=60,
    adapters_in_transit=70,
    classes={"urgent": 0.25, "interactive": 0.45, "overnight": 0.3},
)

DEPLOYMENTS = {each.name: each for each in (TRAN_GIA, CAMPANAS_ANDINAS)}
