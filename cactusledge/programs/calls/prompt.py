"""Builds the prompts of model calls from program history and messages."""

import json
from collections.abc import Mapping, Sequence
from typing import Any

from cactusledge.models import CallKind, Outcome, Usage
from cactusledge.protocol.calls import decode_body
from cactusledge.protocol.state import CallState, ProgramState
from cactusledge.routing.prefix import prefix_chain

Message = Mapping[str, Any]

MESSAGE_OVERHEAD_TOKENS = 16


def history_messages(
    state: ProgramState,
    common_prefix: str,
) -> list[Message]:
    """Returns the messages of the history, which start the next prompt."""
    messages: list[Message] = []
    if common_prefix:
        messages.append(prefix_message(common_prefix))
    for call in state.calls:
        messages.extend(_call_messages(call))
    return messages


def prefix_message(common_prefix: str) -> Message:
    """Returns the first message of all prompts of a definition."""
    return {'role': 'system', 'content': common_prefix}


def common_chunks(common_prefix: str) -> int:
    """Returns how many leading chunks a definition's prompts share."""
    if not common_prefix:
        return 0
    return len(prefix_chain(prompt_text([prefix_message(common_prefix)])))


def prompt_text(messages: Sequence[Message]) -> str:
    """Returns the text whose leading chunks identify the cached prefix."""
    return '\n'.join(
        f'{message.get("role", "")}: {_content_text(message)}'
        for message in messages
    )


def max_prompt_tokens(
    state: ProgramState,
    common_prefix: str,
    messages: Sequence[Message],
) -> int:
    """Returns an upper bound for the number of tokens of the next prompt.

    The usage reported by the last model call is exact for the history up to
    it. Each later byte counts as one token, since a token has at least one
    byte.
    """
    known, later = _since_last_usage(state)
    texts = [*later, *messages]
    if not known and common_prefix:
        texts.append(prefix_message(common_prefix))
    return known + sum(_max_tokens(message) for message in texts)


def _since_last_usage(state: ProgramState) -> tuple[int, list[Message]]:
    later: list[Message] = []
    for call in reversed(state.calls):
        if call.kind is CallKind.MODEL and call.usage != Usage():
            used = call.usage.prompt_tokens + call.usage.output_tokens
            return used + MESSAGE_OVERHEAD_TOKENS, later
        later.extend(_call_messages(call))
    return 0, later


def _max_tokens(message: Message) -> int:
    size = len(_content_text(message).encode())
    return size + MESSAGE_OVERHEAD_TOKENS


def _content_text(message: Message) -> str:
    content = message.get('content', '')
    return content if isinstance(content, str) else json.dumps(content)


def _call_messages(call: CallState) -> list[Message]:
    if call.outcome is not Outcome.RAN:
        return []
    request = decode_body(call.body)
    answer = decode_body(call.answer)
    if call.kind is CallKind.MODEL:
        reply = {'role': 'assistant', 'content': answer.get('text', '')}
        return [*request.get('messages', ()), reply]
    content = json.dumps({'arguments': request, 'answer': answer})
    return [{'role': 'tool', 'name': call.operation, 'content': content}]
