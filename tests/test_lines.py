"""Properties of the line protocol's pure functions (snowwick/net/lines.py)."""

from __future__ import annotations

import string
import tracemalloc

from hypothesis import example, given
from hypothesis import strategies as st

from snowwick.net import lines

# An id and a key may be any word; pieces that look like values of the line are frequent here
WORDS = st.lists(
    st.sampled_from(["d=7", "d=1200", "g=a", ",", "=", "%d", "\\1", "truck-12"])
    | st.text(st.characters(min_codepoint=33, max_codepoint=126), min_size=1, max_size=8),
    min_size=1,
    max_size=6,
).map("".join)
# Values of an opening line beside d: any text without a comma, under names that the balancer does not read
OTHER_VALUES = st.dictionaries(
    st.from_regex(r"[A-Z_][A-Za-z0-9_.-]{0,7}", fullmatch=True),
    WORDS.map(lambda word: word.replace(",", ";")),
    max_size=4,
)


@given(WORDS, WORDS, OTHER_VALUES, st.integers(0, 4), st.integers(0, 9999), st.integers(1, 9999))
@example("1", "p=x,d=4,truck-12", {}, 0, 1200, 1180)
@example("1,d=4,x", "k1", {}, 0, 1200, 1180)
@example("1", "d=4,x", {"X": "d=5"}, 1, 1200, 1180)
def test_only_the_wait_of_an_opening_line_is_changed(
    request_id: str, key: str, others: dict[str, str], position: int, wait_ms: int, forwarded_ms: int
) -> None:
    """A changed id or key makes a repeat unrecognisable to destinations: it takes effect twice."""
    pairs = [f"{name}={value}" for name, value in others.items()]

    def line(wait: int) -> bytes:
        values = ",".join([*pairs[:position], f"d={wait}", *pairs[position:]])
        return f"OPEN {request_id} {key} {values}\r\n".encode()

    assert lines.parse_opening(line(wait_ms)).with_wait(forwarded_ms) == line(forwarded_ms)


@given(st.integers(0, 60), st.integers(0, 2), st.text(st.sampled_from(" ,=d7\t\r\x00\x7f"), max_size=2))
def test_accepted_opening_line_is_formatted_again_byte_for_byte(
    position: int, deleted: int, inserted: str
) -> None:
    """A parser that accepted another spelling would have the balancer send a line that no client sent."""
    original = "OPEN 9b1f key-12 y=d,d=1200,r=1,c=feed,x=d=5,h=0.5\r\n"
    line = (original[:position] + inserted + original[position + deleted :]).encode()
    try:
        opening = lines.parse_opening(line)
    except lines.MalformedLine:
        return
    if "d" in opening.values:
        line = line.replace(f",d={opening.values['d']},".encode(), b",d=1200,")
        assert opening.with_wait(1200) == line


@given(
    st.lists(st.binary(max_size=6).map(lambda text: text.replace(b"\n", b"\r")), max_size=5), st.booleans()
)
@example([b"a\rLOAD 5", b"a\rMOVE", b"\r"], True)
def test_lines_are_split_at_their_ends_only(texts: list[bytes], last_has_end: bool) -> None:
    """Text after a carriage return inside a line, taken for a line, counts as a reply, a load or an end."""
    data = b"".join(text + b"\n" for text in texts)
    if texts and not last_has_end:
        data = data[:-1]
        texts = texts if texts[-1] else texts[:-1]
    assert lines.split_lines(data) == texts


def test_opening_line_of_very_many_short_values_is_kept_in_a_bounded_size() -> None:
    """Guards against a kept object for each of some 700 values: 90 KB for each of hundreds of connections."""
    names = [first + second for first in string.ascii_letters for second in string.ascii_letters]
    pairs = [f"{name}=1" for name in names if name != "at"]
    openings = []
    tracemalloc.start()
    for number in range(20):
        line = f"OPEN id-{number} key-{number} c=feed,t=n,d=1200,{','.join(pairs)}"[:4000].rpartition(",")[0]
        openings.append(lines.parse_opening(line.encode() + b"\r\n"))
    kept_bytes, _ = tracemalloc.get_traced_memory()
    tracemalloc.stop()
    assert kept_bytes / len(openings) < 2 * lines.MAX_LINE_BYTES
