"""Watchers of the routes and targets in the platform's object store."""

from __future__ import annotations

import asyncio
from collections.abc import Iterator
from contextlib import contextmanager
from dataclasses import replace

from result import Err, Ok

from marjoramstage import platform
from marjoramstage._entry.instance_state import InstanceState
from marjoramstage._entry.object_watcher import ObjectWatcher
from marjoramstage._entry.store_relay import StoreRelay
from marjoramstage.protocol.objects import Platform, PlatformObject
from marjoramstage.state.customers import CustomerTable
from marjoramstage.state.fleet import FleetTarget

# How often it is checked whether missing targets can be dropped.
MISSING_CHECK_INTERVAL_S = 0.3
# Characters of an exception that are logged.
MAX_REASON = 200
# An entry that holds up the event loop for this long is logged.
SLOW_ENTRY_S = 0.1


def watch_routes(
    store: Platform, state: InstanceState, relay: StoreRelay | None = None
) -> ObjectWatcher:
    """Return the watcher of the operator's configuration."""
    sealer = platform.ConfigSealer()
    customers: CustomerTable | None = None

    def seal(obj: PlatformObject) -> PlatformObject:
        with _slow_entry_logged(state, "seal", obj):
            return replace(obj, spec=sealer.seal(obj.spec))

    def on_put(obj: PlatformObject) -> None:
        try:
            with _slow_entry_logged(state, "apply", obj):
                apply(obj)
        except Exception as exc:
            _log_not_applied(state, obj, exc)

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

    def on_put(obj: PlatformObject) -> None:
        try:
            with _slow_entry_logged(state, "apply", obj):
                apply(obj)
        except Exception as exc:
            # A fault of this program costs the one entry; it names no target.
            _log_not_applied(state, obj, exc)
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
        with _slow_entry_logged(state, "compare", after):
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


@contextmanager
def _slow_entry_logged(
    state: InstanceState, step: str, obj: PlatformObject
) -> Iterator[None]:
    """Log an entry whose handling holds up the event loop for long."""
    began_s = state.clock.now()
    yield
    took_s = state.clock.now() - began_s
    if took_s < SLOW_ENTRY_S:
        return
    state.events.event(
        "slow entry",
        kind=obj.kind.plural,
        object=obj.name,
        step=step,
        took_ms=round(took_s * 1000, 1),
    )


def _log_not_applied(state: InstanceState, obj: PlatformObject, exc: Exception) -> None:
    state.events.event(
        "entry not applied",
        kind=obj.kind.plural,
        object=obj.name,
        reason=repr(exc)[:MAX_REASON],
    )


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
