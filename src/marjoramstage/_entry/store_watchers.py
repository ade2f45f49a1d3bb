"""Watchers of the routes and targets in the platform's object store."""

from __future__ import annotations

import asyncio
from dataclasses import replace

from result import Err, Ok

from marjoramstage import platform
from marjoramstage._entry.entry_guard import EntryGuard
from marjoramstage._entry.instance_state import InstanceState
from marjoramstage._entry.object_watcher import ObjectWatcher
from marjoramstage._entry.store_relay import StoreRelay
from marjoramstage.protocol.objects import Platform, PlatformObject
from marjoramstage.state.customers import CustomerTable
from marjoramstage.state.fleet import FleetTarget

# How often it is checked whether missing targets can be dropped.
MISSING_CHECK_INTERVAL_S = 0.3


def watch_routes(
    store: Platform, state: InstanceState, relay: StoreRelay | None = None
) -> ObjectWatcher:
    """Return the watcher of the operator's configuration."""
    sealer = platform.ConfigSealer()
    guard = EntryGuard(state.clock, state.events)
    customers: CustomerTable | None = None

    def seal(obj: PlatformObject) -> PlatformObject:
        with guard.timed("seal", obj):
            return replace(obj, spec=sealer.seal(obj.spec))

    def on_put(obj: PlatformObject) -> None:
        guard.apply(obj, apply)

    def apply(obj: PlatformObject) -> None:
        nonlocal customers
        if obj.name != platform.CONFIG_NAME:
            return
        table = platform.decode_table(obj.spec, customers)
        if isinstance(table, Err):
            state.events.event("invalid routes ignored", reason=table.err_value)
            return
        customers = table.ok_value.customers
        state.apply_routes(table.ok_value)

    def on_list(objects: tuple[PlatformObject, ...]) -> None:
        for obj in objects:
            on_put(obj)

    def on_remove(name: str) -> None:
        state.events.event("routes object deleted", object=name)

    return ObjectWatcher(
        platform.CONFIG,
        store,
        state,
        on_put,
        on_remove,
        on_list,
        relay,
        newest_only=True,
        conceal=seal,
    )


def watch_targets(
    store: Platform, state: InstanceState, relay: StoreRelay | None = None
) -> ObjectWatcher:
    """Return the watcher of the objects with which targets register."""
    guard = EntryGuard(state.clock, state.events)

    def on_put(obj: PlatformObject) -> None:
        if not guard.apply(obj, apply):
            # It names no target.
            on_remove(obj.name)

    def apply(obj: PlatformObject) -> None:
        target = platform.decode_target(obj.name, obj.spec)
        if isinstance(target, Err):
            state.events.event(
                "invalid target removed", target=obj.name, reason=target.err_value
            )
            on_remove(obj.name)
            return
        state.put_target(target.ok_value)

    def on_remove(name: str) -> None:
        if name in state.fleet.targets:
            state.remove_target(name, watcher.is_authoritative())

    def on_list(objects: tuple[PlatformObject, ...]) -> None:
        names = {obj.name for obj in objects}
        for name in [name for name in state.fleet.targets if name not in names]:
            on_remove(name)
        for obj in objects:
            on_put(obj)
        state.targets_listed = True

    def matters(before: PlatformObject, after: PlatformObject) -> bool:
        with guard.timed("compare", after):
            return _is_other_target(before, after)

    watcher = ObjectWatcher(
        platform.TARGETS,
        store,
        state,
        on_put,
        on_remove,
        on_list,
        relay,
        matters=matters,
    )
    return watcher


def _is_other_target(before: PlatformObject, after: PlatformObject) -> bool:
    """Whether more has changed than what a target holds, which views carry."""
    try:
        return _without_items(before) != _without_items(after)
    except Exception:
        # Logged when the entry is applied.
        return True


def _without_items(obj: PlatformObject) -> FleetTarget | str:
    """Return the target that an object describes, or why it describes none."""
    match platform.decode_target(obj.name, obj.spec):
        case Ok(target):
            items = None if target.items is None else frozenset()
            return replace(target, items=items, order_count=0)
        case Err(reason):
            return reason


async def drop_missing_targets(watcher: ObjectWatcher, state: InstanceState) -> None:
    """Remove targets that are still missing some time after an outage."""
    while True:
        await asyncio.sleep(MISSING_CHECK_INTERVAL_S)
        if state.fleet.missing and watcher.is_authoritative():
            names = sorted(state.fleet.missing)
            state.events.event("missing targets dropped", targets=names)
            for name in names:
                state.remove_target(name, confirmed=True)
