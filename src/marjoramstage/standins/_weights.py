"""Weight store that all engine stand-ins of one process load from."""

from __future__ import annotations


class WeightStore:
    """Weight store with a limited rate and a limited bandwidth.

    Parameters
    ----------
    loads_per_s : float
        Number of loads that may begin each second; 0 for no limit.
    full_speed_loads : int
        Number of concurrent loads that run at full speed. With more of them, a
        new load takes longer in proportion.
    """

    def __init__(self, loads_per_s: float = 0.0, full_speed_loads: int = 8):
        self._gap_s = 1 / loads_per_s if loads_per_s > 0 else 0.0
        self._full_speed_loads = full_speed_loads
        self._next_s = 0.0
        self._ends_s: list[float] = []

    def load(self, now_s: float, full_speed_s: float) -> float:
        """Begin a load; return the time until it ends, in seconds.

        The time includes the wait for the load to begin.

        Parameters
        ----------
        full_speed_s : float
            Duration of the load if no others run, in seconds.
        """
        begin_s = max(now_s, self._next_s)
        self._next_s = begin_s + self._gap_s
        self._ends_s = [end_s for end_s in self._ends_s if end_s > begin_s]
        slowdown = max(1.0, (len(self._ends_s) + 1) / self._full_speed_loads)
        end_s = begin_s + full_speed_s * slowdown
        self._ends_s.append(end_s)
        return end_s - now_s
