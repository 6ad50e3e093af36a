"""A caller's chat request after it was parsed and authenticated."""

from enum import IntEnum

from msgspec import Struct


class Priority(IntEnum):
    """Named priorities; callers may use any number from 0 to 9."""

    BACKGROUND = 1
    NORMAL = 5
    CRITICAL = 9


class Usage(Struct, frozen=True):
    """Number of tokens of a request and of its answer."""

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
        customer: Customer that the API key belongs to.
        messages: Messages of the chat so far.
        model: Model or version id named by the caller; empty to let the router choose.
        task: Kind of task, for estimates of quality.
        session: Session id; empty without a session.
        session_token: Signed session token sent with the request; empty without one.
        kept: Version that the session is pinned to; empty until it is resolved.
        pinned: Whether earlier requests of the session used that version.
        stream: Whether the answer is streamed.
        max_tokens: Largest length of the answer, in tokens.
        priority: Priority, 0 to 9; higher is more urgent.
        critical: Whether it may use reserved slots.
        deadline: Monotonic time by which the answer is due, in seconds.
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
