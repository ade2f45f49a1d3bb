"""Prometheus metrics of an instance."""

from __future__ import annotations

from prometheus_client import CollectorRegistry, Counter, Gauge, Histogram
from prometheus_client.exposition import generate_latest

from marjoramstage._entry.key_check import KeyRefusal
from marjoramstage.state.customers import Customer
from marjoramstage.state.routes import Route

LOOP_DELAY_BUCKETS_S = (0.005, 0.02, 0.05, 0.1, 0.2, 0.5, 1.0, 2.0, 5.0)
# Customers with series of their own; those that come later share one.
MAX_CUSTOMERS = 64
OTHER_CUSTOMERS = "other"
REQUEST_BUCKETS_S = (0.02, 0.05, 0.1, 0.2, 0.4, 0.8, 1.6, 3.2, 6.4, 12.8, 25.6)


class PrometheusMetrics:
    """The series of one instance.

    Label values never come from callers, so the number of series is bounded.
    """

    def __init__(self):
        self.registry = CollectorRegistry()
        self.requests = Counter(
            "marjoramstage_requests",
            "Requests by the urgency of their route and how they ended.",
            ("rank", "outcome"),
            registry=self.registry,
        )
        self.customer_requests = Counter(
            "marjoramstage_customer_requests",
            "Requests of customers that ended, by whether an answer was relayed whole.",
            ("customer", "answered"),
            registry=self.registry,
        )
        self.key_refusals = Counter(
            "marjoramstage_key_refusals",
            "Requests refused because of their key, by cause.",
            ("cause",),
            registry=self.registry,
        )
        self.quota_outcomes = Counter(
            "marjoramstage_quota_outcomes",
            "Requests that their customer's quota did not admit at once, by outcome.",
            ("outcome",),
            registry=self.registry,
        )
        self.quota_contact_age_seconds = Gauge(
            "marjoramstage_quota_contact_age_seconds",
            "Time since the last report that the holder of the lease answered; it "
            "answers where customers have quotas.",
            registry=self.registry,
        )
        self._customers: set[str] = set()
        self.request_seconds = Histogram(
            "marjoramstage_request_seconds",
            "Time from a request to its end.",
            ("rank",),
            buckets=REQUEST_BUCKETS_S,
            registry=self.registry,
        )
        self.failed_attempts = Counter(
            "marjoramstage_failed_attempts",
            "Attempts at targets that failed, by reason.",
            ("reason",),
            registry=self.registry,
        )
        self.answers = Counter(
            "marjoramstage_answers",
            "Answers of targets that were relayed or broke off, by how they ended.",
            ("framing", "connection", "inside_event"),
            registry=self.registry,
        )
        self.resume_requests = Counter(
            "marjoramstage_resume_requests",
            "Requests that resume a stream, by how its version became known.",
            ("origin",),
            registry=self.registry,
        )
        self.resumable_streams = Counter(
            "marjoramstage_resumable_streams",
            "Requests for resumable streams that ended, new or resumed, by whether "
            "an event was relayed.",
            ("kind", "began"),
            registry=self.registry,
        )
        self.store_restores = Counter(
            "marjoramstage_store_restores",
            "Times that the platform's store came back from a copy.",
            registry=self.registry,
        )
        self.target_notices = Counter(
            "marjoramstage_target_notices",
            "Times that a target said that it wants no requests, by cause.",
            ("cause",),
            registry=self.registry,
        )
        self.targets_out = Gauge(
            "marjoramstage_targets_out",
            "Targets that get no requests because they said so, by cause.",
            ("cause",),
            registry=self.registry,
        )
        self.prompt_tokens = Gauge(
            "marjoramstage_prompt_tokens",
            "Tokens of prompts with known work since the start: sent, and of these "
            "taken to be cached by their target.",
            ("kind",),
            registry=self.registry,
        )
        self.learned_costs = Gauge(
            "marjoramstage_learned_costs",
            "Values learnt of the length of answers and the speed of targets.",
            registry=self.registry,
        )
        self.limited_targets = Gauge(
            "marjoramstage_limited_targets",
            "Targets that named a limit on the rate of requests.",
            registry=self.registry,
        )
        self.limited_target_requests = Counter(
            "marjoramstage_limited_target_requests",
            "What was sent to such targets: first attempts of requests, repeats, "
            "control calls.",
            ("kind",),
            registry=self.registry,
        )
        self.target_crashes = Counter(
            "marjoramstage_target_crashes",
            "Crashes of targets that broke off requests of this instance.",
            registry=self.registry,
        )
        self.quarantines = Gauge(
            "marjoramstage_quarantines",
            "Parts of prompts, or sets of them, that are in quarantine.",
            registry=self.registry,
        )
        self.waiting = Gauge(
            "marjoramstage_waiting",
            "Requests that wait for a place.",
            registry=self.registry,
        )
        self.holds_lease = Gauge(
            "marjoramstage_holds_lease",
            "1 while this instance gives orders.",
            registry=self.registry,
        )
        self.held_bytes = Gauge(
            "marjoramstage_held_bytes",
            "Bytes held for clients, by kind.",
            ("kind",),
            registry=self.registry,
        )
        self.budget_bytes = Gauge(
            "marjoramstage_budget_bytes",
            "Bytes that may be held for clients.",
            registry=self.registry,
        )
        self.budget_waiting = Gauge(
            "marjoramstage_budget_waiting",
            "Bodies that are not read because the byte budget is used up.",
            registry=self.registry,
        )
        self.evictions = Counter(
            "marjoramstage_evictions",
            "Bodies refused and callers closed for the byte budget, by cause.",
            ("kind", "cause"),
            registry=self.registry,
        )
        self.resource_refusals = Counter(
            "marjoramstage_resource_refusals",
            "Requests refused for lack of memory or descriptors, by cause.",
            ("cause",),
            registry=self.registry,
        )
        self.caller_connections = Gauge(
            "marjoramstage_caller_connections",
            "Open connections of callers.",
            registry=self.registry,
        )
        self.connections_closed = Counter(
            "marjoramstage_connections_closed",
            "Connections of callers closed because descriptors ran short.",
            registry=self.registry,
        )

        self.task_failures = Counter(
            "marjoramstage_task_failures",
            "Background tasks that failed, by task; most are started again.",
            ("task",),
            registry=self.registry,
        )

        self.loop_delay_seconds = Histogram(
            "marjoramstage_loop_delay_seconds",
            "How late timers of the event loop fire.",
            buckets=LOOP_DELAY_BUCKETS_S,
            registry=self.registry,
        )

    def observe_request(self, route: Route | None, outcome: str, took_s: float) -> None:
        """Record the outcome and duration of a finished request."""
        rank = str(route.rank) if route is not None else "none"
        self.requests.labels(rank, outcome).inc()
        self.request_seconds.labels(rank).observe(took_s)

    def observe_customer(self, customer: Customer | None, answered: bool) -> None:
        """Count a finished request of a customer."""
        if customer is None:
            return
        name = customer.name
        if name not in self._customers:
            if len(self._customers) < MAX_CUSTOMERS:
                self._customers.add(name)
            else:
                name = OTHER_CUSTOMERS
        self.customer_requests.labels(name, "yes" if answered else "no").inc()

    def observe_key_refusal(self, cause: KeyRefusal) -> None:
        """Count a request that was refused because of its key."""
        self.key_refusals.labels(cause.value).inc()

    def exposition(self) -> bytes:
        """Return all series in the Prometheus text format."""
        return generate_latest(self.registry)
