"""Table of members, and merging of the views that instances exchange.

`merge` is commutative, associative and idempotent, so the order and the
repetition of incoming views do not matter. A view of an older incarnation
never replaces a newer one, and `leaving` stays set for the whole incarnation.
"""

from collections.abc import Iterable, Mapping
from typing import NamedTuple

from cactusledge.peers.messages import MemberDigest, MemberView

MS_PER_S = 1000
MAX_AGE_MS = 3_600_000


class Member(NamedTuple):
    """A member's view, and the local time of its last progress."""

    view: MemberView
    progress_at_s: float

    def digest_at(self, now_s: float) -> MemberDigest:
        """Returns the digest of the view, with the age of its progress."""
        view = self.view
        age_s = max(0, now_s - self.progress_at_s)
        return MemberDigest(
            view.name,
            view.incarnation,
            view.counter,
            view.version,
            min(MAX_AGE_MS, round(age_s * MS_PER_S)),
        )


MemberTable = Mapping[str, Member]


class MergeResult(NamedTuple):
    """The merged table, and the names of members whose views it lacks."""

    table: MemberTable
    wanted: tuple[str, ...]


def merge(left: MemberView, right: MemberView) -> MemberView:
    """Merges two views of one member."""
    if left.incarnation != right.incarnation:
        return max(left, right, key=lambda view: view.incarnation)
    newer = max(left, right, key=content_sort_key)
    return newer._replace(
        counter=max(left.counter, right.counter),
        leaving=left.leaving or right.leaving,
    )


def content_sort_key(view: MemberView) -> tuple[object, ...]:
    """Returns the sort key of a view's content in one incarnation."""
    state = sorted((view.state or {}).items())
    return (
        view.version,
        view.state is not None,
        state,
        (view.host, view.port, view.data_centre),
    )


def merge_updates(
    table: MemberTable,
    views: Iterable[MemberView],
    digests: Iterable[MemberDigest],
    now_s: float,
) -> MergeResult:
    """Merges views, and the counters of digests, into a table."""
    merged = dict(table)
    for view in views:
        merged[view.name] = updated_member(merged.get(view.name), view, now_s)
    wanted = []
    for digest in digests:
        known = merged.get(digest.name)
        if needs_view(known, digest):
            wanted.append(digest.name)
        elif known is not None:
            counted = with_newer_counter(known.view, digest)
            progress_at_s = now_s - max(0, digest.age_ms) / MS_PER_S
            merged[digest.name] = updated_member(known, counted, progress_at_s)
    return MergeResult(merged, tuple(wanted))


def updated_member(
    known: Member | None,
    view: MemberView,
    progress_at_s: float,
) -> Member:
    """Merges a view into a member; a newer counter is progress."""
    if known is None:
        return Member(view, progress_at_s)
    merged = merge(known.view, view)
    if progress_clock(merged) > progress_clock(known.view):
        return Member(merged, max(known.progress_at_s, progress_at_s))
    return known._replace(view=merged)


def progress_clock(view: MemberView) -> tuple[int, int]:
    """Returns the pair that grows in each interval of a running member."""
    return view.incarnation, view.counter


def needs_view(known: Member | None, digest: MemberDigest) -> bool:
    """Returns whether the digest's content is newer than the known view."""
    if known is None:
        return True
    return content_clock(known.view) < content_clock(digest)


def with_newer_counter(view: MemberView, digest: MemberDigest) -> MemberView:
    """Returns the view with the digest's counter if that is newer."""
    if view.incarnation != digest.incarnation:
        return view
    return view._replace(counter=max(view.counter, digest.counter))


def newer_entries(
    table: MemberTable,
    digests: Iterable[MemberDigest],
    now_s: float,
) -> tuple[tuple[MemberView, ...], tuple[MemberDigest, ...]]:
    """Returns the views that are newer than the sender's digests.

    If only the counter is newer, a digest is returned instead of the view.
    """
    pairs = [
        (table[digest.name], digest)
        for digest in digests
        if digest.name in table
    ]
    views = tuple(
        known.view
        for known, digest in pairs
        if content_clock(known.view) > content_clock(digest)
    )
    progress = tuple(
        known.digest_at(now_s)
        for known, digest in pairs
        if content_clock(known.view) == content_clock(digest)
        and known.view.counter > digest.counter
    )
    return views, progress


def content_clock(item: MemberView | MemberDigest) -> tuple[int, int]:
    """Returns the pair that grows with each change of a view's content."""
    return item.incarnation, item.version
