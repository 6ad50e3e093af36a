"""The last tokens of a stream are sent at once; its end waits for the record."""

import asyncio
import re

from msgspec.json import encode

from comfreyhatch.adapters.http_client import HttpClient
from comfreyhatch.domain.record import RequestRecord
from comfreyhatch.standins.fleet import FleetPlan, LocalFleet
from comfreyhatch.standins.text import GOOD_WORDS, POOR_WORDS
from tests.calls import AUTHORIZATION

TOKENS = 6


async def test_tokens_are_sent_before_the_record_is_stored_and_the_end_after() -> None:
    """Guards against a longer token gap before the last tokens, which used to wait for the record.

    The end itself has to wait, so that no caller has a complete answer that is not recorded.
    """
    plan = FleetPlan(zones=("a",), engine_zones=("a",), service_zones=())
    async with LocalFleet(plan) as fleet:
        records = fleet.daemon_by_id["entry-a0"].records
        commit, commit_allowed = records.commit, asyncio.Event()

        async def delayed_commit(record: RequestRecord) -> None:
            await commit_allowed.wait()
            await commit(record)

        records.commit = delayed_commit  # type: ignore[method-assign]
        body = encode(
            {
                "messages": [{"role": "user", "content": "a question"}],
                "max_tokens": TOKENS,
                "stream": True,
            }
        )
        client = HttpClient()
        async with client.stream(
            fleet.callers("entry-a0"), "POST", "/v1/chat/completions", body, AUTHORIZATION, 20
        ) as reply:
            text = ""
            async for piece in reply.pieces(20):
                text += piece.decode()
                if count_words(text) == TOKENS and not commit_allowed.is_set():
                    assert "[DONE]" not in text and '"finish_reason":"length"' not in text
                    commit_allowed.set()
        client.close()
        assert commit_allowed.is_set()
        assert text.count('"finish_reason":"length"') == 1 and "[DONE]" in text
        assert count_words(text) == TOKENS


def count_words(text: str) -> int:
    # Whole words: one of them is the end of another one.
    return len(re.findall(rf"\b(?:{'|'.join(GOOD_WORDS + POOR_WORDS)}) ", text))
