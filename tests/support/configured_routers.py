"""A simulated fleet of routers with the real configuration controller."""

from __future__ import annotations

from typing import TYPE_CHECKING

from mulberrypaddle.blackboard import keys
from mulberrypaddle.controllers.configuration import (
    ConfigurationController,
    ConfigurationOptions,
)
from mulberrypaddle.operators.document_writer import DocumentWriter
from tests.support.routers import Routers

if TYPE_CHECKING:
    from returns.result import Result

    from mulberrypaddle.controllers import Context, Controller
    from mulberrypaddle.core.errors import Problem

KEY = "config/data-centres/south"


def document(state: str, *, name: str = "south") -> str:
    """Returns the configuration document of a data centre."""
    return f"data_centre: {name}\nstate: {state}\n"


class ConfiguredRouters(Routers):
    """Simulated routers through which operators change configuration.

    Attributes:
        answers: Results of the submitted changes, in order of completion.
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
            """Returns the controllers that each router has in addition."""
            configuration = ConfigurationController(context, options=config)
            return [
                configuration,
                DocumentWriter(context, on_accepted=configuration.accept),
            ]

        super().__init__(count, more=more, seed=seed, loss=loss)
        self.store.write(KEY, document("in").encode(), expected_version=0)

    def submit(
        self, member_id: str, text: str, *, expected_version: int
    ) -> None:
        """Submits the document of data centre `south` to a router.

        Args:
            member_id: Router that receives the change.
            text: New content of the document.
            expected_version: Version that the stored document must have.
        """
        apply = self.nodes[member_id].controllers[2]
        assert isinstance(apply, DocumentWriter)
        apply.submit(
            KEY,
            text,
            expected_version=expected_version,
            reply=self.answers.append,
        )

    def version(self, member_id: str, key: str = KEY) -> int:
        """Returns the version of a document in force at a router, or zero."""
        node = self.nodes[member_id]
        entry = node.context.board.entry(keys.CONFIGURATION)
        return 0 if entry is None else entry.value.versions.get(key, 0)

    def is_ready(self, member_id: str) -> bool:
        """Returns whether a router has a configuration."""
        board = self.nodes[member_id].context.board
        return board.entry(keys.CONFIGURATION) is not None

    def routers_in_force(self, version: int) -> list[str]:
        """Returns the routers at which this version or a later one applies."""
        return [name for name in self.nodes if self.version(name) >= version]
