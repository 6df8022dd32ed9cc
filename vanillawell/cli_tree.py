"""Declare the commands that change the operators' tree: nodes, keys and evacuations."""

from __future__ import annotations

from typing import Annotated, cast

import typer

from vanillawell.cli_options import DryRunOption, NoteOption, WaitBoundOption, WaitOption

node_app = typer.Typer(
    no_args_is_help=True, help="Create and change organisations, pools and groups."
)
key_app = typer.Typer(no_args_is_help=True, help="Grant and withdraw organisation keys.")
zone_app = typer.Typer(no_args_is_help=True, help="Evacuate availability zones.")


@node_app.command("create")
def node_create(
    context: typer.Context,
    name: str,
    kind: Annotated[str, typer.Option(help="region, zone, group, organisation or pool")],
    parent: Annotated[str, typer.Option()] = "fleet",
    service: Annotated[str | None, typer.Option(help="Service that a pool runs.")] = None,
    settings: Annotated[list[str] | None, typer.Option("--set", help="KEY=VALUE")] = None,
    wait: WaitOption = False,
    dry_run: DryRunOption = False,
) -> None:
    """Add a node. Example: vanillawell node create guild --kind organisation --set limit=40."""
    from vanillawell.commands.config import PushOptions
    from vanillawell.commands.nodes import create
    from vanillawell.config.tree import Kind

    options = PushOptions(wait=wait, dry_run=dry_run)
    create(context.obj, name, cast(Kind, kind), parent, settings or [], service, options)


@node_app.command("set")
def node_set(
    context: typer.Context,
    name: str,
    settings: Annotated[
        list[str], typer.Argument(help="KEY=VALUE; null restores the inherited value.")
    ],
    wait: WaitOption = False,
    dry_run: DryRunOption = False,
) -> None:
    """Change settings of a node. Example: vanillawell node set guild limit=60 share=2."""
    from vanillawell.commands.config import PushOptions
    from vanillawell.commands.nodes import change_settings

    change_settings(context.obj, name, settings, PushOptions(wait=wait, dry_run=dry_run))


@node_app.command("remove")
def node_remove(
    context: typer.Context, name: str, wait: WaitOption = False, dry_run: DryRunOption = False
) -> None:
    """Remove a node that has no descendants."""
    from vanillawell.commands.config import PushOptions
    from vanillawell.commands.nodes import remove

    remove(context.obj, name, PushOptions(wait=wait, dry_run=dry_run))


@key_app.command("grant")
def key_grant(
    context: typer.Context, organisation: str, key_id: str, wait: WaitOption = False
) -> None:
    """Create a key and print it once. Example: vanillawell key grant guild 2026-12."""
    from vanillawell.commands.config import PushOptions
    from vanillawell.commands.nodes import grant_key

    grant_key(context.obj, organisation, key_id, PushOptions(wait=wait))


@key_app.command("withdraw")
def key_withdraw(
    context: typer.Context, organisation: str, key_id: str, wait: WaitOption = False
) -> None:
    """Withdraw a key. Example: vanillawell key withdraw guild 2026-12 --wait."""
    from vanillawell.commands.config import PushOptions
    from vanillawell.commands.nodes import withdraw_key

    withdraw_key(context.obj, organisation, key_id, PushOptions(wait=wait))


@zone_app.command("evacuate")
def zone_evacuate(
    context: typer.Context,
    zone: str,
    reason: Annotated[str, typer.Option(help="Why, kept with the evacuation.")] = "",
    wait: WaitOption = False,
    dry_run: DryRunOption = False,
) -> None:
    """Send nothing more to a zone's instances. Example: zone evacuate riga-a --reason cooling."""
    from vanillawell.commands.config import PushOptions
    from vanillawell.commands.zones import evacuate

    evacuate(context.obj, zone, PushOptions(note=reason, wait=wait, dry_run=dry_run))


@zone_app.command("take-back")
def zone_take_back(
    context: typer.Context,
    zone: str,
    reason: NoteOption = "",
    wait: WaitOption = False,
    dry_run: DryRunOption = False,
) -> None:
    """End the evacuation of a zone."""
    from vanillawell.commands.config import PushOptions
    from vanillawell.commands.zones import take_back

    take_back(context.obj, zone, PushOptions(note=reason, wait=wait, dry_run=dry_run))


@zone_app.command("list")
def zone_list(context: typer.Context) -> None:
    """Show evacuated zones: who, why, since when, and the requests that still run there."""
    from vanillawell.commands.zones import show

    show(context.obj)


@zone_app.command("wait")
def zone_wait(context: typer.Context, zone: str, within: WaitBoundOption = 30.0) -> None:
    """Wait until nothing runs in an evacuated zone."""
    from vanillawell.commands.zones import wait_until_idle

    wait_until_idle(context.obj, zone, within)
