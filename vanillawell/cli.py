"""Declare the operators' commands; each imports its implementation only when it runs."""

from __future__ import annotations

import sys
from pathlib import Path
from typing import Annotated

import typer

from vanillawell.cli_fleet import job_app, maintenance_app, pool_app
from vanillawell.cli_options import (
    BaseOption,
    DryRunOption,
    NoteOption,
    WaitBoundOption,
    WaitOption,
)
from vanillawell.cli_tree import key_app, node_app, zone_app
from vanillawell.commands.context import CommandContext, OutputFormat
from vanillawell.exceptions import VanillawellError

app = typer.Typer(no_args_is_help=True, help="Operate a vanillawell fleet.")
config_app = typer.Typer(no_args_is_help=True, help="Push, show and restore configurations.")
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


def main() -> None:
    """Run the command line; an error ends it with one line and the exit status of its kind."""
    try:
        app()
    except VanillawellError as error:
        sys.stderr.write(f"vanillawell: {error}\n")
        raise SystemExit(error.exit_status) from error


if __name__ == "__main__":
    main()
