"""Collects evidence on the versions of a roll-out from the outcomes of attempts."""

from functools import partial

from msgspec.structs import replace

from comfreyhatch.decisions.endpoint_tracker import EndpointTracker
from comfreyhatch.decisions.slowness import BaselineTimes
from comfreyhatch.decisions.trial_evidence import add_outcomes
from comfreyhatch.domain.exchange import Job
from comfreyhatch.domain.failure import BROKEN_KINDS, LOST_KINDS, Failure, FailureKind
from comfreyhatch.domain.operations import (
    Evidence,
    RolloutOrder,
    RolloutState,
    VersionOutcomes,
)
from comfreyhatch.errors import BackendError, BackendRefusedError
from comfreyhatch.exchange.lost_answers import Look, Loss, LostAnswers
from comfreyhatch.exchange.observed_attempt import ObservedAttempt
from comfreyhatch.exchange.view import FleetView

# Time after which the counts of a completed version start anew: the sound answers of hours would
# hide a fault that shows late.
SERVICE_COUNT_S = 60.0
# An answer is late from this multiple of its target time on.
LATE_AIM_FACTOR = 2.0
# Different failures that are told apart in an evidence row; further ones are counted together.
MAX_FAILURE_TEXTS = 12
OTHER_FAILURES = "other"
LATE = Loss("late", Look.HEALTH_PATH, is_shared=False)
ABANDONED = Loss("abandoned", Look.TRAFFIC, is_shared=False)


