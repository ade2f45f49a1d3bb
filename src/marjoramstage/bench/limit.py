"""Upper bound of the number of requests that any policy can serve in time."""

from __future__ import annotations

from bisect import bisect_left
from collections import defaultdict
from dataclasses import dataclass

from marjoramstage.bench._target import SERVICE_CALL_S
from marjoramstage.bench.trace import Header, RequestLine, Trace

WINDOW_LENGTHS_S = (5.0, 15.0, 60.0, 180.0, 600.0, 1800.0)
STEPS_PER_WINDOW = 4


@dataclass(frozen=True)
class _Job:
    """A request: arrival, deadline and the minimum time it takes up a slot."""

    arrived_s: float
    deadline_s: float
    work_s: float


@dataclass(frozen=True)
class _Window:
    """A time window, and how many of its requests must miss their deadline."""

    start_s: float
    end_s: float
    missed: int


def met_limit(trace: Trace) -> int:
    """Return an upper bound of the requests that a policy can serve in time.

    The bound considers slots, speeds and deadlines; it ignores memory, model
    loads, queues, network delays and faults. The requests that arrive and have
    their deadline within a window share ``slots x length`` of slot time. Packing
    the shortest first gives the most that can be met; the others are missed. The
    misses of disjoint windows add up, so the set of disjoint windows with the
    most misses gives the bound.
    """
    jobs = _jobs(trace)
    total = 0
    for kind, slots in _slots(trace.header).items():
        total += _kind_limit(jobs.get(kind, []), slots)
    return total


def _slots(header: Header) -> dict[str, int]:
    slots: dict[str, int] = defaultdict(int)
    for target in header.targets:
        slots[target.kind] += target.slots
    return dict(slots)


def _jobs(trace: Trace) -> dict[str, list[_Job]]:
    models = {model.name: model for model in trace.header.models}
    found: dict[str, list[_Job]] = defaultdict(list)
    for line in trace.requests:
        work_s = _work_s(line, models)
        arrived_s = line.at_ms / 1000.0
        deadline_s = arrived_s + line.deadline_ms / 1000.0
        if arrived_s + work_s <= deadline_s:
            found[line.target_kind].append(_Job(arrived_s, deadline_s, work_s))
    return found


def _work_s(line: RequestLine, models: dict) -> float:
    if line.target_kind == "service":
        return SERVICE_CALL_S
    model = models[line.model]
    prompt_s = line.prompt_tokens / model.prefill_tokens_per_s
    return prompt_s + line.output_tokens / model.decode_tokens_per_s


def _kind_limit(jobs: list[_Job], slots: int) -> int:
    if not jobs:
        return 0
    jobs = sorted(jobs, key=lambda job: job.arrived_s)
    arrivals = [job.arrived_s for job in jobs]
    last_s = max(job.deadline_s for job in jobs)
    windows = [_window(jobs, arrivals, 0.0, last_s, slots)]
    for length_s in WINDOW_LENGTHS_S:
        step_s = length_s / STEPS_PER_WINDOW
        for index in range(int(last_s / step_s) + 1):
            start_s = index * step_s
            end_s = start_s + length_s
            windows.append(_window(jobs, arrivals, start_s, end_s, slots))
    return len(jobs) - _most_missed([w for w in windows if w.missed])


def _window(
    jobs: list[_Job], arrivals: list[float], start_s: float, end_s: float, slots: int
) -> _Window:
    first, last = bisect_left(arrivals, start_s), bisect_left(arrivals, end_s)
    work = sorted(j.work_s for j in jobs[first:last] if j.deadline_s <= end_s)
    left_s = slots * (end_s - start_s)
    for done, work_s in enumerate(work):
        left_s -= work_s
        if left_s < 0:
            return _Window(start_s, end_s, len(work) - done)
    return _Window(start_s, end_s, 0)


def _most_missed(windows: list[_Window]) -> int:
    """Return the greatest total of misses over a set of disjoint windows.

    This is weighted interval scheduling, solved by dynamic programming.
    """
    windows = sorted(windows, key=lambda window: window.end_s)
    ends = [window.end_s for window in windows]
    best = [0]
    for index, window in enumerate(windows):
        before = bisect_left(ends, window.start_s + 1e-9, 0, index)
        best.append(max(best[-1], best[before] + window.missed))
    return best[-1]
