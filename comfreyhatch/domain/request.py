"""A caller's request as the router sees it."""

from enum import IntEnum

from msgspec import Struct


class Priority(IntEnum):
    """Named priorities; callers may use any number from 0 to 9."""

    BACKGROUND = 1
    NORMAL = 5
    CRITICAL = 9


class Usage(Struct, frozen=True):
    """Tokens of a request and its answer."""

    input_tokens: int = 0
    output_tokens: int = 0


class ChatMessage(Struct, frozen=True):
    """One message of a chat."""

    role: str
    content: str


class ChatRequest(Struct, frozen=True):
    """A request for a chat completion.

    Attributes:
        request_id: Identifier given by the daemon that accepted it.
        customer: Customer whose key it carried.
        messages: The chat so far.
        model: Model or version id that the caller asked for; empty lets the router choose.
        task: Kind of task, for estimates of quality.
        session: Session id; empty without a session.
        session_token: Signed token of the session that came along; empty without one.
        kept: Version that the session keeps; empty until it is found.
        pinned: Whether the session was on that version before.
        stream: Whether the answer is streamed.
        max_tokens: Largest answer, in tokens.
        priority: 0 to 9.
        critical: Whether it may use reserved slots.
        deadline: Monotonic time by which it must be answered, in seconds.
    """

    request_id: str
    customer: str
    messages: tuple[ChatMessage, ...]
    model: str = ""
    task: str = "chat"
    session: str = ""
    session_token: str = ""
    kept: str = ""
    pinned: bool = False
    stream: bool = False
    max_tokens: int = 256
    priority: int = Priority.NORMAL
    critical: bool = False
    deadline: float = 0.0
