"""The verdict of a request and the exceptions of the package."""

from __future__ import annotations

import enum


class Verdict(enum.Enum):
    """What is known about the execution of a request at a target.

    Attributes
    ----------
    NOT_RUN
        It is certain that the request did not run: it was never sent, or the
        target refused it before starting. Only after this verdict may a
        request that is not idempotent be sent again.
    RAN
        It is certain that the request ran to its end.
    MAY_HAVE_RUN
        Nothing is certain; every unknown error has this verdict.
    """

    NOT_RUN = "not-run"
    RAN = "ran"
    MAY_HAVE_RUN = "may-have-run"


class MarjoramstageError(Exception):
    """Base class of the exceptions that the package raises."""

    verdict: Verdict = Verdict.MAY_HAVE_RUN


class ConfigError(MarjoramstageError):
    """A settings or inventory file is invalid.

    Parameters
    ----------
    problems : tuple of str
        All problems of the file, one line each, with file, line and path.
    """

    verdict = Verdict.NOT_RUN

    def __init__(self, problems: tuple[str, ...]):
        super().__init__("; ".join(problems))
        self.problems = problems


class RequestError(MarjoramstageError):
    """A request fails; the caller gets an error response.

    Parameters
    ----------
    status : int
        HTTP status of the response.
    code : str
        Stable, machine-readable error code.
    message : str
        Error message for people.
    verdict : Verdict
        Whether the request may have run.
    retry_after_s : float or None
        Time after which the caller should retry, in seconds; only with
        ``NOT_RUN``.
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
    """An attempt at a target failed.

    Parameters
    ----------
    message : str
        Description of the failure.
    verdict : Verdict
        Whether the attempt may have run at the target.
    status : int or None
        HTTP status that the target returned, if any.
    reason : str
        An `AttemptReason`, as in `AttemptEnd`.
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
    """A peer is unreachable or sent an invalid frame."""
