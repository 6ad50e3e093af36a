"""Tells from log lines what happened to a request, and groups failures by cause."""

from collections import Counter
from collections.abc import Iterable

from msgspec import Struct, field

from comfreyhatch.adapters.logs import PAIR

FAILED_EVENTS = frozenset({"refused", "stream_cut"})
NO_INSTANCE = "-"

_SENTENCE_BY_EVENT = {
    "queued": "no endpoint was free; it waits for up to {wait_s} s behind {ahead} others",
    "displaced": "refused while it waited, for {by}, whose refusal costs more than {cost}; it may"
    " come back after {retry_after_s} s",
    "not_admitted": "no room in time behind {ahead_s} s of work for {slots} slots; it may come back"
    " after {retry_after_s} s",
    "placed": "sent to {endpoint} ({version}, zone {zone}), which is expected to take {delay_s} s"
    " for other work; {choices} endpoints could be chosen, the list was {list_age_s} s old",
    "model_chosen": "it may run only once, and goes to model {model}: first event expected after"
    " {delay_s} s of queueing and {first_event_s} s of work, target {aim_s} s, load {load}",
    "model_judged": "model {model} answered with confidence {confidence}; delay {delay_s} s, load"
    " {load}, budget left {budget}: asked again of the largest model: {escalates}",
    "attempt_failed": "the attempt failed with code {code}, ran: {ran}: {reason}",
    "attempt_abandoned": "the attempt at {endpoint} was given up after {took_s} s",
    "attempt_not_counted": "the attempt at {endpoint} isn't counted, as that has ended:"
    " {counted} of {of}",
    "retry_denied": "not sent again after {attempts} attempts: {reason}",
    "refused": "refused with code {code} after {took_s} s, ran: {ran}: {reason}",
    "stream_cut": "its stream was cut with code {code} after {took_s} s and {pieces} pieces:"
    " {reason}",
    "abandoned": "its caller left after {took_s} s",
    "answered": "answered after {took_s} s",
}


class LogLine(Struct, frozen=True):
    """A line of a log.

    Attributes:
        at: Time as written.
        instance: Who wrote it; a dash when the line does not say.
        event: Name of the event.
        value_by_key: All pairs of the line.
    """

    at: str
    instance: str
    event: str
    value_by_key: dict[str, str] = field(default_factory=dict)

    def text(self) -> str:
        """Return what the line says in words."""
        form = _SENTENCE_BY_EVENT.get(self.event)
        if form is None:
            pairs = self.value_by_key.items()
            shown = (f"{k}={v}" for k, v in pairs if k not in ("at", "event", "id", "level"))
            return f"{self.event}: {' '.join(shown)}"
        return form.format_map(_Known(self.value_by_key))


class _Known(dict[str, str]):
    """Values of a line; one that the line lacks is shown as unknown."""

    def __missing__(self, key: str) -> str:
        return "unknown"


def parse_line(text: str) -> LogLine | None:
    """Return a line of key=value pairs, whatever stands before it; None for other text."""
    before, mark, rest = text.partition("at=")
    if not mark:
        return None
    pairs = {key: _unquoted(value) for key, value in PAIR.findall(mark + rest)}
    if "event" not in pairs:
        return None
    words = before.split()
    return LogLine(pairs["at"], words[-1] if words else NO_INSTANCE, pairs["event"], pairs)


def story_lines(lines: Iterable[str], request_id: str) -> list[str]:
    """Return what happened to a request, in order of time, from the logs of all instances."""
    found = [line for line in map(parse_line, lines) if line]
    own = [line for line in found if line.value_by_key.get("id") == request_id]
    own.sort(key=lambda line: line.at)
    if not own:
        return [f"no line has the id {request_id}"]
    return [f"{line.at} {line.instance}: {line.text()}" for line in own]


def summary_lines(lines: Iterable[str]) -> list[str]:
    """Return the failures in logs by cause, the most frequent first, with one id of each."""
    counts: Counter[tuple[str, str, str]] = Counter()
    example: dict[tuple[str, str, str], str] = {}
    for line in map(parse_line, lines):
        if line is None or line.event not in FAILED_EVENTS:
            continue
        values = line.value_by_key
        cause = (line.event, values.get("code", "?"), _without_names(values.get("reason", "")))
        counts[cause] += 1
        example.setdefault(cause, values.get("id", ""))
    return [
        f"{count:6} {event} code {code}: {reason} (such as {example[event, code, reason]})"
        for (event, code, reason), count in counts.most_common()
    ]


def _without_names(reason: str) -> str:
    """Return a reason without what differs from request to request."""
    words = ["…" if any(c.isdigit() for c in word) else word for word in reason.split()]
    return " ".join(words)


def _unquoted(value: str) -> str:
    quoted = len(value) > 1 and value[0] == value[-1] and value[0] in "\"'"
    return value[1:-1] if quoted else value
