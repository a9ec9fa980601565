"""Searches every world that can come of a first one; for the models."""


def search(start, successors, is_bad):
    """Returns the number of worlds seen, and a bad one if there is.

    Args:
        start: The first world; worlds are hashable.
        successors: Yields every world that can come next.
        is_bad: Whether a world breaks what has to hold.
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
