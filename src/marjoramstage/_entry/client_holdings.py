"""What an instance holds for its clients: bytes and connections."""

from __future__ import annotations

from aiohttp import web

from marjoramstage.clock import Clock
from marjoramstage.state.node_settings import NodeSettings
from marjoramstage.transport.answer_buffers import AnswerBuffers
from marjoramstage.transport.byte_budget import ByteBudget, Holding, budget_bytes
from marjoramstage.transport.connection_limit import ConnectionLimit, max_connections
from marjoramstage.transport.request_body import read_body


class ClientHoldings:
    """The byte budget and the connections of one instance.

    Attributes
    ----------
    budget : ByteBudget
        Accounts for bodies and answers.
    answers : AnswerBuffers
        Answers that callers read slowly.
    connections : ConnectionLimit
        Connections of callers and to targets.
    """

    def __init__(self, settings: NodeSettings, clock: Clock):
        self._clock = clock
        self.budget = ByteBudget(budget_bytes(settings.memory_bytes))
        self.answers = AnswerBuffers(self.budget, clock)
        self.connections = ConnectionLimit(settings.max_descriptors)
        # Bodies of the requests that are being served, by connection.
        self._bodies: dict[object, Holding] = {}

    def apply(self, settings: NodeSettings) -> None:
        """Take over the limits of new settings; what is held goes on."""
        self.budget.limit_bytes = budget_bytes(settings.memory_bytes)
        self.connections.max_connections = max_connections(settings.max_descriptors)

    async def read_body(
        self, req: web.BaseRequest, max_bytes: int, timeout_s: float
    ) -> bytes | bytearray:
        """Return the body of a request; it is accounted for until `release`.

        Raises
        ------
        BodyTooLargeError, NoMemoryError, TimeoutError
            As for `BodyReader.read`.
        """
        req.protocol.release_body()
        body = await read_body(req, max_bytes, self.budget, self._clock, timeout_s)
        if body.holding is not None:
            self._bodies[req.protocol] = body.holding
        return body.data

    def release(self, conn: object) -> None:
        """Give back what was held for the body of a connection's request."""
        holding = self._bodies.pop(conn, None)
        if holding is not None:
            self.budget.close(holding)

    def has_descriptors(self) -> bool:
        """Whether a connection to a target may be opened; others may give way."""
        self.connections.close_excess(self._clock.now())
        return not self.connections.exceeded
