"""The frame that carries messages between daemons: encoding, authentication, freshness."""

import hmac

from msgspec import Raw, Struct
from msgspec.msgpack import Decoder, Encoder

MAC_BYTES = 16
MS_PER_S = 1000

SEND, REQUEST, REPLY = 0, 1, 2


class Item(Struct, frozen=True, array_like=True):
    """One message of a frame.

    Attributes:
        kind: SEND, REQUEST or REPLY.
        call: Number that joins a request and its reply; 0 for a plain send.
        tag: Tag of the message type; empty in a reply.
        body: The message, encoded.
    """

    kind: int
    call: int
    tag: str
    body: Raw


class Frame(Struct, frozen=True, array_like=True):
    """Messages from one daemon to another.

    Attributes:
        sender: Instance id of the sender.
        sequence: Strictly growing for a sender; at least its clock in milliseconds.
        items: The messages, in order.
    """

    sender: str
    sequence: int
    items: list[Item]


_encoder = Encoder()
_decoder = Decoder(Frame)


def seal(frame: Frame, recipient: str, key: bytes) -> bytes:
    """Return the bytes of a frame, with its authentication code in front.

    Args:
        frame: What to send.
        recipient: Instance id that the frame is meant for; empty when it is not known yet.
        key: Fleet key.
    """
    body = _encoder.encode(frame)
    return _mac(body, recipient, key) + body


def unseal(data: bytes, recipient: str, keys: tuple[bytes, ...]) -> Frame | None:
    """Return the frame if a fleet key authenticates it for the recipient, else None.

    Raises:
        MsgspecError: If the authenticated content is malformed.
    """
    mac, body = data[:MAC_BYTES], data[MAC_BYTES:]
    for key in keys:
        for addressee in (recipient, ""):
            if hmac.compare_digest(mac, _mac(body, addressee, key)):
                return _decoder.decode(body)
    return None


def next_sequence(previous: int, unix_s: float) -> int:
    """Return a sequence number above the previous one and not below the clock."""
    return max(previous + 1, int(unix_s * MS_PER_S))


def is_replayed(sequence: int, last: int, unix_s: float, max_age_s: float) -> bool:
    """Return whether a frame was seen already or is older than any live frame may be."""
    return sequence <= last or sequence < (unix_s - max_age_s) * MS_PER_S


def _mac(body: bytes, recipient: str, key: bytes) -> bytes:
    signed = recipient.encode() + b"\0" + body
    return hmac.digest(key, signed, "sha256")[:MAC_BYTES]
