"""The rollout service's daemon: gateways and the replicated state group."""

from typing import Final

__version__: Final = "0.1.0"
