"""Event router of the balancer: the life of each request, from its arrival to its final answer.

Every attempt leaves through `_send` and every final answer that is not a server's through `_finish`; those
two enforce the rules, whatever the policies decide.
"""

import math
import random

from sidecar.balancer import actions, events
from sidecar.balancer.actions import Action
from sidecar.balancer.events import Event, Outcome, RegistryUpdateKind, ServerState
from sidecar.balancer.policy import backoff, load_comparison, retries
from sidecar.balancer.policy.admission import AdmissionControl
from sidecar.balancer.policy.concurrency_limit import ConcurrencyLimit
from sidecar.balancer.policy.connections import IdleConnections
from sidecar.balancer.policy.cpu_utilization import BUSY_CPU_UTILIZATION
from sidecar.balancer.policy.health_checks import HealthChecks, health_checks_per_request
from sidecar.balancer.policy.hedging import HedgingPolicy
from sidecar.balancer.policy.key_order import KeyOrder
from sidecar.balancer.policy.latency import LatencyTracker
from sidecar.balancer.policy.latency_by_load import LatencyByLoad
from sidecar.balancer.policy.latency_ratio import UNANSWERED_LATENCY_RATIO
from sidecar.balancer.policy.low_traffic import low_traffic_factor
from sidecar.balancer.policy.outliers import OutlierDetector
from sidecar.balancer.policy.registry_polling import RegistryPoller
from sidecar.balancer.policy.selection import Selector
from sidecar.balancer.policy.slow_start import SlowStart
from sidecar.balancer.policy.start_times import StartTimes
from sidecar.balancer.policy.zone_preference import ZonePreference
from sidecar.balancer.state import Attempt, Context, Request, Server, TrafficKey, timers
from sidecar.settings import Idempotency, Settings

STALL_CHECK_TARGETS = 0.1  # while an attempt is active a timer checks so often, in shortest latency targets
ANSWER_EARLY_TICKS = 2  # a final answer leaves this many ticks before the client's time is up
RETRY_AFTER_TARGETS = 0.1  # a refused client should come back after about this part of its latency target
CONNECTED = (Outcome.SUCCEEDED, Outcome.ERROR, Outcome.REJECTED)  # the connection is still there after these


