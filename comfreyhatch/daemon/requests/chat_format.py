"""The callers' format of chat answers and lists of models."""

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
    """New text of a streamed choice."""

    role: str = ""
    content: str = ""


class StreamedChoice(Struct):
    """The choice of a streamed piece."""

    delta: Delta
    index: int = 0
    finish_reason: str | None = None


class ChoiceMessage(Struct):
    """The message of a whole answer."""

    content: str
    role: str = "assistant"


class WholeChoice(Struct):
    """The choice of a whole answer."""

    message: ChoiceMessage
    finish_reason: str
    index: int = 0


class TokenCounts(Struct):
    """Tokens used, in the callers' format."""

    prompt_tokens: int
    completion_tokens: int
    total_tokens: int


class ChatPiece(Struct, omit_defaults=True):
    """One server-sent event of a streamed answer."""

    id: str
    model: str
    choices: list[StreamedChoice]
    created: int
    object: str = field(default="chat.completion.chunk")
    usage: TokenCounts | None = None


class ChatAnswer(Struct):
    """A whole answer."""

    id: str
    model: str
    choices: list[WholeChoice]
    usage: TokenCounts
    created: int
    object: str = "chat.completion"


class ModelEntry(Struct):
    """One version that the contract allows."""

    id: str
    model: str
    state: str
    object: str = "model"


class ModelList(Struct):
    """The versions that the contract allows."""

    data: list[ModelEntry]
    object: str = "list"


def model_list(config: FleetConfig, contract: Contract) -> ModelList:
    """Return the versions that a contract allows and that take work."""
    return ModelList(
        [
            ModelEntry(version.version_id, version.model, version.state.value)
            for version in config.allowed_versions(contract)
            if version.state is not VersionState.WITHDRAWN
        ]
    )


async def stream_pieces(
    request_id: str, version_id: str, first: Chunk, chunks: AsyncGenerator[Chunk, None]
) -> AsyncIterator[bytes]:
    """Encode an answer as server-sent events, one for each chunk.

    Args:
        request_id: Identifier of the request.
        version_id: Version that answers.
        first: First chunk, already taken from the answer.
        chunks: The rest of the answer; closed at the end.
    """
    created = int(time())
    async with aclosing(_chained(first, chunks)) as pieces:
        async for chunk in pieces:
            choice = StreamedChoice(
                Delta(content="".join(chunk.tokens)), finish_reason=chunk.finish or None
            )
            usage = _counts(chunk.usage) if chunk.usage else None
            piece = ChatPiece(request_id, version_id, [choice], created, usage=usage)
            yield b"data: " + encode(piece) + b"\n\n"
    yield b"data: [DONE]\n\n"


async def whole_answer(
    request_id: str, version_id: str, first: Chunk, chunks: AsyncGenerator[Chunk, None]
) -> ChatAnswer:
    """Collect an answer; the arguments are those of `stream_pieces`."""
    tokens: list[str] = []
    last = first
    async for chunk in _chained(first, chunks):
        tokens += chunk.tokens
        last = chunk
    choice = WholeChoice(ChoiceMessage("".join(tokens)), last.finish)
    usage = _counts(last.usage or Usage())
    return ChatAnswer(request_id, version_id, [choice], usage, int(time()))


async def _chained(
    first: Chunk, chunks: AsyncGenerator[Chunk, None]
) -> AsyncGenerator[Chunk, None]:
    async with aclosing(chunks):
        yield first
        async for chunk in chunks:
            yield chunk


def _counts(usage: Usage) -> TokenCounts:
    total = usage.input_tokens + usage.output_tokens
    return TokenCounts(usage.input_tokens, usage.output_tokens, total)
