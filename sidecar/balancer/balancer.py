"""The balancer: dispatches events to the policies and checks their decisions before they take effect.

Every attempt is sent by `Balancer._send`, and every final response that the balancer itself gives by
`Balancer._finish`.  These two methods enforce the rules, whatever the policies decide.
"""

import random

from sidecar.balancer import events
from sidecar.balancer.actions import Action, FailRequest, RejectRequest, SendAttempt
from sidecar.balancer.events import Event
from sidecar.balancer.lifecycle.attempt_feedback import AttemptFeedback
from sidecar.balancer.lifecycle.attempt_rules import AttemptRules
from sidecar.balancer.lifecycle.placement import RequestPlacer
from sidecar.balancer.lifecycle.request_factory import RequestFactory
from sidecar.balancer.lifecycle.request_table import RequestTable
from sidecar.balancer.lifecycle.retrying import RequestRetrier
from sidecar.balancer.lifecycle.timer_dispatch import TimerDispatcher
from sidecar.balancer.policy import load_comparison, retries
from sidecar.balancer.policy.admission import AdmissionControl
from sidecar.balancer.policy.concurrency_limit import ConcurrencyLimit
from sidecar.balancer.policy.connections import IdleConnections
from sidecar.balancer.policy.health_checks import HealthChecks, health_checks_per_request
from sidecar.balancer.policy.hedging import HedgingPolicy
from sidecar.balancer.policy.key_order import KeyOrder
from sidecar.balancer.policy.latency import LatencyTracker
from sidecar.balancer.policy.latency_by_load import LatencyByLoad
from sidecar.balancer.policy.low_traffic import low_traffic_factor
from sidecar.balancer.policy.outliers import OutlierDetector
from sidecar.balancer.policy.registry_polling import RegistryPoller
from sidecar.balancer.policy.selection import Selector
from sidecar.balancer.policy.slow_start import SlowStart
from sidecar.balancer.policy.start_times import StartTimes
from sidecar.balancer.policy.zone_preference import ZonePreference
from sidecar.balancer.registry_updates import RegistryUpdater
from sidecar.balancer.state import Attempt, Context, Request, Server
from sidecar.balancer.state.timers import RequestDeadline
from sidecar.settings import Idempotency, Settings

STALL_CHECK_INTERVAL_TARGETS = 0.1  # in shortest latency targets; checks run while attempts are pending
RETRY_AFTER_TARGETS = 0.1  # the mean delay before a rejected client should retry, in latency targets


