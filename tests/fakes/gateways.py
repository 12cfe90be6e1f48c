"""A client that knows several gateways and uses one that answers."""

import json
from typing import Any, Final

from bilberrydrum import runtime

runtime.prepare()

import attrs
import urllib3

# Connections kept to one gateway.
POOL_SIZE: Final = 64


@attrs.frozen
class Answer:
    """The complete answer of a gateway."""

    status: int
    headers: dict[str, str]
    body: bytes
    gateway: str

    def json(self) -> Any:
        """Return the body as JSON."""
        return json.loads(self.body)

    def problem(self) -> dict[str, Any]:
        """Return the problem document, or an empty one if the body is not JSON."""
        try:
            value = json.loads(self.body)
        except ValueError:
            return {}
        return value if isinstance(value, dict) else {}

    def retry_after(self, default: float = 0.2, most: float = 2.0) -> float:
        """Return the seconds to wait before a retry."""
        value = self.problem().get("retry_after_seconds")
        header = self.headers.get("retry-after", str(default))
        return min(most, max(0.05, float(header if value is None else value)))


class GatewayClient:
    """Sends requests to one gateway until it fails, then to the next one."""

    def __init__(
        self, gateways: list[str], token_file: str = "", first: int = 0
    ) -> None:
        self.gateways = gateways
        self._current = first % len(gateways)
        self._headers: dict[str, str] = {}
        if token_file:
            with open(token_file, encoding="utf-8") as file:
                self._headers["Authorization"] = f"Bearer {file.read().strip()}"
        self._pool = urllib3.PoolManager(num_pools=16, maxsize=POOL_SIZE, retries=False)

    @property
    def current(self) -> str:
        """Return the address of the gateway that gets the next request."""
        return self.gateways[self._current]

    def use_next_gateway(self) -> None:
        """Send further requests to the next gateway."""
        self._current = (self._current + 1) % len(self.gateways)

    def request(
        self,
        method: str,
        path: str,
        value: Any = None,
        headers: dict[str, str] | None = None,
        timeout: float = 10.0,
    ) -> Answer | None:
        """Send a request to the current gateway.

        If it fails, return None and use the next gateway from then on. A truncated
        answer is a failure too.
        """
        gateway = self.current
        body = None if value is None else json.dumps(value).encode()
        all_headers = {**self._headers, **(headers or {})}
        if body is not None:
            all_headers["Content-Type"] = "application/json"
        try:
            answer = self._pool.request(
                method,
                f"http://{gateway}{path}",
                body=body,
                headers=all_headers,
                timeout=urllib3.Timeout(connect=1.0, read=timeout),
                redirect=False,
            )
        except (urllib3.exceptions.HTTPError, OSError):
            if self.current == gateway:
                self.use_next_gateway()
            return None
        lower = {name.lower(): text for name, text in answer.headers.items()}
        return Answer(answer.status, lower, answer.data, gateway)
