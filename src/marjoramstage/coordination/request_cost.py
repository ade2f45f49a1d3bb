"""Estimates the work of a request for a model at each target.

Requests that look alike differ in work by orders of magnitude. What a caller states
(tokens, a hint of the length of the answer) is corrected by what was observed: events
for each token that was stated, by model, route and customer, and the time to the first
event and between events, by target and model. All of it is in memory only, bounded in
number, and starts from the configuration. The module does no I/O.
"""

from __future__ import annotations

from collections.abc import Hashable, Mapping
from dataclasses import dataclass

from marjoramstage.coordination.prefill_backlog import PREFILL_TOKENS_PER_S
from marjoramstage.state.fleet import FleetTarget, Item
from marjoramstage.state.prompts import PromptPart

# Time of a decode step of the fastest model with few streams beside it, in seconds.
STEP_S = 0.00443
# Learned values that are kept of each kind, the ones learnt last: 50 targets with 8
# models, or 40 models on 10 routes for one customer each.
MAX_LEARNED = 4096
# Weight of a new observation in a mean.
SMOOTHING_FACTOR = 0.05
# Observations that the mean of a wider group counts for.
PRIOR_OBSERVATIONS = 4.0
# Bounds on events for each stated token: a hint is often far off.
MIN_EVENTS_PER_TOKEN, MAX_EVENTS_PER_TOKEN = 0.01, 8.0
# Bounds on a learned speed, relative to the nominal one.
MIN_SLOWNESS, MAX_SLOWNESS = 0.25, 8.0
# Shorter prompts tell little of the speed at which prompts are read.
MIN_OBSERVED_PREFILL_TOKENS = 512
# A caller that reads slowly delays the events that are seen, in seconds.
MAX_EVENT_S = 0.5


@dataclass(frozen=True, eq=False)
class RequestWork:
    """What is known of the work of a request before it runs.

    Instances are compared by identity, so that one stands for one request.

    Attributes
    ----------
    prompt_tokens, output_tokens : int
        Size of the prompt and limit on the tokens of the answer.
    length_hint : int
        Tokens of the answer as the caller expects; 0 if it doesn't tell.
    customer : str
        Name of the customer; empty if there is none.
    parts : tuple of PromptPart
        Leading parts of the prompt that other prompts may share.
    capacity_tokens : int
        Tokens that fit in a target's memory for context.
    relative_speed : float
        Nominal speed of the model, relative to the fastest of the service.
    """

    service: str
    item: Item
    prompt_tokens: int
    output_tokens: int = 0
    length_hint: int = 0
    route: str = ""
    customer: str = ""
    parts: tuple[PromptPart, ...] = ()
    capacity_tokens: int = 0
    relative_speed: float = 1.0

    @property
    def stated_tokens(self) -> int:
        """Return the tokens of the answer, as far as the caller tells."""
        if self.length_hint <= 0:
            return self.output_tokens
        return min(self.length_hint, self.output_tokens or self.length_hint)


@dataclass(frozen=True)
class WorkEstimate:
    """Likely work of a request at a target.

    Attributes
    ----------
    prefill_s, decode_s : float
        Time to read what the target hasn't cached of the prompt, and to write the
        answer, in seconds.
    context_tokens : int
        Tokens that it takes up at its end.
    uncached_tokens : int
        Tokens of the prompt that the target has to read.
    """

    prefill_s: float
    decode_s: float
    context_tokens: int
    uncached_tokens: int


@dataclass(frozen=True)
class StreamObserved:
    """How a stream of one request went at a target that ran it from start to end.

    Attributes
    ----------
    events : int
        Events in all.
    first_event_s : float
        Time from sending the request to the first event, less the time that the
        target needed for prompts before, in seconds.
    decode_s : float
        Time from the first event to the last, in seconds.
    uncached_tokens : int
        Tokens of the prompt that it had to read, as was estimated.
    """

    target: str
    events: int
    first_event_s: float
    decode_s: float
    uncached_tokens: int


_NO_TIMES: Mapping[str, float] = {}


@dataclass
class _Mean:
    value: float = 0.0
    count: int = 0

    def add(self, value: float) -> None:
        """Add an observation; the newest ones count most."""
        self.count += 1
        self.value += max(SMOOTHING_FACTOR, 1 / self.count) * (value - self.value)

    def blended(self, prior: float) -> float:
        """Return the mean, drawn to a prior as long as there are few observations."""
        total = self.count + PRIOR_OBSERVATIONS
        return (self.value * self.count + prior * PRIOR_OBSERVATIONS) / total


class _LearnedMeans:
    """Means by key, of which the ones learnt last are kept."""

    def __init__(self):
        self._means: dict[Hashable, _Mean] = {}

    def __len__(self) -> int:
        return len(self._means)

    def add(self, key: Hashable, value: float) -> None:
        """Add an observation."""
        mean = self._means.pop(key, None) or _Mean()
        self._means[key] = mean
        mean.add(value)
        if len(self._means) > MAX_LEARNED:
            del self._means[next(iter(self._means))]

    def find(self, key: Hashable, prior: float) -> float:
        """Return the mean of a key; the prior if nothing is known."""
        mean = self._means.get(key)
        return prior if mean is None else mean.blended(prior)


