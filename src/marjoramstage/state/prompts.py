"""Parts of prompts."""

from __future__ import annotations

from dataclasses import dataclass


@dataclass(frozen=True)
class PromptPart:
    """A part of a prompt that other prompts may share.

    Attributes
    ----------
    id : str
        Identity of its text.
    tokens : int
        Its size.
    """

    id: str
    tokens: int
