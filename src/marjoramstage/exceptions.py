"""The verdict of a request and the one exception family of the package."""

from __future__ import annotations

import enum


class Verdict(enum.Enum):
    """What is known about the execution of a request.

    Attributes
    ----------
    NOT_RUN
        Proved not to have run: it was never sent, or the target refused it
        before starting. The only verdict after which a request that is not
        idempotent may be sent again.
    RAN
        Proved to have run to its end.
    MAY_HAVE_RUN
        Nothing is proved; every unknown error has this verdict.
    """

    NOT_RUN = "not-run"
    RAN = "ran"
    MAY_HAVE_RUN = "may-have-run"


class MarjoramstageError(Exception):
    """Base of every error that the package raises on purpose."""

    verdict: Verdict = Verdict.MAY_HAVE_RUN


class ConfigError(MarjoramstageError):
    """A settings or inventory file is wrong.

    Parameters
    ----------
    problems : tuple of str
        One line a fault, each with file, line and path; all of them from
        one pass over the file.
    """

    verdict = Verdict.NOT_RUN

    def __init__(self, problems: tuple[str, ...]):
        super().__init__("; ".join(problems))
        self.problems = problems


class RequestError(MarjoramstageError):
    """A request ends without its answer.

    Parameters
    ----------
    status : int
        HTTP status for the caller.
    code : str
        Stable machine-readable name of the reason.
    message : str
        One sentence for a person.
    verdict : Verdict
        Whether the request may have run.
    retry_after_s : float or None
        When the caller should come back, in seconds; only with ``NOT_RUN``.
    """

    def __init__(
        self,
        status: int,
        code: str,
        message: str,
        verdict: Verdict,
        retry_after_s: float | None = None,
    ):
        super().__init__(message)
        self.status = status
        self.code = code
        self.message = message
        self.verdict = verdict
        self.retry_after_s = retry_after_s


class TargetError(MarjoramstageError):
    """One attempt at a target failed.

    Parameters
    ----------
    message : str
        What was seen.
    verdict : Verdict
        Whether the attempt may have run at the target.
    status : int or None
        HTTP status of the target, when it gave one.
    reason : str
        Why the attempt failed, as in `AttemptEnd`.
    """

    def __init__(
        self,
        message: str,
        verdict: Verdict,
        status: int | None = None,
        reason: str = "",
    ):
        super().__init__(message)
        self.verdict = verdict
        self.status = status
        self.reason = reason


class PeerError(MarjoramstageError):
    """A peer could not be reached or sent a frame that cannot be read."""
