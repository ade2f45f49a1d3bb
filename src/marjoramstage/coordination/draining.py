"""The planned stop of an instance as a state machine.

States: serving; lingering (not ready, but still accepting, until the balancer
has noticed); draining (no new connections, work in flight goes on); aborting
(what is left ends with a verdict); stopped.
"""

from __future__ import annotations

from transitions import Machine

LINGER_S = 1.0

TRANSITIONS = (
    {"trigger": "stop", "source": "serving", "dest": "lingering"},
    {"trigger": "stop", "source": ["lingering", "draining"], "dest": "aborting"},
    {"trigger": "stop", "source": ["aborting", "stopped"], "dest": "="},
    {"trigger": "close", "source": "lingering", "dest": "draining"},
    {"trigger": "expire", "source": "draining", "dest": "aborting"},
    {"trigger": "finish", "source": ["draining", "aborting"], "dest": "stopped"},
)


class Drain:
    """One planned stop.

    Parameters
    ----------
    bound_s : float
        Longest time for work in flight, in seconds.
    """

    def __init__(self, bound_s: float):
        self._bound_s = bound_s
        self._begun_s = 0.0
        self._machine = Machine(
            self,
            states=["serving", "lingering", "draining", "aborting", "stopped"],
            transitions=list(TRANSITIONS),
            initial="serving",
            auto_transitions=False,
        )

    @property
    def serving(self) -> bool:
        """Whether no stop was asked for."""
        return self.state == "serving"

    def asked(self, now_s: float) -> None:
        """Take in that a stop is asked for; a second time ends the waiting."""
        if self.serving:
            self._begun_s = now_s
        self.stop()

    def advance(self, in_flight: int, now_s: float) -> str:
        """Move on with time; return the state."""
        waited_s = now_s - self._begun_s
        if self.state == "lingering" and waited_s >= min(LINGER_S, self._bound_s):
            self.close()
        elif self.state in ("draining", "aborting") and in_flight == 0:
            self.finish()
        elif self.state == "draining" and waited_s >= self._bound_s:
            self.expire()
        return self.state
