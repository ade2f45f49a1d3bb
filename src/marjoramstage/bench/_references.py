"""Checks references between the lines of a trace."""

from __future__ import annotations

from collections.abc import Iterable, Iterator
from typing import TYPE_CHECKING

if TYPE_CHECKING:
    from marjoramstage.bench.trace import FaultLine, Header, RequestLine

PLATFORM = "platform"

Problem = tuple[str, str]


class Names:
    """Names defined in a header, to check references to them.

    Every method yields pairs of a field and the problem with it.
    """

    def __init__(self, header: Header):
        self._header = header
        self._data_centres = set(header.data_centres)
        self._instances = {instance.name for instance in header.instances}
        self._targets = {target.name for target in header.targets}
        self._models = {model.name for model in header.models}
        self._adapters = {adapter.name: adapter.model for adapter in header.adapters}
        self._customers = {customer.name for customer in header.customers}
        self._request_ids: set[str] = set()

    def header_problems(self) -> Iterator[Problem]:
        """Check the header itself."""
        header = self._header
        for field in ("instances", "targets", "models", "adapters", "customers"):
            yield from _repeated(field, getattr(header, field))
        for field in ("instances", "targets"):
            for index, entry in enumerate(getattr(header, field)):
                if entry.data_centre not in self._data_centres:
                    where = f"{field}.{index}.data_centre"
                    yield where, f"unknown data centre {entry.data_centre!r}"
        for index, adapter in enumerate(header.adapters):
            if adapter.model not in self._models:
                yield f"adapters.{index}.model", f"unknown model {adapter.model!r}"
        least, greatest = header.adapter_load_ms
        if least > greatest:
            yield "adapter_load_ms", "the minimum is greater than the maximum"

    def request_problems(self, line: RequestLine) -> Iterator[Problem]:
        """Check one request."""
        if line.id in self._request_ids:
            yield "id", f"repeated id {line.id!r}"
        self._request_ids.add(line.id)
        if line.data_centre not in self._data_centres:
            yield "data_centre", f"unknown data centre {line.data_centre!r}"
        if line.customer not in self._customers:
            yield "customer", f"unknown customer {line.customer!r}"
        if line.target_kind == "service":
            return
        if line.model not in self._models:
            yield "model", f"unknown model {line.model!r}"
        if line.adapter is None:
            return
        if self._adapters.get(line.adapter) != line.model:
            yield "adapter", f"{line.adapter!r} is no adapter of {line.model!r}"

    def fault_problems(self, line: FaultLine) -> Iterator[Problem]:
        """Check one fault."""
        known = self._known(line.fault)
        if known is not None and line.what not in known:
            yield "what", f"unknown name {line.what!r} for {line.fault}"

    def _known(self, fault: str) -> set[str] | None:
        if fault in ("kill_target", "leave_target", "lose_order", "delay_order"):
            return self._targets
        if fault in ("kill_instance", "freeze_instance"):
            return self._instances
        if fault in ("cut", "heal"):
            return self._data_centres | self._instances | self._targets | {PLATFORM}
        return None


def _repeated(field: str, entries: Iterable) -> Iterator[Problem]:
    seen = set()
    for index, entry in enumerate(entries):
        if entry.name in seen:
            yield f"{field}.{index}.name", f"repeated name {entry.name!r}"
        seen.add(entry.name)
