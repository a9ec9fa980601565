"""A caller's agent program, driven step by step through any instance."""

from typing import Any, NamedTuple

from cactusledge.cli.api_client import ApiClient
from cactusledge.models import Address
from standins.deployment import Deployment
from standins.ports import LOOPBACK

OUTPUT_TOKENS = 24
SHARE_UNITS = 20_000


class Scenario(NamedTuple):
    """One of the users' programs."""

    definition: str
    token: str
    service: str
    read_operation: str  # idempotent
    write_operation: str  # non-idempotent
    first_message: str
    sub_agent_message: str


SHOWROOM = Scenario(
    definition='itinerary',
    token='demo-showroom-token',
    service='booking',
    read_operation='availability',
    write_operation='confirm',
    first_message='Draft a visit of three showrooms on Tuesday.',
    sub_agent_message='Find a later slot with the ceramics exhibitor.',
)
LEDGER = Scenario(
    definition='reconciliation',
    token='demo-ledger-token',
    service='ledger',
    read_operation='read_ledger',
    write_operation='transfer_hours',
    first_message='Reconcile the hours that member 1207 disputes.',
    sub_agent_message='Compare the kiosk entries of last week.',
)


class Caller:
    """Makes the calls of one program and keeps what was answered."""

    def __init__(self, deployed: Deployment, scenario: Scenario) -> None:
        """Starts without a program."""
        self._deployed = deployed
        self.scenario = scenario
        self.program_id = ''
        self.answers: list[dict[str, Any]] = []
        self.streamed = ''

    def open(self, entry: str, parent: str = '') -> None:
        """Opens the program, a sub-agent if it has a parent."""
        body: dict[str, Any] = {
            'definition': self.scenario.definition,
            'key': f'demo-{parent or "main"}',
        }
        if parent:
            body = {**body, 'parent': parent, 'budget': SHARE_UNITS}
        view = self._api(entry).post('/v1/programs', body)
        self.program_id = view['program_id']

    def ask_model(self, entry: str, text: str) -> None:
        """Makes a streamed model call."""
        body = {
            **self._next('model'),
            'messages': [{'role': 'user', 'content': text}],
            'max_output_tokens': OUTPUT_TOKENS,
            'stream': True,
        }
        self.streamed = ''
        for name, event in self._api(entry).stream(self._calls, body):
            if name == 'answer':
                self.answers.append(event)
            elif event['restart']:
                self.streamed = ''
            else:
                self.streamed += event['text']

    def use_tool(self, entry: str, operation: str, repeats: int = 1) -> None:
        """Calls a service; a repeat with the same key must change nothing."""
        body = {
            **self._next('service'),
            'target': self.scenario.service,
            'operation': operation,
            'arguments': {'step': len(self.answers) + 1},
        }
        answers = [
            self._api(entry).post(self._calls, body) for _ in range(repeats)
        ]
        self.answers.append(answers[0])

    def end(self, entry: str) -> None:
        """Ends the program."""
        self._api(entry).post(f'/v1/programs/{self.program_id}/end', {})

    def view(self, entry: str) -> dict[str, Any]:
        """Returns the program's state."""
        return self._api(entry).get(f'/v1/programs/{self.program_id}')

    def history(self, entry: str) -> list[dict[str, Any]]:
        """Returns the program's calls."""
        path = f'/v1/programs/{self.program_id}/history'
        calls: list[dict[str, Any]] = self._api(entry).get(path)['calls']
        return calls

    @property
    def _calls(self) -> str:
        return f'/v1/programs/{self.program_id}/calls'

    def _next(self, kind: str) -> dict[str, Any]:
        seq = len(self.answers) + 1
        return {'seq': seq, 'key': f'demo-{seq}', 'kind': kind}

    def _api(self, entry: str) -> ApiClient:
        address = Address(LOOPBACK, self._deployed.port(entry))
        return ApiClient(address, self.scenario.token)
