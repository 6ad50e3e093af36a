"""Routes non-repeatable calls by the kind of their idempotency key.

Calls with a key chosen by the caller run under a claim. Calls with a minted key run in the process
that the key names, the runner.
"""

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
    """Runs each call at most once over all daemons."""

    def __init__(
        self,
        claims: ClaimManager,
        minted: MintedKeys,
        forwarder: Forwarder,
        view: Callable[[], MembershipView],
    ) -> None:
        """Create a router.

        Args:
            claims: Runs calls with keys chosen by callers.
            minted: Runs calls with minted keys that name this process.
            forwarder: Forwards calls to the runners that their minted keys name.
            view: Returns the live daemons.
        """
        self._claims = claims
        self._minted = minted
        self._forwarder = forwarder
        self._view = view

    async def run(
        self, service_call: ForwardedMintedCall, first_attempt: bool, dispatch: Dispatch
    ) -> ServiceAnswer:
        """Run a call, or return the answer of its earlier execution.

        Args:
            service_call: The call and its customer.
            first_attempt: Whether the caller asserts that it has not sent the call before.
            dispatch: Sends the call to an endpoint.

        Raises:
            ComfreyhatchError: If the call is refused or fails; `ran` states whether it may have
                run.
        """
        key = service_call.request.idempotency_key
        check_idempotency_key(key)
        call = ClaimedCall(service_call.customer, key, _digest_of(service_call), first_attempt)
        if not is_minted(key):
            return _service_answer(await self._claims.run(call, _as_execute(dispatch)))
        minted = self._minted.parse(service_call.customer, key)
        if self._minted.is_own(minted):
            return _service_answer(await self._minted.run(call, minted, _as_execute(dispatch)))
        runner = self._runner(minted)
        if runner is not None:
            try:
                return await self._forwarder.call_runner(runner, service_call)
            except HttpError as error:
                # Even if this attempt did not reach the runner, an earlier one may have. So the
                # call is not run elsewhere, and only an answer that the runner stored is returned.
                log.info("event=runner_silent runner=%s reason=%r", runner.instance_id, str(error))
        return _service_answer(await self._minted.find_stored_answer(call, minted))

    async def run_forwarded(
        self, service_call: ForwardedMintedCall, dispatch: Dispatch
    ) -> ServiceAnswer:
        """Run a call with a minted key that another daemon forwarded.

        Raises:
            ComfreyhatchError: If the call is refused or fails; `ran` states whether it may have
                run.
        """
        key = service_call.request.idempotency_key
        minted = self._minted.parse(service_call.customer, key)
        call = ClaimedCall(service_call.customer, key, _digest_of(service_call))
        if not self._minted.is_own(minted):
            return _service_answer(await self._minted.find_stored_answer(call, minted))
        return _service_answer(await self._minted.run(call, minted, _as_execute(dispatch)))

    def _runner(self, key: MintedKey) -> Member | None:
        """Return the member that may be the runner of a key; None if the runner has ended."""
        member = self._view().member_by_id.get(key.instance_id)
        return member if member and may_be_process(member, key.incarnation) else None


def _as_execute(dispatch: Dispatch) -> Callable[[], Awaitable[StoredAnswer]]:
    """Return a function that dispatches a call and returns the answer in the form to be kept."""

    async def run() -> StoredAnswer:
        answer = await dispatch()
        return StoredAnswer(answer.status, answer.content_type, answer.body)

    return run


def _service_answer(claimed: ClaimedAnswer) -> ServiceAnswer:
    answer = claimed.answer
    return ServiceAnswer(answer.status, answer.content_type, answer.body, claimed.replayed)


def _digest_of(service_call: ForwardedMintedCall) -> str:
    """Return the SHA-256 of a call, which shows whether its key was reused for another call."""
    request = service_call.request
    text = f"{service_call.service}\n{request.method}\n{request.path}\n{request.content_type}\n"
    return sha256(text.encode() + request.body).hexdigest()
