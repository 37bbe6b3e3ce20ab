import json
import threading
from contextlib import ExitStack
from http.server import BaseHTTPRequestHandler, ThreadingHTTPServer
from urllib.parse import parse_qsl, urlsplit

import pytest

from mangowell_cli.app import main


class FakeAdminPort:
    """Serves prepared answers as the admin port of a node does.

    Answers wait for the event `release` if one is given. `path_answers` has the
    answers of further paths.
    """

    def __init__(
        self, status, events=(), http_status=200, release=None, path_answers=None
    ):
        node = self
        self.queries = []

        class Handler(BaseHTTPRequestHandler):
            def do_GET(self):
                if release is not None:
                    release.wait(10)
                url = urlsplit(self.path)
                node.queries.append(dict(parse_qsl(url.query)))
                answers = {"/status": status, "/events": list(events)}
                body = (answers | (path_answers or {}))[url.path]
                if not isinstance(body, bytes):
                    body = json.dumps(body).encode()
                self.send_response(http_status)
                self.send_header("Content-Length", str(len(body)))
                self.end_headers()
                self.wfile.write(body)

            def log_message(self, *args):
                pass

        self.server = ThreadingHTTPServer(("127.0.0.1", 0), Handler)
        self.server.daemon_threads = True
        # In some tests the client closes the connection before the answer.
        self.server.handle_error = lambda *args: None
        self.address = f"127.0.0.1:{self.server.server_port}"

    def __enter__(self):
        threading.Thread(target=self.server.serve_forever, args=(0.01,)).start()
        return self

    def __exit__(self, *exc):
        self.server.shutdown()
        self.server.server_close()


@pytest.fixture
def serve():
    """Return a function that starts an admin port, which stops after the test."""
    with ExitStack() as stack:
        yield lambda *args, **kwargs: stack.enter_context(
            FakeAdminPort(*args, **kwargs)
        )


@pytest.fixture
def run(capsys):
    """Return a function that runs the program and returns code, stdout and stderr."""

    def run_program(*argv):
        capsys.readouterr()
        try:
            code = main([str(word) for word in argv])
        except SystemExit as exc:
            code = exc.code
        out, err = capsys.readouterr()
        return code, out, err

    return run_program


@pytest.fixture
def make_status():
    """Return a function that creates an answer of ``/status``."""

    def make(doc, **changes):
        status = {"instance": "orders-1", "failure_domain": "d1", "ready": True}
        status |= {"environment": doc.environment, "version": doc.version}
        status |= {"digest": doc.digest, "since": 1_700_000_000.5, "source": "up"}
        status |= {"refused": [], "draining": False, "control_bytes": 512}
        return status | changes

    return make