class EvidenceCollector:
    """Counts answers, failures and slow answers by service, version and route.

    Whether an answer is slow is decided against a baseline of the replaced versions' answers. A
    successful answer counts once it was compared with a baseline, since an answer whose speed is
    unknown is no evidence for its version.

    After the completion of a roll-out the failures of the target version are counted on, to tell
    the operators of a fault that shows late.
    """

    def __init__(self, daemon: str, view: FleetView, lost_answers: LostAnswers) -> None:
        """Create a collector without evidence.

        Args:
            daemon: Instance name of this daemon.
            view: Current state of the fleet.
            lost_answers: Judges lost answers.
        """
        self._lost_answers = lost_answers
        self._unanswered: set[ObservedAttempt] = set()
        self._daemon = daemon
        self._view = view
        self._evidence_by_service: dict[str, Evidence] = {}
        self._order_by_service: dict[str, RolloutOrder] = {}
        self._completed_by_service: dict[str, Evidence] = {}
        self._counted_from_by_service: dict[str, float] = {}
        self._latency_by_route: dict[str, BaselineTimes] = {}
        self._event_gap_by_model: dict[tuple[str, str], BaselineTimes] = {}

    def evidence(self, service: str) -> Evidence | None:
        """Return this daemon's counts for the roll-out order in force; None without any.

        Counts go on under an order that is listed with another revision after the store came back
        from an older copy.
        """
        order = self._view.order(service)
        evidence = self._evidence_by_service.get(service)
        counted = self._order_by_service.get(service)
        if order is None or evidence is None or counted is None:
            return None
        if not self._view.is_same_order(counted, order):
            return None
        if evidence.order_revision != order.revision:
            evidence = replace(evidence, order_revision=order.revision)
            self._evidence_by_service[service] = evidence
            self._order_by_service[service] = order
        return evidence

    def evidence_since_completion(self, service: str) -> Evidence | None:
        """Return what this daemon counted lately of a completed version; None without any.

        It has the replaced versions' outcomes from before, as that version is gone.
        """
        found = self._completed_by_service.get(service)
        order = self._view.order(service)
        return found if found and order and found.order_revision == order.revision else None

    async def stop(self) -> None:
        """Judge no more lost answers."""
        await self._lost_answers.stop()

    def begin(
        self,
        job: Job,
        endpoint: EndpointTracker,
        now: float,
        earlier: ObservedAttempt | None = None,
        is_watched: bool = False,
    ) -> ObservedAttempt:
        """Return an attempt that is sent to an endpoint now, to be told how it goes on.

        Args:
            job: The request.
            endpoint: The endpoint.
            now: Monotonic time in seconds.
            earlier: The attempt of the request before; None for the first one.
            is_watched: Whether `record_late` looks at it until it ends.
        """
        attempt = ObservedAttempt(job, endpoint, now, earlier)
        if self._running_order(attempt) is not None:
            self._add_sent(attempt, 1)
            if is_watched:
                self._unanswered.add(attempt)
        return attempt

    def record_late(self, now: float) -> None:
        """Count watched attempts as slow that have taken that long already."""
        for attempt in list(self._unanswered):
            late_s = LATE_AIM_FACTOR * attempt.job.route.aim_s
            if now - attempt.sent_at >= late_s and self._has_taken_long(attempt, now):
                self._unanswered.discard(attempt)
                self._judge_late(attempt, LATE, now)

    def record_success(self, attempt: ObservedAttempt, latency: float, now: float) -> None:
        """Count a successful answer if it can be compared with a baseline.

        Args:
            attempt: The attempt.
            latency: Time to the answer in seconds. For a stream, the `slowdown` of its first event
                against the expected time: long prompts would raise the baseline so far that no
                version counts as slow.
            now: Monotonic time in seconds.
        """
        self._unanswered.discard(attempt)
        baseline = self._latency_by_route.setdefault(attempt.job.route.name, BaselineTimes())
        slow = self._is_slow(baseline, attempt.endpoint, latency, now)
        self._update_baseline(baseline, attempt.endpoint, latency, now)
        self._count_since_completion(attempt, None, now)
        if slow is not None and not attempt.is_late:
            self._count_speed(attempt, slow)

    def record_error(
        self, attempt: ObservedAttempt, error: BaseException, is_relayed: bool, now: float
    ) -> None:
        """Count the error of an attempt if it is the version's fault, which may be found out later.

        Args:
            attempt: The attempt.
            error: Its error.
            is_relayed: Whether another daemon sent it; then that, or its path, may be to blame.
            now: Monotonic time in seconds.
        """
        self._unanswered.discard(attempt)
        if isinstance(error, BackendRefusedError):
            self._add_sent(attempt, -1)
        failure = error.failure if isinstance(error, BackendError) else None
        if failure is None or is_relayed:
            return
        if failure.kind not in LOST_KINDS:
            self.record_failure(attempt, failure, now)
            return
        too_short = now - attempt.sent_at < attempt.job.route.aim_s
        if failure.kind is FailureKind.TIMEOUT and too_short:
            # The caller, or an earlier attempt, had left less time than the answer usually takes.
            return
        self._judge_lost(attempt, failure, now)

    def record_stall(self, attempt: ObservedAttempt, now: float) -> None:
        """Count a stream that has stalled as failed, if that is the version's fault."""
        self._judge_lost(attempt, Failure(FailureKind.STALL), now)

    def record_abandoned(self, attempt: ObservedAttempt, is_outrun: bool, now: float) -> None:
        """Count an attempt that was given up as slow if it had taken that long already.

        Args:
            attempt: The attempt.
            is_outrun: Whether a later attempt of its request was answered before.
            now: Monotonic time in seconds.
        """
        self._unanswered.discard(attempt)
        if attempt.is_counted or self._running_order(attempt) is None:
            return
        outrun = is_outrun and not self._view.cold(attempt.endpoint, now)
        if outrun or self._has_taken_long(attempt, now):
            self._judge_late(attempt, ABANDONED, now)

    def record_failure(self, attempt: ObservedAttempt, failure: Failure, now: float) -> None:
        """Count a failure that is the version's.

        Args:
            attempt: The attempt; one that counts as slow counts as failed instead.
            failure: How it failed.
            now: Monotonic time in seconds.
        """
        self._unanswered.discard(attempt)
        if attempt.is_failed or attempt.has_failed_before:
            return
        self._count_since_completion(attempt, failure, now)
        answers = int(not attempt.is_counted)
        self._count(attempt, VersionOutcomes(answers, 1, -int(attempt.is_slow)), failure)
        attempt.is_counted = attempt.is_failed = True
        attempt.is_slow = False

    def record_event_gap(
        self,
        attempt: ObservedAttempt,
        model: str,
        median_gap_s: float,
        ended: bool,
        now: float,
    ) -> None:
        """Count a stream as slow if its event gaps are long, and as an answer if it was not yet.

        Args:
            attempt: The attempt; one that counts as bad already is not counted again.
            model: Requested model; empty when the caller's choice is passed through.
            median_gap_s: Median gap between events, in seconds.
            ended: Whether the stream is complete; only complete streams update the baseline.
            now: Monotonic time in seconds.
        """
        if attempt.is_bad:
            return
        baseline = self._event_gap_by_model.setdefault(
            (attempt.job.service, model), BaselineTimes(load_dominated=True)
        )
        slow = self._is_slow(baseline, attempt.endpoint, median_gap_s, now)
        if ended:
            self._update_baseline(baseline, attempt.endpoint, median_gap_s, now)
        if slow is not None:
            self._count_speed(attempt, slow)

    def _judge_lost(self, attempt: ObservedAttempt, failure: Failure, now: float) -> None:
        """Let a lost answer be judged, and counted as failed if that is the version's fault."""
        if attempt.is_lost or attempt.is_failed or attempt.has_failed_before:
            return
        attempt.is_lost = True
        look = Look.CONNECT if failure.kind in BROKEN_KINDS else Look.HEALTH_PATH
        how = Loss(failure.text, look, is_shared=failure.kind is not FailureKind.TIMEOUT)
        count = partial(self.record_failure, attempt, failure, now)
        self._lost_answers.add(attempt, how, count, now)

    def _judge_late(self, attempt: ObservedAttempt, how: Loss, now: float) -> None:
        """Let a late answer be judged, and counted as slow if that is the version's fault."""
        if attempt.has_failed:
            return
        attempt.is_late = True
        self._lost_answers.add(attempt, how, partial(self._count_as_slow, attempt), now)

    def _count_as_slow(self, attempt: ObservedAttempt) -> None:
        if not attempt.is_bad:
            self._count_speed(attempt, True)

    def _has_taken_long(self, attempt: ObservedAttempt, now: float) -> bool:
        """Return whether an answer that came now would count as slow."""
        baseline = self._latency_by_route.get(attempt.job.route.name)
        if baseline is None:
            return False
        return self._is_slow(baseline, attempt.endpoint, now - attempt.sent_at, now) is True

    def _running_order(self, attempt: ObservedAttempt) -> RolloutOrder | None:
        """Return the order that evidence of an attempt counts for; None if there is none."""
        service = attempt.job.service
        return None if self._view.final_state(service) is not None else self._view.order(service)

    def _add_sent(self, attempt: ObservedAttempt, count: int) -> None:
        """Count a request that is sent to the target version, or take one off."""
        order = self._running_order(attempt)
        if order is None or attempt.endpoint.record.version != order.version:
            return
        evidence = self._open(order)
        sent = max(0, evidence.target_sent + count)
        self._evidence_by_service[order.service] = replace(evidence, target_sent=sent)

    def _open(self, order: RolloutOrder) -> Evidence:
        """Return the evidence for an order, which begins without any outcomes."""
        evidence = self.evidence(order.service)
        if evidence is None:
            evidence = Evidence(order.service, order.revision, self._daemon, {}, {}, {}, {}, {})
            self._evidence_by_service[order.service] = evidence
            self._order_by_service[order.service] = order
        return evidence

    def _is_slow(
        self, baseline: BaselineTimes, endpoint: EndpointTracker, value: float, now: float
    ) -> bool | None:
        if self._view.cold(endpoint, now):
            return None
        return baseline.is_slow(value, endpoint.running(now), now)

    def _update_baseline(
        self, baseline: BaselineTimes, endpoint: EndpointTracker, value: float, now: float
    ) -> None:
        """Add a value to a baseline unless its endpoint is cold or runs the target version."""
        order = self._view.order(endpoint.record.service)
        replaced = order is None or endpoint.record.version != order.version
        if replaced and not self._view.cold(endpoint, now):
            baseline.add(value, endpoint.running(now), now)

    def _count_speed(self, attempt: ObservedAttempt, slow: bool) -> None:
        self._count(attempt, VersionOutcomes(int(not attempt.is_counted), 0, int(slow)))
        attempt.is_counted = True
        attempt.is_slow = slow

    def _count_since_completion(
        self, attempt: ObservedAttempt, failure: Failure | None, now: float
    ) -> None:
        """Count a success, or a failure, of a version whose roll-out is completed."""
        job, endpoint = attempt.job, attempt.endpoint
        if self._view.final_state(job.service) is not RolloutState.COMPLETED:
            return
        order = self._view.order(job.service)
        if order is None or endpoint.record.version != order.version:
            return
        found = self.evidence_since_completion(job.service)
        if found is None or now >= self._counted_from_by_service[job.service] + SERVICE_COUNT_S:
            self._counted_from_by_service[job.service] = now
            before = self.evidence(job.service)
            other = before.other_by_route if before else {}
            found = Evidence(job.service, order.revision, self._daemon, {}, other, {}, {}, {})
            self._completed_by_service[job.service] = found
        answers = int(not attempt.is_counted_in_service)
        attempt.is_counted_in_service = True
        outcome = VersionOutcomes(answers, int(failure is not None), 0)
        _add_to_target(found, attempt, outcome, failure)

    def _count(
        self, attempt: ObservedAttempt, outcome: VersionOutcomes, failure: Failure | None = None
    ) -> None:
        order = self._running_order(attempt)
        if order is None:
            return
        evidence = self._open(order)
        if attempt.endpoint.record.version == order.version:
            _add_to_target(evidence, attempt, outcome, failure)
        else:
            _add(evidence.other_by_route, attempt.job.route.name, outcome)
            _add_failure(evidence.other_by_failure, failure)


def _add_to_target(
    evidence: Evidence,
    attempt: ObservedAttempt,
    outcome: VersionOutcomes,
    failure: Failure | None,
) -> None:
    route = attempt.job.route.name
    _add(evidence.target_by_route, route, outcome)
    by_endpoint = evidence.target_by_endpoint.setdefault(route, {})
    _add(by_endpoint, attempt.endpoint.record.endpoint_id, outcome)
    _add_failure(evidence.target_by_failure, failure)


def _add(sums: dict[str, VersionOutcomes], key: str, outcome: VersionOutcomes) -> None:
    added = add_outcomes(sums.get(key, VersionOutcomes()), outcome)
    # A slow answer that turns into a failed one may have been counted under the order before.
    sums[key] = replace(added, slow=max(0, added.slow))


def _add_failure(count_by_failure: dict[str, int], failure: Failure | None) -> None:
    if failure is None:
        return
    text = failure.text
    if text not in count_by_failure and len(count_by_failure) >= MAX_FAILURE_TEXTS:
        text = OTHER_FAILURES
    count_by_failure[text] = count_by_failure.get(text, 0) + 1
