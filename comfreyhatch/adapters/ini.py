"""INI files read into typed definitions, with all errors at once, and examples made from them."""

from configparser import ConfigParser
from configparser import Error as IniSyntaxError
from inspect import getdoc
from pathlib import Path
from types import UnionType
from typing import Annotated, Any, Literal, TypeVar, get_args, get_origin, get_type_hints

from msgspec import NODEFAULT, Meta, Struct, ValidationError, convert
from msgspec.structs import FieldInfo, fields

S = TypeVar("S", bound=Struct)

SECRET_WORDS = {"key", "secret", "token", "password"}
HIDDEN = "(hidden)"
DOC_HEADING = "Attributes:"


class Definition(Struct, frozen=True):
    """One key of a section as its type defines it.

    Attributes:
        key: Name of the key.
        kind: Type of the value.
        required: Whether the key has no default.
        default: Default as text; empty if required.
        allowed: What values are allowed, in words.
        meaning: What the key is for, in words.
    """

    key: str
    kind: Any
    required: bool
    default: str
    allowed: str
    meaning: str


class Problem(Struct, frozen=True):
    """One error of an INI file."""

    section: str
    key: str
    value: str
    allowed: str

    def __str__(self) -> str:
        return f"[{self.section}] {self.key} = {self.value}: {self.allowed}"


def read_sections(path: Path) -> tuple[dict[str, dict[str, str]], list[str]]:
    """Return the sections of an INI file, or the errors of its syntax."""
    parser = ConfigParser(interpolation=None, default_section="")
    try:
        parser.read_string(path.read_text(encoding="utf-8-sig"), str(path))
    except OSError as error:
        return {}, [f"{path}: cannot be read: {error.strerror}"]
    except (IniSyntaxError, UnicodeDecodeError) as error:
        return {}, [f"{path}: is no INI file: {' '.join(str(error).split())}"]
    return {name: dict(parser[name]) for name in parser.sections()}, []


def definitions(kind: type[Struct], skip: tuple[str, ...] = ()) -> list[Definition]:
    """Return the keys of a section in order, without those skipped."""
    meaning_by_key = _meanings(kind)
    types = get_type_hints(kind, include_extras=True)
    return [
        Definition(
            key=info.name,
            kind=types[info.name],
            required=info.required,
            default="" if info.required else _text_of(_default(info)),
            allowed=_allowed(types[info.name]),
            meaning=meaning_by_key.get(info.name, ""),
        )
        for info in fields(kind)
        if info.name not in skip
    ]


def summary(kind: type[Struct]) -> str:
    """Return the first line of a section's description."""
    return (getdoc(kind) or "").partition("\n")[0]


def read_section(
    section: str, values: dict[str, str], kind: type[S], skip: tuple[str, ...] = ()
) -> tuple[S | None, list[Problem]]:
    """Convert a section to its type.

    Args:
        section: Name of the section.
        values: Its keys and values.
        kind: Type with the keys as fields.
        skip: Fields that the section does not hold.

    Returns:
        The typed section, or None, and all errors.
    """
    known = {definition.key: definition for definition in definitions(kind, skip)}
    allowed = "unknown key; allowed are " + ", ".join(known)
    problems = [
        Problem(section, key, _shown(key, value), allowed)
        for key, value in values.items()
        if key not in known
    ]
    converted: dict[str, Any] = {}
    for key, definition in known.items():
        if key in values:
            _convert(section, definition, values[key], converted, problems)
        elif definition.required:
            problems.append(Problem(section, key, "(missing)", f"required; {definition.allowed}"))
    return (None if problems else kind(**converted)), problems


def example(kind: type[Struct], section: str, skip: tuple[str, ...] = ()) -> str:
    """Return a commented section with every key at its default."""
    lines = [f"# {summary(kind)}", f"[{section}]"]
    for definition in definitions(kind, skip):
        lines.append(f"# {definition.meaning} Allowed: {definition.allowed}.")
        mark = "" if definition.required else "; "
        lines.append(f"{mark}{definition.key} = {definition.default}".rstrip())
    return "\n".join(lines) + "\n"


def reference(kind: type[Struct], section: str, skip: tuple[str, ...] = ()) -> str:
    """Return a Markdown table of a section's keys."""
    lines = [f"### [{section}]", "", summary(kind), ""]
    lines += ["| key | default | allowed | meaning |", "| --- | --- | --- | --- |"]
    for item in definitions(kind, skip):
        default = f"`{item.default}`" if item.default else ""
        shown = "required" if item.required else default
        lines.append(f"| `{item.key}` | {shown} | {item.allowed} | {item.meaning} |")
    return "\n".join(lines) + "\n"


def _convert(
    section: str,
    definition: Definition,
    value: str,
    converted: dict[str, Any],
    problems: list[Problem],
) -> None:
    raw: Any = value.replace(",", " ").split() if _is_list(definition.kind) else value
    try:
        converted[definition.key] = convert(raw, definition.kind, strict=False)
    except ValidationError:
        shown = _shown(definition.key, value)
        problems.append(Problem(section, definition.key, shown, f"must be {definition.allowed}"))


def _shown(key: str, value: str) -> str:
    # A secret may stand by mistake where its digest or the name of its variable belongs.
    return HIDDEN if SECRET_WORDS.intersection(key.split("_")) else value


def _default(info: FieldInfo) -> Any:
    if info.default is not NODEFAULT:
        return info.default
    return info.default_factory()


def _text_of(value: Any) -> str:
    if isinstance(value, tuple):
        return " ".join(value)
    if isinstance(value, bool):
        return str(value).lower()
    return "" if value is None else str(value)


def _is_list(kind: Any) -> bool:
    return get_origin(_bare(kind)) is tuple


def _bare(kind: Any) -> Any:
    return get_args(kind)[0] if get_origin(kind) is Annotated else kind


def _allowed(kind: Any) -> str:
    bare = _bare(kind)
    if get_origin(bare) is Literal:
        return "one of " + ", ".join(get_args(bare))
    if isinstance(bare, UnionType):
        return _allowed(get_args(bare)[0]) + " or nothing"
    if get_origin(bare) is tuple:
        return "words separated by spaces" + _pattern(get_args(bare)[0])
    name = {bool: "true or false", int: "an integer", float: "a number", str: "text"}[bare]
    return name + _range(kind) + _pattern(kind)


def _metas(kind: Any) -> list[Meta]:
    return [arg for arg in get_args(kind)[1:] if isinstance(arg, Meta)] if _annotated(kind) else []


def _annotated(kind: Any) -> bool:
    return get_origin(kind) is Annotated


def _range(kind: Any) -> str:
    text = ""
    for meta in _metas(kind):
        if meta.ge is not None:
            text += f" from {meta.ge}"
        if meta.gt is not None:
            text += f" above {meta.gt}"
        if meta.le is not None:
            text += f" to {meta.le}"
    return text


def _pattern(kind: Any) -> str:
    return "".join(f", {meta.description}" for meta in _metas(kind) if meta.description)


def _meanings(kind: type[Struct]) -> dict[str, str]:
    """Return the meaning of each field from the docstring's list of attributes."""
    _, _, listed = (getdoc(kind) or "").partition(DOC_HEADING)
    meaning_by_key: dict[str, str] = {}
    key = ""
    for line in listed.splitlines():
        name, colon, text = line.strip().partition(": ")
        if colon and line.startswith("    ") and not line.startswith("     "):
            key = name
            meaning_by_key[key] = text
        elif key and line.strip():
            meaning_by_key[key] += " " + line.strip()
    return meaning_by_key
