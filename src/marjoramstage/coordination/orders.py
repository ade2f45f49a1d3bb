"""Life cycle of an order to a target."""

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


class OrderTrack:
    """One order of this instance; its mark is in the written ledger.

    Attributes
    ----------
    state : str
        One of `STATES`.
    since_s : float
        When the state was entered.
    """

    def __init__(self, order: Order, now_s: float):
        self.order = order
        self.since_s = now_s
        _MACHINE.add_model(self)

    @property
    def on_its_way(self) -> bool:
        """Whether an answer may still come."""
        return self.state in (RECORDED, SENT)

    @property
    def settled(self) -> bool:
        """Whether the order cannot take effect any more."""
        return self.state in (DONE, REFUSED)

    def forget(self) -> None:
        """Detach from the machine."""
        _MACHINE.remove_model(self)
