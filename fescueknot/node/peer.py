"""Handler of the peer port: signed calls of other nodes."""

from http import HTTPStatus

from fescueknot.calls import Outcome
from fescueknot.node import headers, problems
from fescueknot.node.connections import CallerGone
from fescueknot.node.control import PATH_PREFIX, ControlServer
from fescueknot.node.envelope import EnvelopeCodec
from fescueknot.node.errors import EnvelopeError
from fescueknot.node.messages import HttpAnswer, HttpRequest
from fescueknot.node.runner import JobRunner


class PeerHandler:
    """Runs signed calls on the local target, and answers control calls."""

    def __init__(
        self,
        *,
        codec: EnvelopeCodec,
        runner: JobRunner,
        control: ControlServer,
    ) -> None:
        self._codec = codec
        self._runner = runner
        self._control = control

    def answer(
        self,
        request: HttpRequest,
        caller_gone: CallerGone,
    ) -> HttpAnswer:
        """Return the answer with its verdict, or 403 for a bad signature."""
        if request.path.startswith(PATH_PREFIX):
            return self._control.answer(request)
        try:
            envelope = self._codec.verify(
                request.header(headers.ENVELOPE),
                method=request.method,
                path=request.path,
            )
        except EnvelopeError as error:
            return problems.to_answer(_forbidden(error))
        return self._runner.run(envelope, request, caller_gone)


def _forbidden(error: EnvelopeError) -> problems.Problem:
    return problems.Problem(
        status=HTTPStatus.FORBIDDEN,
        title='This port is for nodes only',
        detail=str(error),
        outcome=Outcome.NOT_RUN,
    )