class Balancer:
    """The decisions of one instance.  Feed it events in order; carry out the actions it returns in order."""

    def __init__(self, settings: Settings, seed: int) -> None:
        self._begun = False
        self._requests: dict[int, Request] = {}
        self._context = context = Context(settings, random.Random(seed), STALL_CHECK_TARGETS)
        self._registry_poller = RegistryPoller(context)
        self._key_order = KeyOrder(context)
        self._retry_budget = retries.RetryBudget()
        self._latency = latency = LatencyTracker(context)
        self._start_times = StartTimes(context)
        self._slow_start = slow_start = SlowStart(context)
        self._limit = limit = ConcurrencyLimit(context)
        arrivals = slow_start.arrivals
        self._latency_by_load = latency_by_load = LatencyByLoad()
        self._admission = admission = AdmissionControl(context, limit, arrivals)
        self._outliers = outliers = OutlierDetector(context, slow_start)
        self._hedging = HedgingPolicy(context, latency, outliers, admission, limit)
        self._zone_preference = zone_preference = ZonePreference(context, limit)
        self._selector = selector = Selector(context, slow_start, zone_preference)
        self._connections = connections = IdleConnections(context, arrivals, latency_by_load)
        self._health_checks = HealthChecks(context)
        self._load_comparison = load_comparison.LoadComparison(
            context, slow_start, selector, connections, latency_by_load
        )
        self._set_up_health_checks()

    def _set_up_health_checks(self) -> None:
        self._health_check_count = health_checks_per_request(self._context.settings)
        self._admission.checks_load_before_sending = self._health_check_count > 1
        crossings_cost = (
            load_comparison.cross_zone_cost(self._context.settings) >= load_comparison.MIN_CROSS_ZONE_COST
        )
        self._zone_preference.local_first = self._health_check_count > 1 and crossings_cost

    def _settings_changed(self, settings: Settings) -> None:
        """Go by other settings; requests in progress keep their class, and limits that were stricter."""
        former, former_target_us = self._context.settings, self._context.longest_target_us
        self._context.adopt(settings)
        self._set_up_health_checks()
        self._limit.rescale(self._context.longest_target_us / former_target_us)
        for request in self._requests.values():
            request.restrict(settings.limits, self._context.never_ran)
        if former.discovery is not settings.discovery:
            self._registry_poller.poll()

    def handle(self, now: int, event: Event) -> list[Action]:
        """Take one event at clock time `now`; return what to do, in order."""
        context, time_passed = self._context, now > self._context.now
        context.begin(now, event)
        if time_passed:
            context.load.update_mean(
                self._limit.limit, low_traffic_factor(context.load) * context.longest_target_us
            )
        if not self._begun:
            self._begun = True
            self._registry_poller.poll()
        match event:  # messages: none are sent, so none are awaited
            case events.AttemptEnded():
                self._attempt_ended(event)
            case events.RequestArrived():
                self._request_arrived(event)
            case events.TimerFired():
                self._timer_fired()
            case events.RegistryUpdated():
                self._registry_updated(event)
            case events.SettingsChanged(settings):
                self._settings_changed(settings)
            case events.ClientDisconnected():
                if (request := self._unanswered(event.request)) is not None:
                    self._close(request)
            case events.ResponseStarted():
                if (request := self._requests.get(event.request)) is not None:
                    request.mark_response_started(event.attempt)
            case events.HealthCheckEnded():
                for request in self._health_checks.check_ended(event):
                    self._send_probed(request)
        while (request := self._key_order.next_request()) is not None:
            self._place(request)
        return context.end(self._wanted_at)

    def _registry_updated(self, update: events.RegistryUpdated) -> None:
        if update.kind is RegistryUpdateKind.FAILED:
            self._registry_poller.failed()
            return
        if update.kind is not RegistryUpdateKind.CACHED:
            self._registry_poller.succeeded()
        if not update.is_empty():  # most watches end so: all servers each time would grow with their number
            self._take_over(self._start_times.to_local_clock(update))
        self._start_times.registry_responded(update)

    def _take_over(self, update: events.RegistryUpdated) -> None:
        """Go by a list or changes of it from now on."""
        self._slow_start.capacity_estimate.of_warm_server()  # all that are warm may be leaving
        for server in self._context.registry.apply(update):
            self._slow_start.start(server, server.started_at or 0)
            if server.ejected_until is not None and server.state is ServerState.READY:
                self._outliers.readmit(server)  # a new process: what the old one did is history
        for server in self._context.registry.gone():
            self._outliers.end_ejection(server)
            if not self._context.load.at(server) and server.health_check_sent_at is None:
                self._context.registry.forget(server)
        self._latency.initialize_weights(self._context.registry.ready)

    def _request_arrived(self, event: events.RequestArrived) -> None:
        now = self._context.now
        service_class = self._context.class_named(event.service_class, event.remaining_us)
        self._slow_start.arrivals.add(now)
        answer_by = now + event.remaining_us - ANSWER_EARLY_TICKS * self._context.settings.tick_us
        cost = self._latency.relative_cost(service_class, event.cost_us)
        traffic_key = TrafficKey(service_class.name, event.tenant)
        all_zones, size = not self._zone_preference.local_first, max(-3, min(math.frexp(cost)[1], 4))
        request = Request(event.request, service_class, answer_by, cost, traffic_key, all_zones, size)
        request.limits, request.non_execution_outcomes = (
            self._context.settings.limits,
            self._context.never_ran,
        )
        self._requests[event.request] = request
        self._context.timers.add(answer_by, timers.RequestDeadline(event.request))
        if self._admission.should_reject(request, event.remaining_us):
            self._finish(request)
        elif service_class.ordered_by_key and event.key is not None:
            self._key_order.enqueue(request, event.key)
        else:
            self._place(request)

    def _place(self, request: Request) -> None:
        """Send the request to the best of k, or answer it where nothing is left to try."""
        server = self._outliers.half_open_candidate(request)
        if server is None and (candidates := self._selector.candidates(request)):
            if (
                self._health_check_count > 1 and not self._context.has_just_resumed()
            ):  # others that stalled hear the same
                self._health_checks.start(
                    request, sorted(candidates, key=self._context.load.at)[: self._health_check_count]
                )
                return
            server = self._selector.least_loaded(candidates)
        self._send_or_finish(request, server)

    def _send_probed(self, request: Request) -> None:
        """Send a request whose probes are back, or were waited for long enough, to the least loaded."""
        tied = self._health_checks.release(request)
        if request.answered:
            return
        best = self._load_comparison.least_loaded(request, tied)
        if not request.all_zones and self._load_comparison.should_cross_zones(best):
            request.all_zones = True
            self._place(request)
            return
        if best is None:
            best = next((each for each in tied if self._selector.is_eligible(each, request)), None)
        if best is not None and self._load_comparison.predicts_overload(request, best):
            best = None
        if self._send_or_finish(request, best) and best is not None and best.health_check_sent_at is None:
            request.attempts[-1].reported_load = best.reported_load

    def _send_or_finish(self, request: Request, server: Server | None) -> bool:
        sent = server is not None and self._send(request, server)
        if not sent and not request.is_active():
            self._finish(request)
        return sent

    def _unanswered(self, ident: int) -> Request | None:
        """The request, if a final answer is still owed."""
        request = self._requests.get(ident)
        return None if request is None or request.answered else request

    def _send(self, request: Request, server: Server) -> bool:
        """The one way out for an attempt.  Says whether the attempt was allowed and sent."""
        index, now, limits = len(request.attempts), self._context.now, request.limits
        if request.answered or now >= request.deadline:
            return False  # rule 1: nothing after the final answer, nothing that cannot be answered in time
        if index >= limits.max_attempts or not self._key_order.allows(request):
            return False
        if not limits.allow_hedging and request.is_active():
            return False  # rule 2
        if not self._may_run_again(request) or not retries.is_deduplicated_at(request, server):
            return False  # rule 2
        if server.state is not ServerState.READY:
            return False  # rule 3: at once on hearing, without use of the grace
        if not self._slow_start.has_capacity(server, request.relative_cost):
            return False  # rule 4
        server.slow_start_budget -= request.relative_cost  # which counts only while it is cold
        attempt = Attempt(index, server, now, self._context.stalled_us, self._outliers.successes)
        request.attempts.append(attempt)
        self._context.load.change(server, 1)
        self._admission.attempt_sent(request.service_class.latency_target_us)
        server.idle_connections = max(server.idle_connections - 1, 0)
        if server.ejected_until is not None:
            server.half_open_attempt = attempt
        self._hedging.watch(request, attempt)
        keyed = request.service_class.idempotency is Idempotency.KEYED
        write_by = retries.retry_deadline(request, now, self._context.settings.tick_us) if keyed else None
        self._context.actions.append(actions.SendAttempt(request.id, server.name, request.deadline, write_by))
        return True

    def _may_run_again(self, request: Request) -> bool:
        return retries.may_retry(request, self._context.now, self._context.settings.tick_us)

    def _finish(self, request: Request) -> None:
        """The one way out for an answer that is not a server's: a refusal where legal, else a failure."""
        if request.answered:
            return
        limits = self._context.settings.limits  # jitter, or those refused at once would be back at once
        back_us = RETRY_AFTER_TARGETS * request.service_class.latency_target_us
        back_us = min(back_us * (0.5 + self._context.rng.random()), limits.max_retry_after_us)
        refusal = actions.RejectRequest(request.id, int(back_us) if limits.retry_after else 0)
        is_refused = retries.is_client_retry_safe(request)
        self._context.actions.append(refusal if is_refused else actions.FailRequest(request.id))
        self._close(request)

    def _close(self, request: Request) -> None:
        """Nothing is owed any more; active attempts are cancelled where that is permitted."""
        request.answered = True
        for attempt in request.attempts:
            if attempt.pending and not attempt.has_response_started and request.limits.allow_cancel:
                self._context.actions.append(actions.CancelAttempt(request.id, attempt.index))
        self._forget_if_over(request)

    def _forget_if_over(self, request: Request) -> None:
        if request.is_complete():
            self._requests.pop(request.id, None)
            self._key_order.mark_changed(request.ordering_key)

    def _attempt_ended(self, event: events.AttemptEnded) -> None:
        request = self._requests.get(event.request)
        attempt = None if request is None else request.pending_attempt(event.attempt)
        if request is None or attempt is None:
            return
        attempt.pending = False
        attempt.may_have_run = event.outcome not in request.non_execution_outcomes
        self._key_order.attempt_ended(request, event.outcome)
        self._context.load.change(attempt.server, -1, attempt.within_target)
        if event.outcome in CONNECTED:
            self._connections.add(attempt.server)
        self._outliers.attempt_ended(request, attempt, event.outcome)
        self._limit.cpu.observe(event.report)
        self._learn(request, attempt, event)
        if not request.answered:
            if event.answered:
                self._close(request)
            else:
                self._try_again(request, attempt.server, event.outcome)
        self._retry_budget.attempt_ended(event.outcome)
        self._forget_if_over(request)

    def _learn(self, request: Request, attempt: Attempt, event: events.AttemptEnded) -> None:
        """Learn of latency and overload from the end of an attempt."""
        server, elapsed_us, catching_up = attempt.server, event.elapsed_us, self._context.is_catching_up()
        match event.outcome:
            case Outcome.TIMED_OUT | Outcome.CANCELLED:
                if not (attempt.counted_as_late or request.answered or event.answered):
                    self._admission.count_late_attempt()
                until = self._context.now + elapsed_us  # for as long as it was waited for
                self._context.load.abandon(server, until, attempt.within_target)
                usual_us = self._latency.usual_us(request) * server.latency_weight
                if elapsed_us > usual_us and not catching_up:
                    self._latency.observe_latency(request, server, elapsed_us)
            case Outcome.ERROR:
                self._latency.observe_error(request, server)
            case Outcome.SUCCEEDED:
                target_us = request.service_class.latency_target_us
                self._limit.count_success(target_us)
                if not catching_up:
                    self._latency_by_load.observe_success(request, attempt, elapsed_us)
                    self._latency.observe_success(request, server, elapsed_us)
                    if not attempt.counted_as_late:
                        self._admission.observe_latency(elapsed_us / target_us)
                    server.rejection_backoffs.pop(request.traffic_key, None)
            case Outcome.REJECTED:
                backoff.back_off_after_rejection(self._context, request, server)
                if event.report is None or event.report.get("util", 1.0) >= BUSY_CPU_UTILIZATION:
                    self._admission.observe_latency(UNANSWERED_LATENCY_RATIO)

    def _try_again(self, request: Request, server: Server, outcome: Outcome) -> None:
        """After an attempt that brought no answer: draw again where that is allowed."""
        request.failed_servers.append(server)
        request.rejections += outcome is Outcome.REJECTED
        if outcome is Outcome.REJECTED or (self._may_run_again(request) and self._retry_budget.try_acquire()):
            self._place(request)
        elif not request.is_active():
            self._finish(request)

    def _attempt_overdue(self, request: Request, attempt: Attempt) -> None:
        """Save a repeatable request from a silent server."""
        limits = request.limits
        exhausted = len(request.attempts) >= limits.max_attempts
        if not self._hedging.is_hedge_due(request, attempt) or exhausted or not self._may_run_again(request):
            return  # waiting is all that is left
        if limits.allow_hedging:
            if self._retry_budget.try_acquire():
                self._place(request)
        elif limits.allow_cancel and self._retry_budget.has_tokens():
            # Its end draws again.
            self._context.actions.append(actions.CancelAttempt(request.id, attempt.index))

    def _wanted_at(self, due: int, timer: timers.Timer) -> int | None:
        """When that which a timer was set for wants it; None: no longer."""
        match timer:
            case timers.StallCheck():
                return self._context.stall_check_due
            case timers.AttemptOverdue():
                request = self._unanswered(timer.request)
                return due if request is not None and request.attempts[timer.attempt].pending else None
            case timers.RequestDeadline():
                return due if self._unanswered(timer.request) is not None else None
            case timers.ProbesDue():
                request = self._unanswered(timer.request)
                return request.health_checks_due if request is not None and request.health_checked else None
            case timers.KeyRested():
                return self._key_order.cooldown_until(timer.key)
            case timers.IdleCloseDue():
                return self._connections.close_due(timer.server)
            case timers.RegistryPoll():
                return self._registry_poller.due

    def _timer_fired(self) -> None:
        for due, timer in self._context.timers.take_due(self._context.now):
            wanted_at = self._wanted_at(due, timer)
            if wanted_at is None or wanted_at > self._context.now:
                continue
            match timer:
                case timers.KeyRested(key):
                    self._key_order.mark_changed(key)
                case timers.IdleCloseDue(server):
                    self._connections.close(server)
                case timers.RegistryPoll():
                    self._registry_poller.poll()
                case timers.RequestDeadline() | timers.ProbesDue() | timers.AttemptOverdue():
                    self._request_due(self._requests[timer.request], timer)

    def _request_due(self, request: Request, timer: timers.Timer) -> None:
        if any(each.has_response_started for each in request.attempts):
            return  # nothing is waited for any more
        match timer:
            case timers.AttemptOverdue(_, index):
                self._attempt_overdue(request, request.attempts[index])
            case timers.ProbesDue():
                self._send_probed(request)
            case timers.RequestDeadline():
                self._finish(request)
