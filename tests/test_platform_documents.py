"""Malformed documents and headers are ignored; decoding them never raises."""

import pytest
from hypothesis import given
from hypothesis import strategies as st
from msgspec.json import encode

from comfreyhatch.adapters.http_message import HttpRequest
from comfreyhatch.platform.documents import decode_catalog, decode_endpoint, decode_order
from comfreyhatch.platform.header_codec import PlatformHeaderCodec
from comfreyhatch.platform.store import Row
from tests.platform_harness import config

SERVER = {
    "service": "s",
    "address": "10.0.0.1:80",
    "zone": "a",
    "version": "v1",
    "capacity": 4,
    "state": "ready",
    "cold_left_ms": 1500,
    "sequence": 1,
    "born": 7,
}

values = st.recursive(
    st.none() | st.booleans() | st.integers(-(2**40), 2**40) | st.text(max_size=8),
    lambda inner: st.lists(inner, max_size=3) | st.dictionaries(st.text(max_size=6), inner),
    max_leaves=6,
)
keys = st.sampled_from(sorted(SERVER))


def row(value: bytes) -> Row:
    return Row("servers", "i-1", value, 3)


def test_valid_endpoint() -> None:
    found = decode_endpoint(row(encode(SERVER)))
    assert found and found.cold_left_s == 1.5 and found.born_ms == 7 and not found.draining
    draining = decode_endpoint(row(encode({**SERVER, "state": "draining"})))
    assert draining and draining.draining


@given(keys, values)
def test_endpoint_with_one_arbitrary_value_is_ignored_or_usable(key: str, value: object) -> None:
    found = decode_endpoint(row(encode({**SERVER, key: value})))
    if found is not None:
        assert found.slots >= 1 and found.cold_left_s >= 0 and found.address.port >= 0


@pytest.mark.parametrize("address", ["10.0.0.1:²", "10.0.0.1:70000", "10.0.0.1:0", ":80", "x", ""])
def test_endpoint_with_invalid_address_is_ignored(address: str) -> None:
    assert decode_endpoint(row(encode({**SERVER, "address": address}))) is None


def test_superscript_digits_are_not_parsed_as_numbers() -> None:
    head = PlatformHeaderCodec().read_head(
        200, [(b"confidence", b"\xb2"), (b"server-load", b"\xb2,1,1")]
    )
    assert head.confidence is None and head.load is None
    headers = {
        "deadline-ms": "²",
        "token-counts": "²,1",
        "prompt-prefix": "5c:²",
        "last-event-id": "²",
    }
    found = PlatformHeaderCodec().read_exchange(HttpRequest("GET", "/", {}, headers, target="/"))
    assert found.timeout_s is None and found.parts == () and found.last_event_id is None


@given(keys)
def test_endpoint_is_ignored_only_without_required_field(key: str) -> None:
    document = {name: value for name, value in SERVER.items() if name != key}
    found = decode_endpoint(row(encode(document)))
    required = key not in ("cold_left_ms", "born", "sequence")
    assert (found is None) == required


@given(st.binary(max_size=64))
def test_arbitrary_bytes_do_not_raise(data: bytes) -> None:
    decode_endpoint(row(data))
    decode_order(row(data))
    decode_catalog(data)


@given(st.sampled_from(sorted(config(1))), values)
def test_configuration_with_one_arbitrary_value_does_not_raise(key: str, value: object) -> None:
    decode_catalog(encode({**config(1), key: value}))


@pytest.mark.parametrize(
    ("path", "taken"),
    [
        ("/health?deep=0", "/health?deep=0"),
        ("", ""),
        ("a b", ""),
        ("/a b", ""),
        ("/x\r\ny: z", ""),
        ("/é", ""),
        (7, ""),
        (None, ""),
    ],
)
def test_health_path_that_cannot_be_sent_leaves_the_configuration_in_force(
    path: object, taken: str
) -> None:
    services = [{"name": "desk", "health_path": path}]
    found = decode_catalog(encode({**config(1), "services": services}))
    assert found is not None
    assert found.service_by_name["desk"].health_path == taken


header_text = st.text(st.characters(min_codepoint=32, max_codepoint=126), max_size=24)
header_names = st.sampled_from(
    ["host", "deadline-ms", "token-counts", "prompt-prefix", "last-event-id", "authorization"]
)


@given(st.lists(st.tuples(header_names, header_text), max_size=6))
def test_arbitrary_request_headers_do_not_raise(headers: list[tuple[str, str]]) -> None:
    request = HttpRequest(
        "GET",
        "/",
        {},
        dict(headers),
        target="/",
        headers=[(n.encode(), v.encode()) for n, v in headers],
    )
    found = PlatformHeaderCodec().read_exchange(request)
    assert found.prompt_tokens >= 0
    assert found.timeout_s is None or found.timeout_s >= 0


@given(
    st.lists(
        st.tuples(
            st.sampled_from([b"server-load", b"confidence", b"cold-ms"]), st.binary(max_size=12)
        ),
        max_size=4,
    )
)
def test_arbitrary_response_headers_do_not_raise(headers: list[tuple[bytes, bytes]]) -> None:
    PlatformHeaderCodec().read_head(200, headers)


def test_empty_api_key_admits_nobody() -> None:
    # Requests that bear no key have an empty one.
    found = config(1)
    found["tenants"] = [{"name": "club", "api_keys": ["", "key"], "priority": 1}]
    catalog = decode_catalog(encode(found))
    assert catalog is not None and set(catalog.workspace_by_key) == {"key"}
