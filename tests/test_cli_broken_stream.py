"""The command `call` when the stream of its answer breaks off."""

import io
import json
import threading
from http.server import BaseHTTPRequestHandler, HTTPServer

import pytest

from cactusledge.core import main
from cactusledge.environment import Environment
from cactusledge.status import ExitStatus

TEXT = b'event: text\ndata: {"text": "a", "offset": 0}\n\n'
CUT_ANSWER = b'event: answer\ndata: {"outcome": "RAN"}\n'


class BrokenInstance(BaseHTTPRequestHandler):
    """Answers a call with a stream that ends before its last event."""

    has_chunks = False
    body = TEXT

    def do_GET(self):
        """Returns the view of a program."""
        content = json.dumps({'next_seq': 1}).encode()
        self.send_response(200)
        self.send_header('Content-Length', str(len(content)))
        self.end_headers()
        self.wfile.write(content)

    def do_POST(self):
        """Sends a part of a stream and closes the connection."""
        self.send_response(200)
        if self.has_chunks:
            self.send_header('Transfer-Encoding', 'chunked')
        self.end_headers()
        if self.has_chunks:
            self.wfile.write(b'%x\r\n%b\r\n' % (len(self.body), self.body))
        else:
            self.wfile.write(self.body)

    def log_message(self, *_):
        """Writes no log."""


@pytest.fixture(name='call')
def call_of_a_broken_instance(request):
    server = HTTPServer(('127.0.0.1', 0), request.param)
    thread = threading.Thread(target=server.serve_forever)
    thread.start()
    yield lambda env: main(
        ['call', 'p-1.ab', 'ask', '--api', f'127.0.0.1:{server.server_port}'],
        env,
    )
    server.shutdown()
    thread.join()
    server.server_close()


# A broken stream ended the command with an internal error, as if nothing ran.
@pytest.mark.parametrize(
    'call',
    [
        type('Unframed', (BrokenInstance,), {}),
        type('Chunked', (BrokenInstance,), {'has_chunks': True}),
        type('Cut', (BrokenInstance,), {'body': TEXT + CUT_ANSWER}),
    ],
    indirect=True,
)
def test_broken_stream_leaves_the_outcome_unknown(call):
    env = Environment(io.StringIO(), io.StringIO(), io.StringIO(), {})
    assert call(env) is ExitStatus.UNKNOWN_OUTCOME
    assert env.stderr.getvalue().startswith('outcome_unknown: ')
    assert env.stdout.getvalue().endswith('a')
