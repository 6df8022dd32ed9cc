"""Validate a complete operators' tree and collect all errors and warnings."""

from __future__ import annotations

import itertools
from collections import Counter
from dataclasses import dataclass
from typing import TYPE_CHECKING

from vanillawell.config.effective import effective_value
from vanillawell.config.tree import ROOT

if TYPE_CHECKING:
    from collections.abc import Iterator

    from vanillawell.config.tree import OperatorTree


@dataclass(frozen=True, slots=True)
class Finding:
    """One problem and the key that it concerns."""

    key: str
    reason: str

    def __str__(self) -> str:
        return f"{self.key}: {self.reason}"


@dataclass(frozen=True, slots=True)
class Findings:
    """All problems of one tree; only errors prevent its acceptance."""

    errors: tuple[Finding, ...]
    warnings: tuple[Finding, ...]


def check_tree(tree: OperatorTree) -> Findings:
    """Run all checks on a tree; other checks are skipped if its structure is invalid."""
    structure = (*_check_parents(tree), *_check_cycles(tree))
    if structure:
        return Findings(structure, ())
    errors = (
        *_check_kinds(tree),
        *_check_instances(tree),
        *_check_limits(tree),
        *_check_budgets(tree),
        *_check_services(tree),
        *_check_keys(tree),
        *_check_evacuations(tree),
    )
    return Findings(errors, tuple(_find_warnings(tree)))


def _check_parents(tree: OperatorTree) -> Iterator[Finding]:
    if ROOT not in tree.nodes:
        yield Finding("nodes", f"the root node {ROOT!r} is missing")
    for name, node in tree.nodes.items():
        if name == ROOT and node.parent is not None:
            yield Finding(f"nodes.{name}.parent", "the root has no parent")
        if name != ROOT and node.parent is None:
            yield Finding(f"nodes.{name}.parent", "a parent is required")
        if node.parent is not None and node.parent not in tree.nodes:
            yield Finding(f"nodes.{name}.parent", f"no node is named {node.parent!r}")


def _check_cycles(tree: OperatorTree) -> Iterator[Finding]:
    for name in tree.nodes:
        last = tree.nodes[tree.ancestry(name)[-1]]
        if last.parent is not None and last.parent in tree.nodes:
            yield Finding(f"nodes.{name}.parent", "the chain of parents runs in a cycle")


def _check_kinds(tree: OperatorTree) -> Iterator[Finding]:
    for name, node in tree.nodes.items():
        if node.keys and node.kind != "organisation":
            yield Finding(f"nodes.{name}.keys", "only an organisation has keys")
        if (node.instances or node.service) and node.kind != "pool":
            yield Finding(f"nodes.{name}", "only a pool has instances or a service")


def _check_instances(tree: OperatorTree) -> Iterator[Finding]:
    named = ((inst, pool) for pool, node in tree.of_kind("pool").items() for inst in node.instances)
    for instance, group in itertools.groupby(sorted(named), key=lambda pair: pair[0]):
        pools = [pool for _, pool in group]
        if len(pools) > 1:
            yield Finding(f"nodes.{pools[1]}.instances.{instance}", f"is also in {pools[0]!r}")


def _check_limits(tree: OperatorTree) -> Iterator[Finding]:
    for organisation in tree.of_kind("organisation"):
        limit = effective_value(tree, organisation, "limit")
        guaranteed = effective_value(tree, organisation, "guaranteed")
        if limit.value < guaranteed.value:
            reason = f"{limit.value} (from {limit.level}) is below the guaranteed share of "
            reason += f"{guaranteed.value} (from {guaranteed.level})"
            yield Finding(f"nodes.{organisation}.settings.limit", reason)


def _check_budgets(tree: OperatorTree) -> Iterator[Finding]:
    for name, node in tree.of_kind("pool").items():
        budget = effective_value(tree, name, "budget").value
        if node.service is not None and budget > len(node.instances):
            reason = f"{budget} is more than the pool's {len(node.instances)} instances"
            yield Finding(f"nodes.{name}.settings.budget", reason)


def _check_services(tree: OperatorTree) -> Iterator[Finding]:
    services = Counter(node.service for node in tree.of_kind("pool").values() if node.service)
    for service, count in services.items():
        if count > 1:
            yield Finding("nodes", f"service {service!r} is run by {count} pools")


def _check_keys(tree: OperatorTree) -> Iterator[Finding]:
    hashes = Counter(
        key.sha256 for node in tree.of_kind("organisation").values() for key in node.keys.values()
    )
    for digest, count in hashes.items():
        if count > 1:
            yield Finding("nodes", f"{count} keys share the hash {digest[:12]}…")


def _check_evacuations(tree: OperatorTree) -> Iterator[Finding]:
    for zone in sorted(tree.evacuations.keys() - tree.zones()):
        yield Finding(f"evacuations.{zone}", "no instance stands in this availability zone")


def _find_warnings(tree: OperatorTree) -> Iterator[Finding]:
    for name, node in tree.of_kind("organisation").items():
        if not any(not key.withdrawn for key in node.keys.values()):
            yield Finding(f"nodes.{name}.keys", "the organisation has no key in force")
        if effective_value(tree, name, "limit").value == 0:
            yield Finding(
                f"nodes.{name}.settings.limit", "is 0, so nothing of the organisation runs"
            )
    if tree.evacuations and tree.evacuations.keys() >= tree.zones():
        yield Finding("evacuations", "all availability zones are evacuated, so nothing runs")
