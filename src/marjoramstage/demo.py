"""Runs the whole system in one process, as a demonstration."""

from __future__ import annotations

from importlib import resources

from marjoramstage.clock import SystemClock
from marjoramstage.instance import Instance
from marjoramstage.protocol.messages import Target, TargetKind
from marjoramstage.settings import Limits, Listen, Settings
from marjoramstage.standins._register import register_targets
from marjoramstage.standins.engine import EngineFaults, EngineStandin
from marjoramstage.standins.platform import PlatformStandin
from marjoramstage.standins.service import ServiceStandin
from marjoramstage.state.inventory import parse_inventory

DATA_CENTRE = "local"
NAMESPACE = "marjoramstage"
LOAD_DURATION_S = 0.2
TOKEN_INTERVAL_S = 0.02
CREDENTIAL = "demo-credential"

CURL_LINES = """\
A streamed answer:
  curl -sN http://{callers}/v1/chat/completions \
-H 'Authorization: Bearer {credential}' \
-d '{{"model": "assistant:rooms", "stream": true, "max_tokens": 8, \
"messages": [{{"role": "user", "content": "Which halls are free?"}}]}}'
A booking, which may not be repeated:
  curl -s http://{callers}/services/booking/bookings \
-H 'Authorization: Bearer {credential}' \
-H 'Idempotency-Key: first-booking' -d '{{"hall": "A1"}}'
The state of the instance:
  curl -s http://{operators}/dump
"""


class Demo:
    """A platform, two engines, a service and an instance on loopback.

    Parameters
    ----------
    listen : Listen
        Addresses of the instance.
    """

    def __init__(self, listen: Listen):
        faults = EngineFaults(load_s=LOAD_DURATION_S, token_s=TOKEN_INTERVAL_S)
        self._listen = listen
        self._clock = SystemClock()
        self._platform = PlatformStandin("127.0.0.1:0")
        self._target_standins = [
            (TargetKind.ENGINE, EngineStandin("e1", "127.0.0.1:0", faults=faults)),
            (TargetKind.ENGINE, EngineStandin("e2", "127.0.0.1:0", faults=faults)),
            (TargetKind.SERVICE, ServiceStandin("s1", "127.0.0.1:0")),
        ]
        self._instance: Instance | None = None

    async def start(self) -> None:
        """Start every component and apply the demo inventory."""
        await self._platform.start()
        for _, standin in self._target_standins:
            await standin.start()
        await self._register_targets()
        settings = Settings(
            name="demo",
            data_centre=DATA_CENTRE,
            platform=self._platform.address,
            namespace=NAMESPACE,
            listen=self._listen,
            limits=Limits(),
            log_level="warning",
        )
        self._instance = Instance(settings)
        await self._instance.start()
        text = resources.files("marjoramstage").joinpath("demo.yaml").read_text()
        await self._instance.apply(parse_inventory(text, "demo.yaml"))

    async def stop(self) -> None:
        """Stop every component."""
        if self._instance is not None:
            await self._instance.stop()
        for _, standin in self._target_standins:
            await standin.stop()
        await self._platform.stop()

    def help_text(self) -> str:
        """Return the curl commands to try, with the addresses of this demo."""
        return CURL_LINES.format(
            callers=self._instance.caller_address,
            operators=self._instance.operator_address,
            credential=CREDENTIAL,
        )

    async def wait_until_serving(self) -> None:
        """Wait until the model and the adapter of the curl commands are loaded."""
        while not self._can_serve():
            await self._clock.sleep(LOAD_DURATION_S)

    def _can_serve(self) -> bool:
        dump = self._instance.dump()
        ready = {name for target in dump["targets"] for name in target["ready"]}
        return {"assistant@1", "rooms@1"} <= ready

    async def _register_targets(self) -> None:
        targets = [
            Target(standin.name, DATA_CENTRE, kind, standin.address)
            for kind, standin in self._target_standins
        ]
        await register_targets(self._platform.address, NAMESPACE, targets)
