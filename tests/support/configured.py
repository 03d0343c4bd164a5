"""A fake fleet of routers with the real configuration controller."""

from __future__ import annotations

from typing import TYPE_CHECKING

from mulberrypaddle.blackboard import keys
from mulberrypaddle.controllers.configuration import (
    ConfigurationController,
    ConfigurationOptions,
)
from mulberrypaddle.operators.apply import Apply
from tests.support.routers import Routers

if TYPE_CHECKING:
    from returns.result import Result

    from mulberrypaddle.controllers import Context, Controller
    from mulberrypaddle.core.errors import Problem

KEY = "config/data-centres/south"


def document(state: str, *, name: str = "south") -> str:
    """Returns a data centre's document."""
    return f"data_centre: {name}\nstate: {state}\n"


class Configured(Routers):
    """Operators change documents through any router.

    Attributes:
        answers: What the operators were told, in order.
    """

    def __init__(
        self,
        count: int = 7,
        *,
        config: ConfigurationOptions | None = None,
        seed: int = 0,
        loss: float = 0.0,
    ) -> None:
        self.answers: list[Result[int, Problem]] = []

        def more(context: Context) -> list[Controller]:
            configuration = ConfigurationController(context, options=config)
            return [
                configuration,
                Apply(context, accepted=configuration.accept),
            ]

        super().__init__(count, more=more, seed=seed, loss=loss)
        self.store.write(KEY, document("in").encode(), expected_version=0)

    def submit(
        self, member_id: str, text: str, *, expected_version: int
    ) -> None:
        """Submits a change through a router."""
        apply = self.nodes[member_id].controllers[2]
        assert isinstance(apply, Apply)
        apply.submit(
            KEY,
            text,
            expected_version=expected_version,
            reply=self.answers.append,
        )

    def version(self, member_id: str, key: str = KEY) -> int:
        """Returns the version in force at a router; zero for none."""
        node = self.nodes[member_id]
        entry = node.context.board.entry(keys.CONFIGURATION)
        return 0 if entry is None else entry.value.versions.get(key, 0)

    def is_ready(self, member_id: str) -> bool:
        board = self.nodes[member_id].context.board
        return board.entry(keys.CONFIGURATION) is not None

    def in_force(self, version: int) -> list[str]:
        """Returns the routers at which at least a version is in force."""
        return [name for name in self.nodes if self.version(name) >= version]
