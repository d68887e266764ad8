"""A fake server for the ops port of a node."""

import contextlib
import threading
from collections.abc import Iterator
from http.server import BaseHTTPRequestHandler, ThreadingHTTPServer

Responses = dict[str, tuple[int, bytes]]
RunningServer = tuple[str, list[str]]
_POLL_S = 0.01


class _Handler(BaseHTTPRequestHandler):
    responses: Responses = {}
    requests: list[str] = []

    def do_GET(self) -> None:
        self.requests.append(f'{self.command} {self.path}')
        status, body = self.responses.get(self.path, (404, b'{"detail": "no"}'))
        self.send_response(status)
        self.send_header('Content-Length', str(len(body)))
        self.end_headers()
        self.wfile.write(body)

    do_POST = do_GET

    def log_message(self, *_arguments: object) -> None:
        """Suppress the request log."""


def _stop(server: ThreadingHTTPServer, thread: threading.Thread) -> None:
    server.shutdown()
    thread.join()
    server.server_close()


@contextlib.contextmanager
def fake_ops_server(responses: Responses) -> Iterator[RunningServer]:
    """Run a server; yield its address and the list of received requests."""
    requests: list[str] = []
    handler = type(
        'Handler', (_Handler,), {'responses': responses, 'requests': requests}
    )
    server = ThreadingHTTPServer(('127.0.0.1', 0), handler)
    thread = threading.Thread(target=server.serve_forever, args=(_POLL_S,))
    thread.start()
    try:
        yield f'127.0.0.1:{server.server_port}', requests
    finally:
        _stop(server, thread)
