"""Times of the configuration and the switches of its protections."""

from __future__ import annotations

CONFIG_PREFIX = "config/"
POLL_SECONDS = 1.0
# Without word from the region's reader for this long, a router reads itself.
FALLBACK_SECONDS = 3.0
DIGEST_SECONDS = 1.0
# A router that does not serve yet compares this often.
START_DIGEST_SECONDS = 0.3
# A starting router waits this long for a peer's digest.
PEER_WAIT_SECONDS = 3.0
MIN_BACKOFF_SECONDS = 0.5
MAX_BACKOFF_SECONDS = 10.0
# Above this many members all periods are doubled.
MANY_MEMBERS = 64


class ConfigurationOptions:
    """Switches that tests and benchmarks set.

    Attributes:
        refuse_older: Whether an older version of a key is refused.
        spread: Whether one router reads for all; otherwise each polls.
        ask_peers: Whether a starting router asks a peer before it serves.
    """

    __slots__ = ("ask_peers", "refuse_older", "spread")

    def __init__(
        self,
        *,
        refuse_older: bool = True,
        spread: bool = True,
        ask_peers: bool = True,
    ) -> None:
        self.refuse_older = refuse_older
        self.spread = spread
        self.ask_peers = ask_peers
