"""Exhaustive state search, shared by the model tests."""


def search(start, successors, is_bad):
    """Returns the number of states visited, and a bad one if there is.

    Args:
        start: The initial state; states are hashable.
        successors: Yields every possible next state.
        is_bad: Whether a state violates the invariant.
    """
    seen = {start}
    frontier = [start]
    while frontier:
        world = frontier.pop()
        if is_bad(world):
            return len(seen), world
        for found in successors(world):
            if found not in seen:
                seen.add(found)
                frontier.append(found)
    return len(seen), None
