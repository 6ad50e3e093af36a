"""Which of a route's models answers a streamed request.

A request that may run again gets the smallest model first, and the largest one if the small model
is not confident. One that may run only once gets a model that is chosen before it is sent.
"""

import asyncio
import logging
from collections.abc import Callable

from comfreyhatch.decisions.cascade import CascadeState, escalates
from comfreyhatch.decisions.engine_time import EngineTimes
from comfreyhatch.decisions.extra_requests import ExtraRequestBudget
from comfreyhatch.decisions.single_run import SingleRunState, choose_model
from comfreyhatch.exchange.answers import StreamedAnswer
from comfreyhatch.exchange.crash_guard import CrashGuard
from comfreyhatch.exchange.scheduler import EndpointScheduler
from comfreyhatch.exchange.stream_retries import StreamRetries
from comfreyhatch.exchange.stream_state import StreamState

log = logging.getLogger("comfreyhatch.streams")


class ModelCascade:
    """Decides which of a route's models answers a request."""

    def __init__(
        self,
        scheduler: EndpointScheduler,
        budget: Callable[[str], ExtraRequestBudget],
        crashes: CrashGuard,
        retries: StreamRetries,
        engine_times: EngineTimes,
        count_answer: Callable[[bool], None],
    ) -> None:
        """Create it.

        Args:
            scheduler: Knows the load of the endpoints.
            budget: Returns the budget of extra requests of a service.
            crashes: Knows which requests and prompts crash endpoints.
            retries: Reserves extra requests.
            engine_times: Expected times to the first event, by model.
            count_answer: Counts an answer of the smallest model; called with whether the answer is
                dropped.
        """
        self._scheduler = scheduler
        self._budget = budget
        self._crashes = crashes
        self._retries = retries
        self._engine_times = engine_times
        self._count_answer = count_answer

    def choose_single_run(self, stream: StreamState, now: float) -> None:
        """Choose the model of a request that may run only once, unless an attempt may have run."""
        job = stream.job
        models = job.route.models
        if len(models) < 2 or stream.may_run_again or stream.account.may_have_run:
            return
        tokens = job.exchange.prompt_tokens
        state = SingleRunState(
            rank=job.route.rank,
            load=self._scheduler.load(job.service, now),
            delay_s=self._scheduler.delay_s(job.service, now),
            first_event_s_by_size=tuple(
                self._engine_times.first_event_s(model, tokens) for model in models
            ),
            aim_s=max(0.0, job.arrived + job.route.aim_s - now),
            left_s=job.deadline - now,
        )
        stream.model_index = choose_model(state)
        log.info(
            "event=model_chosen id=%s model=%s load=%.2f delay_s=%.2f first_event_s=%.2f aim_s=%.2f"
            " left_s=%.2f",
            job.exchange.request_id,
            stream.model,
            state.load,
            state.delay_s,
            state.first_event_s_by_size[stream.model_index],
            state.aim_s,
            state.left_s,
        )

    def take_escalation(self, stream: StreamState, answer: StreamedAnswer) -> bool:
        """Return whether to ask the largest model instead, and reserve that in the budget.

        Never for a request that may run only once: its answer has run, whether it is passed on or
        not.
        """
        if not stream.may_run_again:
            return False
        job = stream.job
        now = asyncio.get_running_loop().time()
        if stream.model_index >= len(job.route.models) - 1 or stream.last_event_id is not None:
            return False
        if stream.account.used_up or self._crashes.blocks(job, now):
            return False
        budget = self._budget(job.service)
        tokens = job.exchange.prompt_tokens
        state = CascadeState(
            rank=job.route.rank,
            load=self._scheduler.load(job.service, now),
            delay_s=self._scheduler.delay_s(job.service, now),
            larger_s=self._engine_times.first_event_s(job.route.models[-1], tokens),
            aim_s=job.route.aim_s,
            spent_s=now - job.arrived,
            budget_left=budget.remaining_share(now),
        )
        wanted = escalates(answer.head.confidence, state)
        log.info(
            "event=model_judged id=%s model=%s confidence=%s load=%.2f delay_s=%.2f larger_s=%.2f"
            " spent_s=%.2f budget=%.2f escalates=%s",
            job.exchange.request_id,
            stream.model,
            answer.head.confidence,
            state.load,
            state.delay_s,
            state.larger_s,
            state.spent_s,
            state.budget_left,
            wanted,
        )
        dropped = wanted and self._retries.reserve(stream, now)
        self._count_answer(dropped)
        return dropped
