"""Runs many small plays, called cells, and fails with the problems that they find."""

import asyncio
import logging

# Each cell has sockets of its own.
MAX_CONCURRENT_CELLS = 24
CELL_TIMEOUT_S = 30.0


def check_cells(cells):
    """Run cells, coroutines that return a problem or an empty text, without logs."""
    logging.disable(logging.CRITICAL)
    try:
        found = asyncio.run(_gather(cells))
    finally:
        logging.disable(logging.NOTSET)
    wrong = [problem for problem in found if problem]
    assert not wrong, f"\n{len(wrong)} of {len(found)}:\n" + "\n".join(wrong)


async def _gather(cells):
    gate = asyncio.Semaphore(MAX_CONCURRENT_CELLS)

    async def run(cell):
        async with gate, asyncio.timeout(CELL_TIMEOUT_S):
            return await cell

    return await asyncio.gather(*(run(cell) for cell in cells))
