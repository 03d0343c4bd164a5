"""Orders that form and end groups."""

from __future__ import annotations


class GroupOrder:
    """Base of all orders."""

    __slots__ = ()


class StageModel(GroupOrder):
    """Loads the weights of a model onto the runner's host."""

    __slots__ = ("model",)

    def __init__(self, model: str) -> None:
        self.model = model


class MembershipOrder(GroupOrder):
    """Base of the orders that name a group.

    Attributes:
        group: Name of the group.
        epoch: Epoch that it was formed with.
    """

    __slots__ = ("epoch", "group")

    def __init__(self, group: str, *, epoch: int) -> None:
        self.group = group
        self.epoch = epoch


class JoinGroup(MembershipOrder):
    """Makes the runner a member.

    Attributes:
        model: Model that the group serves.
        member_ids: All members, the head first.
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
    """Lets the head serve."""

    __slots__ = ()


class CloseGroup(MembershipOrder):
    """Lets the head serve what it has, and nothing new."""

    __slots__ = ()


class LeaveGroup(MembershipOrder):
    """Ends the runner's membership at once."""

    __slots__ = ()
