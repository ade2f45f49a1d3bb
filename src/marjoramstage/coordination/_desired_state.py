"""Models and adapters that should be resident according to the inventory."""

from __future__ import annotations

from dataclasses import dataclass

from marjoramstage.protocol.messages import Item
from marjoramstage.state.inventory import Adapter, Inventory, Model


@dataclass(frozen=True)
class DesiredItem:
    """A model or an adapter that should be resident.

    Attributes
    ----------
    base : Item or None
        Base model of an adapter.
    paying_customers : frozenset of str
        Customers that paid for it.
    decode_tokens_per_s : float
        Decoding speed of one request; 0 for an adapter.
    """

    item: Item
    memory_mb: int
    base: Item | None = None
    paying_customers: frozenset[str] = frozenset()
    decode_tokens_per_s: float = 0.0


class DesiredState:
    """Index of the items that should be resident for one inventory.

    A model is included if a customer paid for it or for one of its adapters.
    An inventory without customers includes every model and adapter.
    """

    def __init__(self, inventory: Inventory):
        self.rules = inventory.rules
        self._weights = {c.name: c.weight for c in inventory.customers}
        self.models: dict[Item, DesiredItem] = {}
        self.adapters: dict[Item, DesiredItem] = {}
        self.adapters_of: dict[Item, list[DesiredItem]] = {}
        paying_customers = _paying_customers(inventory)
        everything = not inventory.customers
        for adapter in inventory.adapters:
            if everything or adapter.name in paying_customers:
                self._add_adapter(inventory, adapter, paying_customers)
        needed = {desired.base for desired in self.adapters.values()}
        for model in inventory.models:
            item = model_item(model)
            if everything or model.name in paying_customers or item in needed:
                self._add_model(model, paying_customers)
        self._by_name = {item.name: item for item in (*self.models, *self.adapters)}

    def get(self, item: Item) -> DesiredItem | None:
        """Return the entry of ``item``, or None if it should not be resident."""
        return self.models.get(item) or self.adapters.get(item)

    def items(self) -> set[Item]:
        """Return every item that should be resident."""
        return {*self.models, *self.adapters}

    def weight(self, customer: str) -> float:
        """Return the fair-share weight of a customer."""
        return self._weights.get(customer, 1.0)

    def successor(self, item: Item) -> Item | None:
        """Return the item of the same name in the version to be resident."""
        return self._by_name.get(item.name)

    def _add_model(
        self, model: Model, paying_customers: dict[str, frozenset[str]]
    ) -> None:
        item = model_item(model)
        self.models[item] = DesiredItem(
            item,
            model.memory_mb,
            paying_customers=paying_customers.get(model.name, frozenset()),
            decode_tokens_per_s=model.decode_tokens_per_s,
        )

    def _add_adapter(
        self,
        inventory: Inventory,
        adapter: Adapter,
        paying_customers: dict[str, frozenset[str]],
    ) -> None:
        base = model_item(inventory.model_by_name[adapter.model])
        item = Item(adapter.name, adapter.version)
        paid = paying_customers.get(adapter.name, frozenset())
        desired = DesiredItem(item, adapter.memory_mb, base, paid)
        self.adapters[item] = desired
        self.adapters_of.setdefault(base, []).append(desired)


def model_item(model: Model) -> Item:
    """Return name and version of a model as an item."""
    return Item(model.name, model.version)


def _paying_customers(inventory: Inventory) -> dict[str, frozenset[str]]:
    paying_customers: dict[str, set[str]] = {}
    for customer in inventory.customers:
        for name in customer.paid:
            paying_customers.setdefault(name, set()).add(customer.name)
    return {name: frozenset(found) for name, found in paying_customers.items()}
