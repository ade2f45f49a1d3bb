"""Simulated loading of models and adapters, shared by all engines."""

from __future__ import annotations

import random
from collections.abc import Callable
from dataclasses import dataclass

from marjoramstage.bench._loop import EventLoop
from marjoramstage.bench.trace import Header, StoreSpec

COMPLETION_TOLERANCE_MB = 1e-6


@dataclass
class _Load:
    remaining_mb: float
    done: Callable[[], None]


class WeightStore:
    """Loads of models from the shared store.

    Starts are limited to ``loads_per_s``. Up to ``at_full_speed`` loads at once
    each get ``mb_per_s``; more loads share the bandwidth equally.
    """

    def __init__(self, loop: EventLoop, spec: StoreSpec):
        self._loop = loop
        self._spec = spec
        self._next_start_s = 0.0
        self._active: list[_Load] = []
        self._updated_s = 0.0
        self._round = 0

    def load(self, memory_mb: int, done: Callable[[], None]) -> None:
        """Start a load when the rate limit allows; call ``done`` at its end."""
        start_s = max(self._loop.now_s, self._next_start_s)
        self._next_start_s = start_s + 1.0 / self._spec.loads_per_s
        self._loop.at(start_s, self._start, _Load(float(memory_mb), done))

    def _start(self, load: _Load) -> None:
        self._advance()
        self._active.append(load)
        self._schedule_finish()

    def _rate(self) -> float:
        share = min(1.0, self._spec.at_full_speed / len(self._active))
        return self._spec.mb_per_s * share

    def _advance(self) -> None:
        elapsed_s = self._loop.now_s - self._updated_s
        self._updated_s = self._loop.now_s
        if not self._active:
            return
        moved_mb = elapsed_s * self._rate()
        for load in self._active:
            load.remaining_mb -= moved_mb

    def _schedule_finish(self) -> None:
        self._round += 1
        if not self._active:
            return
        least_mb = max(0.0, min(load.remaining_mb for load in self._active))
        self._loop.after(least_mb / self._rate(), self._finish, self._round)

    def _finish(self, number: int) -> None:
        if number != self._round:
            return
        self._advance()
        ended = [
            load
            for load in self._active
            if load.remaining_mb <= COMPLETION_TOLERANCE_MB
        ]
        self._active = [
            load for load in self._active if load.remaining_mb > COMPLETION_TOLERANCE_MB
        ]
        self._schedule_finish()
        for load in ended:
            load.done()


class AdapterLoader:
    """Loads of adapters, with random durations.

    A load that starts with more than ``adapters_in_transit`` under way takes
    longer in proportion.
    """

    def __init__(self, loop: EventLoop, header: Header, rng: random.Random):
        self._loop = loop
        self._least_ms, self._greatest_ms = header.adapter_load_ms
        self._at_full_speed = header.adapters_in_transit
        self._rng = rng
        self._in_transit = 0

    def load(self, done: Callable[[], None]) -> None:
        """Start an adapter load; call ``done`` at its end."""
        self._in_transit += 1
        slowdown = max(1.0, self._in_transit / self._at_full_speed)
        time_ms = self._rng.uniform(self._least_ms, self._greatest_ms) * slowdown
        self._loop.after(time_ms / 1000.0, self._finish, done)

    def _finish(self, done: Callable[[], None]) -> None:
        self._in_transit -= 1
        done()
