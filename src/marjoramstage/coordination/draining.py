"""State machine of a planned stop of an instance.

States: serving; lingering (not ready but still accepting connections, until the
load balancer has noticed); draining (no new connections, requests in flight
continue); aborting (remaining requests are ended with a verdict); stopped.
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


class DrainStateMachine:
    """State machine of one planned stop.

    Parameters
    ----------
    timeout_s : float
        Time limit for requests in flight, in seconds.
    """

    def __init__(self, timeout_s: float):
        self._timeout_s = timeout_s
        self._requested_at_s = 0.0
        self._machine = Machine(
            self,
            states=["serving", "lingering", "draining", "aborting", "stopped"],
            transitions=list(TRANSITIONS),
            initial="serving",
            auto_transitions=False,
        )

    @property
    def serving(self) -> bool:
        """Whether no stop has been requested."""
        return self.state == "serving"

    def request_stop(self, now_s: float) -> None:
        """Request a stop; a second request aborts what is still in flight."""
        if self.serving:
            self._requested_at_s = now_s
        self.stop()

    def advance(self, in_flight: int, now_s: float) -> str:
        """Make the transition that is due, if any; return the state."""
        waited_s = now_s - self._requested_at_s
        if self.state == "lingering" and waited_s >= min(LINGER_S, self._timeout_s):
            self.close()
        elif self.state in ("draining", "aborting") and in_flight == 0:
            self.finish()
        elif self.state == "draining" and waited_s >= self._timeout_s:
            self.expire()
        return self.state
