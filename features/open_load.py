"""Callers that send requests to instances at a steady rate, whatever is answered."""

import asyncio
import random
import time
from dataclasses import dataclass

import aiohttp

from features.entry_deployment import HOST

DEADLINE_MS = 5000


@dataclass(frozen=True)
class Sent:
    """One request and how it ended; times as of `time.monotonic`."""

    request_id: str
    instance: str
    sent_s: float
    ended_s: float
    status: int
    retry_after: str = ""
    has_limit: bool = False

    @property
    def took_s(self):
        return self.ended_s - self.sent_s


@dataclass(frozen=True)
class OpenLoad:
    """Requests to one path at a rate.

    Attributes
    ----------
    favourite_share : float
        Share of them that goes to the first instance, beyond its even part.
    key : str
        Key of the customer; each customer's load has ids of its own by the seed.
    """

    path: str
    per_s: float
    model: str = ""
    favourite_share: float = 0.0
    seed: int = 1
    key: str = ""

    def send_for(self, ips, for_s, events=()):
        """Send requests for a while; return them.

        Parameters
        ----------
        ips : dict
            Addresses of the instances by name.
        events : sequence of pairs
            What is called, and how many seconds after the start.
        """
        return asyncio.run(self._run(dict(ips), for_s, events))

    async def _run(self, ips, for_s, events):
        loop = asyncio.get_running_loop()
        rng = random.Random(self.seed)
        for at_s, call in events:
            loop.call_later(at_s, loop.run_in_executor, None, call)
        found, names, number = [], list(ips), 0
        until_s = loop.time() + for_s
        connector = aiohttp.TCPConnector(limit=0, force_close=True)
        timeout = aiohttp.ClientTimeout(total=DEADLINE_MS * 0.001 + 1)
        async with (
            aiohttp.ClientSession(connector=connector, timeout=timeout) as session,
            asyncio.TaskGroup() as group,
        ):
            while loop.time() < until_s:
                number += 1
                favoured = rng.random() < self.favourite_share
                name = names[0] if favoured else rng.choice(names)
                request_id = f"{self.seed - 1:04x}{number:012x}"
                group.create_task(
                    self._send(session, ips[name], name, request_id, found)
                )
                await asyncio.sleep(rng.expovariate(self.per_s))
        return found

    async def _send(self, session, ip, name, request_id, found):
        headers = {
            "Host": HOST,
            "Deadline-Ms": str(DEADLINE_MS),
            "Request-Id": request_id,
        }
        if self.key:
            headers["Authorization"] = f"Bearer {self.key}"
        if self.model:
            headers |= {"Model": self.model, "Tokens": "20,5"}
        sent_s, status, retry_after, has_limit = time.monotonic(), 0, "", False
        url = f"http://{ip}:8149{self.path}"
        try:
            async with session.post(url, data=b"x", headers=headers) as resp:
                status = resp.status
                retry_after = resp.headers.get("Retry-After", "")
                has_limit = "Server-Limit" in resp.headers
                await resp.read()
        except (aiohttp.ClientError, TimeoutError):
            status = 0
        ended_s = time.monotonic()
        found.append(
            Sent(request_id, name, sent_s, ended_s, status, retry_after, has_limit)
        )
