"""Orders: commands from a router to runners, on groups and weights."""

from __future__ import annotations


class GroupOrder:
    """Base class of all orders, which are commands to one runner."""

    __slots__ = ()


class StageModel(GroupOrder):
    """Orders the runner to load the weights of a model onto its host.

    Attributes:
        model: Name of the model.
    """

    __slots__ = ("model",)

    def __init__(self, model: str) -> None:
        self.model = model


class MembershipOrder(GroupOrder):
    """Base class of the orders that concern one group of runners.

    Attributes:
        group: Name of the group.
        epoch: Epoch that the group was formed with.
    """

    __slots__ = ("epoch", "group")

    def __init__(self, group: str, *, epoch: int) -> None:
        self.group = group
        self.epoch = epoch

    @property
    def key(self) -> tuple[str, int]:
        """Returns the name and epoch, which identify the group."""
        return (self.group, self.epoch)


class JoinGroup(MembershipOrder):
    """Orders the runner to become a member of a group.

    Attributes:
        model: Name of the model that the group serves.
        member_ids: Runner ids of all members, sorted by rank; the head (rank 0)
            comes first.
    """

    __slots__ = ("member_ids", "model")

    def __init__(
        self,
        group: str,
        *,
        epoch: int,
        model: str,
        member_ids: tuple[str, ...],
    ) -> None:
        super().__init__(group, epoch=epoch)
        self.model = model
        self.member_ids = member_ids


class OpenGroup(MembershipOrder):
    """Orders the head to start to accept requests for its group."""

    __slots__ = ()


class CloseGroup(MembershipOrder):
    """Orders the head to finish its requests and accept no new ones."""

    __slots__ = ()


class LeaveGroup(MembershipOrder):
    """Orders the runner to leave the group at once."""

    __slots__ = ()
