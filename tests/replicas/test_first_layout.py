"""The groups of the first start."""

from __future__ import annotations

import testtools

from mulberrypaddle.fleet import RunnerEntry
from mulberrypaddle.replicas.first_layout import choose_first_groups
from mulberrypaddle.replicas.placement import Formation, ModelDemand
from tests.support.group_fleet import make_traits

TRAITS = make_traits()


def _fleet(*, data_centres: int, domains: int, size: int) -> list[RunnerEntry]:
    return [
        RunnerEntry(
            f"r{d:02}-{n:02}",
            born_ms=1,
            service="cards",
            address="127.0.0.1:1",
            data_centre=f"dc{d % data_centres}",
            slots=9,
            draining=False,
            domain=f"d{d}",
        )
        for d in range(domains)
        for n in range(size)
    ]


def _lay_out(
    free: list[RunnerEntry], formed: list[Formation] | None = None
) -> list[Formation]:
    formed = formed or []
    demands = []
    for spec in TRAITS.models.values():
        groups = sum(formation.spec is spec for formation in formed)
        demands.append(ModelDemand(spec, wanted_slots=1.0, groups=groups))
    return choose_first_groups(
        free,
        formed=[(f.spec, m) for f in formed for m in f.members],
        traits=TRAITS,
        demands=demands,
    )


class FirstLayoutTest(testtools.TestCase):
    """Where groups go before traffic."""

    def test_each_model_has_its_share(self) -> None:
        chosen = _lay_out(_fleet(data_centres=3, domains=6, size=10))
        names = [formation.spec.name for formation in chosen]
        # Half of the runners, less what is kept to repair with.
        self.assertGreaterEqual(names.count("large"), 6)
        self.assertGreaterEqual(names.count("small"), 13)

    def test_domains_hold_one_model_where_the_shares_allow(self) -> None:
        chosen = _lay_out(_fleet(data_centres=3, domains=6, size=10))
        models: dict[str, set[str]] = {}
        for formation in chosen:
            for member in formation.members:
                names = models.setdefault(member.domain, set())
                names.add(formation.spec.name)
        self.assertEqual(6, len(models))
        self.assertEqual([1] * 6, [len(names) for names in models.values()])

    def test_data_centres_hold_a_part_of_each_model(self) -> None:
        for domains in (6, 9, 12):
            chosen = _lay_out(_fleet(data_centres=3, domains=domains, size=10))
            for name in TRAITS.models:
                held = [
                    formation.members[0].data_centre
                    for formation in chosen
                    if formation.spec.name == name
                ]
                counts = [held.count(f"dc{n}") for n in range(3)]
                self.assertLessEqual(max(counts), 2 * min(counts), name)

    def test_domain_of_large_groups_keeps_spares(self) -> None:
        free = _fleet(data_centres=3, domains=6, size=10)
        chosen = _lay_out(free)
        taken: dict[str, int] = {}
        large = set()
        for formation in chosen:
            domain = formation.members[0].domain
            taken[domain] = taken.get(domain, 0) + formation.spec.size
            if formation.spec.name == "large":
                large.add(domain)
        for domain in large:
            self.assertLessEqual(taken[domain], 8)

    def test_layout_once_chosen_stays(self) -> None:
        free = _fleet(data_centres=3, domains=6, size=10)
        chosen = _lay_out(free)
        taken = {m.runner_id for f in chosen for m in f.members}
        left = [runner for runner in free if runner.runner_id not in taken]
        self.assertEqual([], _lay_out(left, chosen))

    def test_spares_of_large_groups_come_out_of_their_share(self) -> None:
        for domains in range(6, 13):
            free = _fleet(data_centres=3, domains=domains, size=10)
            chosen = _lay_out(free)
            large = [f for f in chosen if f.spec.name == "large"]
            homes = {formation.members[0].domain for formation in large}
            held = 4 * len(large) + 2 * len(homes)
            # A domain is whole or not at all, up to one group.
            self.assertLessEqual(held, len(free) / 2 + 4)
