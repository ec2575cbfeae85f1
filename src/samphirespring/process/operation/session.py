"""What all commands of `samphirectl` share: the client, the output and the end."""

import json
import ssl
import sys
from collections.abc import Iterable
from dataclasses import dataclass
from pathlib import Path
from typing import Any, NoReturn

import msgspec
import typer
from rich.console import Console
from rich.table import Table

from samphirespring.connection.operator_client import OperatorClient, OperatorRefusedError
from samphirespring.connection.operator_problems import OperatorProblem
from samphirespring.process.errors import SamphireError
from samphirespring.process.operation.exit_status import ExitStatus, choose_exit_status
from samphirespring.process.timers import MonotonicTimerService


@dataclass(frozen=True, slots=True, kw_only=True)
class CommandSession:
    """Options of the command line that hold for every command.

    Attributes:
        addresses: `IP:port` for operators of the control hosts.
        token: Bearer token of the team.
        authority_file: Authority of the control hosts' certificates; None uses plain HTTP.
        as_json: Whether to print JSON instead of tables.
        timeout_s: Longest time for one request, in seconds.
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
            tls=_make_context(self.authority_file),
            timers=MonotonicTimerService(),
            timeout_s=self.timeout_s,
        )

    def show(self, value: Any, table: Table) -> None:
        """Print a value as a table, or as JSON.

        Args:
            value: Anything that msgspec encodes.
            table: The value for people.
        """
        if self.as_json:
            self.show_json(msgspec.json.encode(value))
        else:
            Console().print(table)

    def show_tables(self, tables: Iterable[Table]) -> None:
        """Print tables, one below the other.

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
        """Print an error on standard error and end the program with its status.

        Args:
            error: The error.
        """
        if isinstance(error, OperatorRefusedError):
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
    """Print what is wrong with the command line, and end the program.

    Args:
        text: What is wrong.
    """
    typer.echo(text, err=True)
    sys.exit(ExitStatus.USAGE.value)


def _make_context(authority_file: Path | None) -> ssl.SSLContext | None:
    if authority_file is None:
        return None
    try:
        context = ssl.create_default_context(cafile=str(authority_file))
    except (OSError, ssl.SSLError) as error:
        exit_with_usage_error(f"{authority_file}: {error}")
    # Control hosts are known by their authority, not by name: addresses are plain IP numbers.
    context.check_hostname = False
    return context