class _TargetTimes:
    """Means by model and target, with the targets of a model at hand."""

    def __init__(self):
        self._means: dict[tuple[str, str], _Mean] = {}
        self._by_model: dict[str, dict[str, float]] = {}

    def __len__(self) -> int:
        return len(self._means)

    def add(self, model: str, target: str, value_s: float, prior_s: float) -> None:
        """Add an observation; the prior counts for some others."""
        mean = self._means.pop((model, target), None) or _Mean()
        self._means[model, target] = mean
        mean.add(value_s)
        self._by_model.setdefault(model, {})[target] = mean.blended(prior_s)
        if len(self._means) > MAX_LEARNED:
            self._drop(next(iter(self._means)))

    def of_model(self, model: str) -> Mapping[str, float]:
        """Return the means of a model by target."""
        return self._by_model.get(model, _NO_TIMES)

    def forget_target(self, target: str) -> None:
        """Drop the means of a target."""
        for key in [key for key in self._means if key[1] == target]:
            self._drop(key)

    def _drop(self, key: tuple[str, str]) -> None:
        model, target = key
        del self._means[key]
        del self._by_model[model][target]
        if not self._by_model[model]:
            del self._by_model[model]


class CostModel:
    """Work of requests as stated, corrected by what was observed."""

    def __init__(self):
        self._events_per_token = _LearnedMeans()
        # Time between events, by model and for each of its targets; time to read a
        # token of a prompt.
        self._model_event_s = _LearnedMeans()
        self._event_s = _TargetTimes()
        self._token_s = _TargetTimes()

    def __len__(self) -> int:
        """Return the number of values that were learned."""
        learned = (
            self._events_per_token,
            self._event_s,
            self._model_event_s,
            self._token_s,
        )
        return sum(len(means) for means in learned)

    def estimate(
        self, work: RequestWork, target: FleetTarget, cached_tokens: int = 0
    ) -> WorkEstimate:
        """Return the likely work of a request at a target.

        Parameters
        ----------
        cached_tokens : int
            Tokens of the prompt that the target is likely to have cached.
        """
        uncached = max(0, work.prompt_tokens - cached_tokens)
        nominal_s = nominal_token_s(work)
        prefill_s = uncached * self.token_s(work).get(target.name, nominal_s)
        events = work.stated_tokens * self._ratio(work)
        decode_s = events * self.event_s(work, target.name)
        context_tokens = work.prompt_tokens + int(self.output_tokens(work))
        return WorkEstimate(prefill_s, decode_s, context_tokens, uncached)

    def output_tokens(self, work: RequestWork) -> float:
        """Return the likely tokens of the answer.

        Callers see events, each of some tokens. As hints are right at the median, the
        requests of all models tell how many.
        """
        usual = self._events_per_token.find(("", _is_hinted(work)), 1.0)
        tokens = work.stated_tokens * self._ratio(work) / usual
        return min(tokens, work.output_tokens or tokens)

    def token_s(self, work: RequestWork) -> Mapping[str, float]:
        """Return the time to read a token of a prompt, by target where learned."""
        return self._token_s.of_model(work.item.model)

    def event_s(self, work: RequestWork, target: str) -> float:
        """Return the time between events of a target's streams."""
        times_s = self._event_s.of_model(work.item.model)
        return times_s.get(target, self._usual_event_s(work))

    def observe(self, work: RequestWork, seen: StreamObserved) -> None:
        """Learn from a stream that ran from its start to its end at one target."""
        model, stated = work.item.model, work.stated_tokens
        if stated > 0:
            ratio = seen.events / stated
            ratio = min(max(ratio, MIN_EVENTS_PER_TOKEN), MAX_EVENTS_PER_TOKEN)
            self._events_per_token.add(_group(work), ratio)
            self._events_per_token.add(("", _is_hinted(work)), ratio)
        if seen.events > 1:
            event_s = min(seen.decode_s / (seen.events - 1), MAX_EVENT_S)
            self._model_event_s.add(model, event_s)
            self._event_s.add(model, seen.target, event_s, self._usual_event_s(work))
        if seen.uncached_tokens >= MIN_OBSERVED_PREFILL_TOKENS:
            token_s = seen.first_event_s / seen.uncached_tokens
            nominal_s = nominal_token_s(work)
            token_s = min(
                max(token_s, MIN_SLOWNESS * nominal_s), MAX_SLOWNESS * nominal_s
            )
            self._token_s.add(model, seen.target, token_s, nominal_s)

    def forget_target(self, target: str) -> None:
        """Forget the speed of a target that is gone or has restarted."""
        self._event_s.forget_target(target)
        self._token_s.forget_target(target)

    def _usual_event_s(self, work: RequestWork) -> float:
        """Return the time between events of a model, at any target."""
        nominal_s = STEP_S / work.relative_speed
        return self._model_event_s.find(work.item.model, nominal_s)

    def _ratio(self, work: RequestWork) -> float:
        """Return the likely number of events for each stated token."""
        usual = self._events_per_token.find(("", _is_hinted(work)), 1.0)
        return self._events_per_token.find(_group(work), usual)


def nominal_token_s(work: RequestWork) -> float:
    """Return the time to read a token of a prompt, before any was observed."""
    return 1 / (PREFILL_TOKENS_PER_S * work.relative_speed)


def _is_hinted(work: RequestWork) -> bool:
    return work.length_hint > 0


def _group(work: RequestWork) -> Hashable:
    """Return the key of requests whose answers have similar lengths."""
    return work.item.model, work.route, work.customer, _is_hinted(work)
