"""Declare the commands for instances and jobs: maintenance, pools and deferrable work."""

from __future__ import annotations

from typing import Annotated

import typer

from vanillawell.cli_options import WaitOption

maintenance_app = typer.Typer(no_args_is_help=True, help="Run maintenance waves.")
pool_app = typer.Typer(no_args_is_help=True, help="Move instances between pools.")
job_app = typer.Typer(no_args_is_help=True, help="Submit and list deferrable jobs.")


@maintenance_app.command("start")
def maintenance_start(
    context: typer.Context,
    pool: Annotated[list[str] | None, typer.Option(help="Only this pool; may be repeated.")] = None,
    wait: Annotated[
        bool, typer.Option("--wait", help="Print progress until the wave completes.")
    ] = False,
) -> None:
    """Reboot every instance once. Example: vanillawell maintenance start --wait."""
    from vanillawell.commands.maintenance import start

    start(context.obj, pool or [], wait)


@maintenance_app.command("pause")
def maintenance_pause(context: typer.Context) -> None:
    """Pause the wave: begin no further steps; those in progress complete."""
    from vanillawell.commands.maintenance import set_state
    from vanillawell.state.pools import WaveState

    set_state(context.obj, WaveState.PAUSED)


@maintenance_app.command("resume")
def maintenance_resume(context: typer.Context) -> None:
    """Resume a paused wave."""
    from vanillawell.commands.maintenance import set_state
    from vanillawell.state.pools import WaveState

    set_state(context.obj, WaveState.RUNNING)


@maintenance_app.command("status")
def maintenance_status(
    context: typer.Context,
    wait: Annotated[
        bool, typer.Option("--wait", help="Print progress until the wave completes.")
    ] = False,
) -> None:
    """Show the wave and every instance that is not serving in its home pool."""
    from vanillawell.commands.maintenance import show

    show(context.obj, wait)


@job_app.command("submit")
def job_submit(
    context: typer.Context,
    organisation: str,
    kind: str,
    core_seconds: Annotated[float, typer.Option(help="Declared amount of work in core-seconds.")],
    within: Annotated[float, typer.Option(help="Seconds until the job must be done.")],
    cores: Annotated[float, typer.Option(help="Declared number of cores.")] = 1.0,
) -> None:
    """Add a job. Example: job submit guild rebuild --core-seconds 7200 --within 28800."""
    from vanillawell.commands.jobs import submit

    submit(context.obj, organisation, kind, core_seconds, cores, within)


@job_app.command("list")
def job_list(context: typer.Context) -> None:
    """Show all jobs."""
    from vanillawell.commands.jobs import show

    show(context.obj)


@pool_app.command("add")
def pool_add(
    context: typer.Context,
    instance: str,
    pool: str,
    address: Annotated[str, typer.Option(help="IP:PORT on which the instance accepts requests.")],
    zone: Annotated[str, typer.Option()],
    rack: Annotated[str, typer.Option()],
    wait: WaitOption = False,
) -> None:
    """Add an instance to its home pool."""
    from vanillawell.commands.config import PushOptions
    from vanillawell.commands.nodes import add_instance

    add_instance(context.obj, pool, instance, (address, zone, rack), PushOptions(wait=wait))


@pool_app.command("move")
def pool_move(context: typer.Context, instance: str, pool: str) -> None:
    """Drain an instance and move it to another pool. Example: pool move spare-1 pool-check."""
    from vanillawell.commands.maintenance import move

    move(context.obj, instance, pool)
