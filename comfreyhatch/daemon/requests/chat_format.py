"""Encoding of chat completions and model lists as callers receive them."""

from collections.abc import AsyncGenerator, AsyncIterator
from contextlib import aclosing
from time import time

from msgspec import Struct, field
from msgspec.json import encode

from comfreyhatch.domain.contract import Contract
from comfreyhatch.domain.fleet import FleetConfig
from comfreyhatch.domain.request import Usage
from comfreyhatch.domain.version import VersionState
from comfreyhatch.ports.engine import Chunk


class Delta(Struct, omit_defaults=True):
    """Text that one chunk adds to a choice."""

    role: str = ""
    content: str = ""


class StreamedChoice(Struct):
    """The single choice of a streamed chunk."""

    delta: Delta
    index: int = 0
    finish_reason: str | None = None


class ChoiceMessage(Struct):
    """The message of a buffered completion."""

    content: str
    role: str = "assistant"


class BufferedChoice(Struct):
    """The single choice of a buffered completion."""

    message: ChoiceMessage
    finish_reason: str
    index: int = 0


class TokenCounts(Struct):
    """Token usage of a completion."""

    prompt_tokens: int
    completion_tokens: int
    total_tokens: int


class ChatCompletionChunk(Struct, omit_defaults=True):
    """One server-sent event of a streamed completion."""

    id: str
    model: str
    choices: list[StreamedChoice]
    created: int
    object: str = field(default="chat.completion.chunk")
    usage: TokenCounts | None = None


class ChatCompletion(Struct):
    """A buffered completion, sent as one JSON body."""

    id: str
    model: str
    choices: list[BufferedChoice]
    usage: TokenCounts
    created: int
    object: str = "chat.completion"


class ModelEntry(Struct):
    """One version in the list of models."""

    id: str
    model: str
    state: str
    object: str = "model"


class ModelList(Struct):
    """The versions that a caller may request."""

    data: list[ModelEntry]
    object: str = "list"


def model_list(config: FleetConfig, contract: Contract) -> ModelList:
    """Return the versions that a contract allows, without withdrawn ones."""
    return ModelList(
        [
            ModelEntry(version.version_id, version.model, version.state.value)
            for version in config.allowed_versions(contract)
            if version.state is not VersionState.WITHDRAWN
        ]
    )


async def encode_events(
    request_id: str, version_id: str, first: Chunk, chunks: AsyncGenerator[Chunk, None]
) -> AsyncIterator[bytes]:
    """Encode an answer as server-sent events, one for each chunk and a final `[DONE]`.

    Args:
        request_id: Identifier of the request.
        version_id: Version that generates the answer.
        first: First chunk, already read from the answer.
        chunks: Remaining chunks; closed at the end.
    """
    created = int(time())
    async with aclosing(_chain(first, chunks)) as all_chunks:
        async for chunk in all_chunks:
            choice = StreamedChoice(
                Delta(content="".join(chunk.tokens)), finish_reason=chunk.finish or None
            )
            usage = _token_counts(chunk.usage) if chunk.usage else None
            event = ChatCompletionChunk(request_id, version_id, [choice], created, usage=usage)
            yield b"data: " + encode(event) + b"\n\n"
    yield b"data: [DONE]\n\n"


async def buffer_completion(
    request_id: str, version_id: str, first: Chunk, chunks: AsyncGenerator[Chunk, None]
) -> ChatCompletion:
    """Collect an answer into one completion; the arguments are those of `encode_events`."""
    tokens: list[str] = []
    last = first
    async for chunk in _chain(first, chunks):
        tokens += chunk.tokens
        last = chunk
    choice = BufferedChoice(ChoiceMessage("".join(tokens)), last.finish)
    usage = _token_counts(last.usage or Usage())
    return ChatCompletion(request_id, version_id, [choice], usage, int(time()))


async def _chain(first: Chunk, chunks: AsyncGenerator[Chunk, None]) -> AsyncGenerator[Chunk, None]:
    async with aclosing(chunks):
        yield first
        async for chunk in chunks:
            yield chunk


def _token_counts(usage: Usage) -> TokenCounts:
    total = usage.input_tokens + usage.output_tokens
    return TokenCounts(usage.input_tokens, usage.output_tokens, total)
