"""The requests that write entries to the members of a group."""

import msgspec

from cactusledge.records import entries, messages
from cactusledge.records.holders import choose_holders
from cactusledge.records.peers import GroupPeers
from cactusledge.records.room import Room
from cactusledge.records.round import PreparedRequest, prepare_requests


def append_request(
    group: entries.Group, entry: entries.Entry
) -> messages.Append:
    """Returns the request that writes an entry to members of a group."""
    return messages.Append(group.generation, [entry], group.shard)


def requests_to_all(
    entry: entries.Entry, peers: GroupPeers
) -> list[PreparedRequest]:
    """Returns the requests that write an entry, each with all of it."""
    return prepare_requests(peers.all(), append_request(peers.group, entry))


def with_holders(turn: entries.Turn, peers: GroupPeers) -> entries.Turn:
    """Returns the turn with those that are to keep its text."""
    return msgspec.structs.replace(turn, holders=holders_of(turn, peers))


def holders_of(turn: entries.Turn, peers: GroupPeers) -> tuple[str, ...]:
    """Returns the connected stores chosen to keep a turn's text."""
    connected = {peer.name for peer in peers.connected()}
    if not peers.rooms.is_everywhere:
        with_room = peers.rooms.better_than(connected, Room.SHORT)
        if len(with_room) >= peers.group.copies:
            connected = set(with_room)
    members = {
        name: member
        for name, member in peers.group.members.items()
        if name in connected
    }
    return choose_holders(
        turn.turn_id, members, peers.data_centre, peers.group.copies
    )


def record_requests(
    turn: entries.Turn, peers: GroupPeers
) -> list[PreparedRequest]:
    """Returns the requests that write a turn.

    Only its holders receive the text.
    """
    with_text = append_request(peers.group, turn)
    without_text = append_request(peers.group, turn.without_text())
    holders = [peer for peer in peers.all() if peer.name in turn.holders]
    others = [peer for peer in peers.all() if peer.name not in turn.holders]
    return [
        *prepare_requests(holders, with_text),
        *prepare_requests(others, without_text),
    ]
