"""Declare the operators' commands; each imports its implementation only when it runs."""

from __future__ import annotations

import sys
from pathlib import Path
from typing import Annotated, cast

import typer

from vanillawell.commands.context import CommandContext, OutputFormat
from vanillawell.exceptions import VanillawellError

app = typer.Typer(no_args_is_help=True, help="Operate a vanillawell fleet.")
config_app = typer.Typer(no_args_is_help=True, help="Push, show and restore configurations.")
node_app = typer.Typer(
    no_args_is_help=True, help="Create and change organisations, pools and groups."
)
key_app = typer.Typer(no_args_is_help=True, help="Grant and withdraw organisation keys.")
maintenance_app = typer.Typer(no_args_is_help=True, help="Run maintenance waves.")
pool_app = typer.Typer(no_args_is_help=True, help="Move instances between pools.")
job_app = typer.Typer(no_args_is_help=True, help="Submit and list deferrable jobs.")
zone_app = typer.Typer(no_args_is_help=True, help="Evacuate availability zones.")
report_app = typer.Typer(no_args_is_help=True, help="Report on service levels.")
settings_app = typer.Typer(no_args_is_help=True, help="Check daemon settings.")
app.add_typer(config_app, name="config")
app.add_typer(node_app, name="node")
app.add_typer(key_app, name="key")
app.add_typer(maintenance_app, name="maintenance")
app.add_typer(pool_app, name="pool")
app.add_typer(job_app, name="job")
app.add_typer(zone_app, name="zone")
app.add_typer(report_app, name="report")
app.add_typer(settings_app, name="settings")

WaitOption = Annotated[
    bool, typer.Option("--wait", help="Wait until all entries confirm the change.")
]
WaitBoundOption = Annotated[float, typer.Option(help="Maximum seconds to wait.")]
DryRunOption = Annotated[
    bool, typer.Option("--dry-run", help="Check and show the change without applying it.")
]
NoteOption = Annotated[str, typer.Option(help="Reason for the change, kept in the history.")]
BaseOption = Annotated[int | None, typer.Option(help="Version that the change is based on.")]


@app.callback()
def prepare(
    context: typer.Context,
    store: Annotated[
        str, typer.Option(envvar="VANILLAWELL_STORE", help="Address of the store, as IP:PORT.")
    ] = "127.0.0.1:2379",
    prefix: Annotated[str, typer.Option(envvar="VANILLAWELL_PREFIX")] = "/vanillawell",
    output: Annotated[OutputFormat, typer.Option(help="Format of the results.")] = (
        OutputFormat.TABLE
    ),
    store_user: Annotated[
        str, typer.Option(envvar="VANILLAWELL_STORE_USER", help="User name for the store.")
    ] = "",
    store_password_file: Annotated[
        Path | None, typer.Option(envvar="VANILLAWELL_STORE_PASSWORD_FILE")
    ] = None,
    store_tls: Annotated[
        bool,
        typer.Option(
            "--store-tls", envvar="VANILLAWELL_STORE_TLS", help="Connect to the store over TLS."
        ),
    ] = False,
    authorities: Annotated[
        Path | None,
        typer.Option(
            envvar="VANILLAWELL_AUTHORITIES",
            help="PEM file with the authorities for the certificates of admin ports and store.",
        ),
    ] = None,
    admin_token_file: Annotated[
        Path | None,
        typer.Option(
            envvar="VANILLAWELL_ADMIN_TOKEN_FILE",
            help="File with the access token of the admin ports.",
        ),
    ] = None,
) -> None:
    """Collect the options that all commands share."""
    context.obj = CommandContext(
        store,
        prefix,
        output,
        user=store_user,
        password_file=store_password_file,
        authorities=authorities,
        store_by_tls=store_tls,
        admin_token_file=admin_token_file,
    )


@app.command()
def status(context: typer.Context) -> None:
    """Show entries, organisations and pools."""
    from vanillawell.commands.status import show_status

    show_status(context.obj)


@settings_app.command("check")
def settings_check(context: typer.Context, file: Path) -> None:
    """Check a daemon's settings file. Example: vanillawell settings check entry.jsonc."""
    from vanillawell.commands.settings import check

    check(context.obj, file)


@settings_app.command("reference")
def settings_reference() -> None:
    """Print the reference of all settings as Markdown."""
    from vanillawell.commands.reference import print_reference

    print_reference()


@app.command("explain")
def explain(
    context: typer.Context,
    files: Annotated[list[Path], typer.Argument(help="Log files of all processes.", exists=True)],
    request: Annotated[
        str, typer.Option("--id", help="Id of a job or request, or name of a task.")
    ] = "",
    day: Annotated[
        bool, typer.Option("--day", help="Count jobs by cause instead of explaining one.")
    ] = False,
    stages: Annotated[
        bool, typer.Option("--stages", help="Show the time that jobs spend in each stage.")
    ] = False,
) -> None:
    """Show from logs why a job was refused, finished late or lost time."""
    from vanillawell.commands.explain import explain as explain_one
    from vanillawell.commands.explain import explain_all, explain_stages

    if bool(request) + day + stages != 1:
        raise typer.BadParameter("exactly one of --id, --day and --stages is required")
    if day:
        explain_all(files, context.obj.output)
    elif stages:
        explain_stages(files, context.obj.output)
    else:
        explain_one(request, files, context.obj.output)


@report_app.command("burn")
def report_burn(
    context: typer.Context,
    plot: Annotated[Path | None, typer.Option(help="Also write a plot to this file.")] = None,
) -> None:
    """Show error budget burn. Example: vanillawell report burn --plot burn.png."""
    from vanillawell.commands.report import burn

    burn(context.obj, plot)


@config_app.command("push")
def config_push(
    context: typer.Context,
    file: Path,
    base: BaseOption = None,
    note: NoteOption = "",
    wait: WaitOption = False,
    wait_bound: WaitBoundOption = 30.0,
    dry_run: DryRunOption = False,
) -> None:
    """Apply a file as configuration. Example: vanillawell config push tree.jsonc --wait."""
    from vanillawell.commands.config import PushOptions, push_file

    push_file(context.obj, file, PushOptions(base, note, wait, wait_bound, dry_run))


@config_app.command("show")
def config_show(context: typer.Context, node: str | None = None) -> None:
    """Print the tree, or with --node one node's effective settings and their levels."""
    from vanillawell.commands.config import show

    show(context.obj, node)


@config_app.command("history")
def config_history(context: typer.Context) -> None:
    """List the stored versions."""
    from vanillawell.commands.config import history

    history(context.obj)


@config_app.command("compare")
def config_compare(context: typer.Context, before: int, after: int) -> None:
    """Show the differences between two versions."""
    from vanillawell.commands.config import compare

    compare(context.obj, before, after)


@config_app.command("restore")
def config_restore(
    context: typer.Context,
    version: int,
    note: NoteOption = "",
    wait: WaitOption = False,
    wait_bound: WaitBoundOption = 30.0,
    dry_run: DryRunOption = False,
) -> None:
    """Apply the tree of an earlier version as a new version."""
    from vanillawell.commands.config import PushOptions, restore

    restore(context.obj, version, PushOptions(None, note, wait, wait_bound, dry_run))


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


def main() -> None:
    """Run the command line; an error ends it with one line and the exit status of its kind."""
    try:
        app()
    except VanillawellError as error:
        sys.stderr.write(f"vanillawell: {error}\n")
        raise SystemExit(error.exit_status) from error


if __name__ == "__main__":
    main()
