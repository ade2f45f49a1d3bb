"""State machine of an order to a target."""

from __future__ import annotations

from transitions import Machine

from marjoramstage.protocol.messages import Order

RECORDED = "recorded"
SENT = "sent"
IN_DOUBT = "in_doubt"
DONE = "done"
REFUSED = "refused"

STATES = [RECORDED, SENT, IN_DOUBT, DONE, REFUSED]
TRANSITIONS = [
    {"trigger": "send", "source": RECORDED, "dest": SENT},
    {"trigger": "withhold", "source": RECORDED, "dest": REFUSED},
    {"trigger": "lose", "source": [SENT, IN_DOUBT], "dest": IN_DOUBT},
    {"trigger": "finish", "source": [SENT, IN_DOUBT], "dest": DONE},
    {"trigger": "refuse", "source": [SENT, IN_DOUBT], "dest": REFUSED},
]

_MACHINE = Machine(
    model=None,
    states=STATES,
    transitions=TRANSITIONS,
    initial=RECORDED,
    auto_transitions=False,
    ignore_invalid_triggers=True,
)


class TrackedOrder:
    """An order of this instance that the written ledger contains.

    Attributes
    ----------
    state : str
        One of `STATES`.
    since_s : float
        Time at which the order was recorded.
    """

    def __init__(self, order: Order, now_s: float):
        self.order = order
        self.since_s = now_s
        _MACHINE.add_model(self)

    @property
    def awaits_answer(self) -> bool:
        """Whether the order is not yet answered or given up."""
        return self.state in (RECORDED, SENT)

    @property
    def settled(self) -> bool:
        """Whether the order has been carried out or refused."""
        return self.state in (DONE, REFUSED)

    def detach(self) -> None:
        """Remove the order from the shared state machine."""
        _MACHINE.remove_model(self)