class Balancer:
    """The decisions of one sidecar, as a state machine that is deterministic given its seed."""

    def __init__(self, settings: Settings, seed: int) -> None:
        """Create a balancer with an empty registry.

        Args:
            settings: The initial settings.
            seed: The seed of all random decisions.
        """
        self._has_started = False
        self._context = Context(settings, random.Random(seed), STALL_CHECK_INTERVAL_TARGETS)
        self._create_policies()
        self._create_lifecycle()
        self._create_event_handlers()
        self._configure_health_checks()

    def _create_policies(self) -> None:
        context = self._context
        self._registry_poller = RegistryPoller(context)
        self._key_order = KeyOrder(context)
        self._retry_budget = retries.RetryBudget()
        self._latency = LatencyTracker(context)
        self._start_times = StartTimes(context)
        self._slow_start = SlowStart(context)
        self._limit = ConcurrencyLimit(context)
        arrivals = self._slow_start.arrivals
        self._latency_by_load = LatencyByLoad()
        self._admission = AdmissionControl(context, self._limit, arrivals)
        self._outliers = OutlierDetector(context, self._slow_start)
        self._hedging = HedgingPolicy(context, self._latency, self._outliers, self._admission, self._limit)
        self._zone_preference = ZonePreference(context, self._limit)
        self._selector = Selector(context, self._slow_start, self._zone_preference)
        self._connections = IdleConnections(context, arrivals, self._latency_by_load)
        self._health_checks = HealthChecks(context)
        self._load_comparison = load_comparison.LoadComparison(
            context, self._slow_start, self._selector, self._connections, self._latency_by_load
        )

    def _create_lifecycle(self) -> None:
        context = self._context
        self._requests = RequestTable(context, self._key_order)
        self._request_factory = RequestFactory(context, self._latency, self._zone_preference)
        self._attempt_rules = AttemptRules(context, self._key_order, self._slow_start)
        self._placer = RequestPlacer(
            context=context,
            outliers=self._outliers,
            selector=self._selector,
            health_checks=self._health_checks,
            load_comparison=self._load_comparison,
            send=self._send,
            finish=self._finish,
        )
        self._retrier = RequestRetrier(
            context=context,
            budget=self._retry_budget,
            limit=self._limit,
            hedging=self._hedging,
            placer=self._placer,
            finish=self._finish,
        )

    def _create_event_handlers(self) -> None:
        context = self._context
        self._feedback = AttemptFeedback(
            context=context,
            key_order=self._key_order,
            connections=self._connections,
            outliers=self._outliers,
            limit=self._limit,
            admission=self._admission,
            latency=self._latency,
            latency_by_load=self._latency_by_load,
        )
        self._timer_dispatcher = TimerDispatcher(
            context=context,
            requests=self._requests,
            key_order=self._key_order,
            connections=self._connections,
            registry_poller=self._registry_poller,
            placer=self._placer,
            retrier=self._retrier,
            finish=self._finish,
        )
        self._registry_updater = RegistryUpdater(
            context=context,
            poller=self._registry_poller,
            start_times=self._start_times,
            slow_start=self._slow_start,
            outliers=self._outliers,
            latency=self._latency,
        )

    def _configure_health_checks(self) -> None:
        settings = self._context.settings
        checks_per_request = health_checks_per_request(settings)
        uses_health_checks = checks_per_request > 1
        cross_zone_cost = load_comparison.cross_zone_cost(settings)
        self._placer.checks_per_request = checks_per_request
        self._admission.uses_health_checks = uses_health_checks
        is_crossing_costly = cross_zone_cost >= load_comparison.MIN_LOCAL_FIRST_COST
        self._zone_preference.is_local_first = uses_health_checks and is_crossing_costly

    def handle(self, now: int, event: Event) -> list[Action]:
        """Handle one event; events must be passed in the order in which they happened.

        Args:
            now: The host's clock, in microseconds.
            event: The event.

        Returns:
            The actions for the host, in the order in which to carry them out.
        """
        context = self._context
        time_passed = now > context.now
        context.begin_event(now, event)
        if time_passed:
            span_us = low_traffic_factor(context.load) * context.longest_target_us
            context.load.update_mean(self._limit.limit, span_us)
        if not self._has_started:
            self._has_started = True
            self._registry_poller.poll()
        self._dispatch(event)
        self._place_ordered_requests()
        return context.end_event(self._timer_dispatcher.current_due_time)

    def _dispatch(self, event: Event) -> None:
        match event:
            case events.AttemptEnded():
                self._on_attempt_ended(event)
            case events.RequestArrived():
                self._on_request_arrived(event)
            case events.TimerFired():
                self._timer_dispatcher.fire_due()
            case events.RegistryUpdated():
                self._registry_updater.update(event)
            case events.SettingsChanged():
                self._on_settings_changed(event.settings)
            case events.ClientDisconnected():
                self._on_client_disconnected(event)
            case events.ResponseStarted():
                self._on_response_started(event)
            case events.HealthCheckEnded():
                self._on_health_check_ended(event)
            case events.MessageReceived():
                pass  # this balancer exchanges no messages with others

    def _place_ordered_requests(self) -> None:
        """Place the requests that have reached the head of the queue of their ordering key."""
        while True:
            request = self._key_order.next_request()
            if request is None:
                return
            self._placer.place(request)

    def _on_request_arrived(self, event: events.RequestArrived) -> None:
        self._slow_start.arrivals.add(self._context.now)
        request = self._request_factory.create(event)
        self._requests.add(request)
        self._context.timers.add(request.deadline, RequestDeadline(request.id))
        if self._admission.should_reject(request, event.remaining_us):
            self._finish(request)
        elif request.service_class.ordered_by_key and event.ordering_key is not None:
            self._key_order.enqueue(request, event.ordering_key)
        else:
            self._placer.place(request)

    def _on_attempt_ended(self, event: events.AttemptEnded) -> None:
        request = self._requests.get(event.request)
        if request is None:
            return
        attempt = request.pending_attempt(event.attempt)
        if attempt is None:
            return
        self._feedback.attempt_ended(request, attempt, event)
        if event.answered and not request.answered:
            self._requests.close(request)
        elif not request.answered:
            self._retrier.retry(request, attempt.server, event.outcome)
        self._retry_budget.attempt_ended(event.outcome)
        self._requests.remove_if_complete(request)

    def _on_response_started(self, event: events.ResponseStarted) -> None:
        request = self._requests.get(event.request)
        if request is not None:
            request.mark_response_started(event.attempt)

    def _on_client_disconnected(self, event: events.ClientDisconnected) -> None:
        request = self._requests.unanswered(event.request)
        if request is not None:
            self._requests.close(request)

    def _on_health_check_ended(self, event: events.HealthCheckEnded) -> None:
        for request in self._health_checks.check_ended(event):
            self._placer.place_checked(request)

    def _on_settings_changed(self, settings: Settings) -> None:
        """Apply new settings; requests in progress keep their class and any stricter limits."""
        previous_discovery = self._context.settings.discovery
        previous_target_us = self._context.longest_target_us
        self._context.apply_settings(settings)
        self._configure_health_checks()
        self._limit.rescale(self._context.longest_target_us / previous_target_us)
        self._requests.tighten_limits()
        if settings.discovery is not previous_discovery:
            self._registry_poller.poll()

    def _send(self, request: Request, server: Server) -> bool:
        """Send an attempt if the rules allow it; all attempts are sent here.

        Returns:
            Whether the attempt was sent.
        """
        if not self._attempt_rules.allow(request, server):
            return False
        attempt = self._record_attempt(request, server)
        self._admission.attempt_sent(request.service_class.latency_target_us)
        self._hedging.monitor(request, attempt)
        write_by = self._write_deadline(request)
        self._context.actions.append(SendAttempt(request.id, server.name, request.deadline, write_by))
        return True

    def _record_attempt(self, request: Request, server: Server) -> Attempt:
        """Add a new attempt to the records of its request and its server."""
        attempt = Attempt(
            index=len(request.attempts),
            server=server,
            sent_at=self._context.now,
            stalled_before_us=self._context.stalls.stalled_us,
            successes_before=self._outliers.successes,
        )
        request.attempts.append(attempt)
        server.slow_start_budget -= request.relative_cost  # only used while the server is warming up
        server.idle_connections = max(server.idle_connections - 1, 0)
        if server.ejected_until is not None:
            server.half_open_attempt = attempt
        self._context.load.change_attempts(server, 1)
        return attempt

    def _write_deadline(self, request: Request) -> int | None:
        """The time by which an attempt must be written if another one was started; None if there is none."""
        if request.service_class.idempotency is not Idempotency.KEYED:
            return None
        return retries.retry_deadline(request, self._context.now, self._context.settings.tick_us)

    def _finish(self, request: Request) -> None:
        """Reject a request if the client may safely retry it, else fail it; no effect if it is answered.

        All final responses that the balancer itself gives are sent here.
        """
        if request.answered:
            return
        retry_after_us = self._retry_after_us(request)
        if retries.is_client_retry_safe(request):
            self._context.actions.append(RejectRequest(request.id, retry_after_us))
        else:
            self._context.actions.append(FailRequest(request.id))
        self._requests.close(request)

    def _retry_after_us(self, request: Request) -> int:
        """How long a rejected client should wait, in microseconds; 0 if the response does not state it."""
        limits = self._context.settings.limits
        # Without jitter, clients that are rejected at the same time would retry at the same time.
        jitter = 0.5 + self._context.rng.random()
        wait_us = RETRY_AFTER_TARGETS * request.service_class.latency_target_us * jitter
        if not limits.retry_after:
            return 0
        return int(min(wait_us, limits.max_retry_after_us))
