"""Runs calls that may not be repeated: under a claim, or by the process a minted key names."""

import logging
from collections.abc import Awaitable, Callable
from hashlib import sha256

from comfreyhatch.daemon.idempotency.claims import ClaimedAnswer, ClaimedCall, ClaimManager
from comfreyhatch.daemon.idempotency.minted import MintedKeys
from comfreyhatch.daemon.requests.forwarding import ForwardedMintedCall, Forwarder
from comfreyhatch.decisions.minted import MintedKey, is_minted
from comfreyhatch.domain.claim import StoredAnswer, check_idempotency_key
from comfreyhatch.errors import HttpError
from comfreyhatch.ports.engine import ServiceAnswer
from comfreyhatch.ports.peers import Member, MembershipView, may_be_process

log = logging.getLogger("comfreyhatch.claims")

Dispatch = Callable[[], Awaitable[ServiceAnswer]]


class IdempotencyRouter:
    """Runs each call at most once over the whole fleet."""

    def __init__(
        self,
        claims: ClaimManager,
        minted: MintedKeys,
        forwarder: Forwarder,
        view: Callable[[], MembershipView],
    ) -> None:
        self._claims = claims
        self._minted = minted
        self._forwarder = forwarder
        self._view = view

    async def run(
        self, work: ForwardedMintedCall, first_attempt: bool, dispatch: Dispatch
    ) -> ServiceAnswer:
        """Run a call, or return the answer of its one execution.

        Args:
            work: The call and its customer.
            first_attempt: Whether the caller asserts that it sent the call nowhere before.
            dispatch: Sends the call to an endpoint.

        Raises:
            ComfreyhatchError: If it is refused or failed; `ran` tells whether it may have run.
        """
        key = work.request.idempotency_key
        check_idempotency_key(key)
        call = ClaimedCall(work.customer, key, _digest_of(work), first_attempt)
        if not is_minted(key):
            return _service_answer(await self._claims.run(call, _as_execute(dispatch)))
        minted = self._minted.parse(work.customer, key)
        if self._minted.is_own(minted):
            return _service_answer(await self._minted.run(call, minted, _as_execute(dispatch)))
        runner = self._runner(minted)
        if runner is not None:
            try:
                return await self._forwarder.call_runner(runner, work)
            except HttpError as error:
                # An earlier attempt may have reached the runner even if this one did not.
                log.info("event=runner_silent runner=%s reason=%r", runner.instance_id, str(error))
        return _service_answer(await self._minted.find_stored_answer(call, minted))

    async def run_forwarded(self, work: ForwardedMintedCall, dispatch: Dispatch) -> ServiceAnswer:
        """Run a call under a minted key that a peer handed over.

        Raises:
            ComfreyhatchError: If it is refused or failed; `ran` tells whether it may have run.
        """
        key = work.request.idempotency_key
        minted = self._minted.parse(work.customer, key)
        call = ClaimedCall(work.customer, key, _digest_of(work))
        if not self._minted.is_own(minted):
            return _service_answer(await self._minted.find_stored_answer(call, minted))
        return _service_answer(await self._minted.run(call, minted, _as_execute(dispatch)))

    def _runner(self, key: MintedKey) -> Member | None:
        member = self._view().member_by_id.get(key.instance_id)
        return member if member and may_be_process(member, key.incarnation) else None


def _as_execute(dispatch: Dispatch) -> Callable[[], Awaitable[StoredAnswer]]:
    async def run() -> StoredAnswer:
        answer = await dispatch()
        return StoredAnswer(answer.status, answer.content_type, answer.body)

    return run


def _service_answer(claimed: ClaimedAnswer) -> ServiceAnswer:
    answer = claimed.answer
    return ServiceAnswer(answer.status, answer.content_type, answer.body, claimed.replayed)


def _digest_of(work: ForwardedMintedCall) -> str:
    request = work.request
    text = f"{work.service}\n{request.method}\n{request.path}\n{request.content_type}\n"
    return sha256(text.encode() + request.body).hexdigest()
