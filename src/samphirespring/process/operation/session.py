"""Shared functions of the `samphirectl` commands: the client, the output and the exit status."""

import json
import ssl
import sys
from collections.abc import Iterable
from pathlib import Path
from typing import Any, NoReturn

import msgspec
import typer
from rich.console import Console
from rich.table import Table

from samphirespring.connection.operator_client import OperatorApiError, OperatorClient
from samphirespring.connection.operator_problems import OperatorProblem
from samphirespring.process.errors import SamphireError
from samphirespring.process.operation.exit_status import ExitStatus, choose_exit_status
from samphirespring.process.timers import MonotonicTimerService


class CommandSession(msgspec.Struct, frozen=True, kw_only=True):
    """Command-line options that apply to every command.

    Attributes:
        addresses: `IP:port` of the operator API of the control hosts.
        token: Bearer token of the team.
        authority_file: PEM file with the authority of the control hosts' certificates; None uses
            plain HTTP.
        as_json: Whether to print JSON instead of tables.
        timeout_s: Timeout of one request, in seconds.
    """

    addresses: tuple[str, ...]
    token: str
    authority_file: Path | None
    as_json: bool
    timeout_s: float

    def make_client(self) -> OperatorClient:
        """Return a client of the control hosts."""
        return OperatorClient(
            addresses=self.addresses,
            token=self.token,
            tls=_make_tls_context(self.authority_file),
            timers=MonotonicTimerService(),
            timeout_s=self.timeout_s,
        )

    def show(self, value: Any, table: Table) -> None:
        """Print a value as a table, or as JSON.

        Args:
            value: Anything that msgspec encodes.
            table: The value as a table.
        """
        if self.as_json:
            self.show_json(msgspec.json.encode(value))
        else:
            Console().print(table)

    def show_tables(self, tables: Iterable[Table]) -> None:
        """Print several tables.

        Args:
            tables: The tables.
        """
        console = Console()
        for table in tables:
            console.print(table)

    def show_json(self, text: bytes) -> None:
        """Print JSON text, indented.

        Args:
            text: The text.
        """
        typer.echo(msgspec.json.format(text, indent=2).decode())

    def exit_with_error(self, error: SamphireError) -> NoReturn:
        """Print an error on standard error and exit with its status.

        Args:
            error: The error.
        """
        if isinstance(error, OperatorApiError):
            self._show_problem(error.problem)
        else:
            typer.echo(json.dumps({"error": str(error)}) if self.as_json else str(error), err=True)
        sys.exit(choose_exit_status(error).value)

    def _show_problem(self, problem: OperatorProblem) -> None:
        if self.as_json:
            typer.echo(msgspec.json.encode(problem).decode(), err=True)
            return
        typer.echo(f"{problem.code}: {problem.detail}", err=True)
        for line in problem.problems:
            typer.echo(f"  {line}", err=True)


def exit_with_usage_error(text: str) -> NoReturn:
    """Print an error in the command line on standard error, and exit.

    Args:
        text: The message.
    """
    typer.echo(text, err=True)
    sys.exit(ExitStatus.USAGE.value)


def _make_tls_context(authority_file: Path | None) -> ssl.SSLContext | None:
    if authority_file is None:
        return None
    try:
        context = ssl.create_default_context(cafile=str(authority_file))
    except (OSError, ssl.SSLError) as error:
        exit_with_usage_error(f"{authority_file}: {error}")
    # Control hosts are authenticated by their certificate authority only, not by name: their
    # addresses are plain IP addresses.
    context.check_hostname = False
    return context
