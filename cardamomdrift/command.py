"""
Command line
============

The operators' tool ``cardamomdrift`` for bundles, state, reports and settings.  Its
exit code is 0 on success, 1 if the request was refused or found nothing, 2 on bad input
and 3 if the platform or the daemon did not answer.
"""

import asyncio
import getpass
import json
import sys
from contextlib import asynccontextmanager
from datetime import UTC, datetime

import fire
from aiohttp import ClientSession
from fire.decorators import SetParseFns
from returns.result import Failure, Success

from cardamomdrift.bundle.model import check_value, encode_bundle
from cardamomdrift.bundle.registry import BundleRegistry
from cardamomdrift.cloud.objects import ObjectStore, digest_of
from cardamomdrift.cloud.table import make_table
from cardamomdrift.command_exits import (
    EXIT_BAD_INPUT,
    EXIT_NO_ANSWER,
    EXIT_REFUSED,
    ask_or_exit,
    exit_with_error,
    exit_with_message,
)
from cardamomdrift.errors import (
    BundleConflict,
    BundleError,
    CardamomdriftError,
    PlatformUnavailable,
    SettingsError,
)
from cardamomdrift.jsonc import load_jsonc
from cardamomdrift.peers.messages import (
    BurnQuery,
    DrainRequest,
    MetricsQuery,
    StatusQuery,
)
from cardamomdrift.platform.settings import load_platform_settings
from cardamomdrift.settings import load_settings
from cardamomdrift.telemetry.burn import format_burn
from cardamomdrift.telemetry.explain import explain, format_explanation
from cardamomdrift.where import (
    answer_saved,
    ask_placement,
    parse_question,
    show_placement,
)

HISTORY_LIMIT = 20  # roll-outs


def _load_bundle(path):
    """Return Success of the BundleModel in a file, or Failure of BundleError."""
    try:
        value = load_jsonc(path)
    except (OSError, ValueError) as error:
        return Failure(BundleError([f"{path}: {error}"]))
    return check_value(value, path)


def _unwrap_or_exit(result):
    match result:
        case Success(value):
            return value
        case Failure(error):
            exit_with_error(error, EXIT_BAD_INPUT)


@asynccontextmanager
async def _open_registry(settings):
    async with ClientSession() as session:
        yield BundleRegistry(
            make_table(session, settings.platform),
            ObjectStore(session, settings.platform),
            settings.deployment,
        )


def _run_or_exit(coroutine):
    """Run a coroutine and return its result; print an error and exit if it fails."""
    try:
        return asyncio.run(coroutine)
    except PlatformUnavailable as error:
        exit_with_error(error, EXIT_NO_ANSWER)
    except (BundleError, SettingsError) as error:
        exit_with_error(error, EXIT_BAD_INPUT)
    except CardamomdriftError as error:
        exit_with_error(error, EXIT_REFUSED)


class BundleCommands:
    """Check, sign off, roll out and show bundles."""

    def check(self, file):
        """Check a bundle file and print its digest.

        Parameters
        ----------
        file : str
            Path of the bundle file.
        """
        model = _unwrap_or_exit(_load_bundle(file))
        return f"ok {digest_of(encode_bundle(model))}"

    def sign_off(self, file, settings, operator=None):
        """Check a bundle file, store the bundle and record your approval.

        Parameters
        ----------
        file : str
            Path of the bundle file.
        settings : str
            Settings file of any daemon of the deployment.
        operator : str
            Name of the approving operator; by default the current user.
        """
        loaded = _unwrap_or_exit(load_settings(settings))
        model = _unwrap_or_exit(_load_bundle(file))
        if model.deployment != loaded.deployment:
            faults = [
                f"{file}: deployment: must be {loaded.deployment}, as in the settings"
            ]
            exit_with_error(BundleError(faults), EXIT_BAD_INPUT)
        return _run_or_exit(
            self._sign_off(loaded, model, operator or getpass.getuser())
        )

    async def _sign_off(self, settings, model, operator):
        async with _open_registry(settings) as registry:
            record = await registry.sign_off(model, operator, datetime.now(UTC))
        return f"signed off {record.digest} by {record.operator}: {record.checks}"

    def roll_out(self, digest, settings, expect, operator=None):
        """Roll a signed-off bundle out as the version after the expected one.

        Parameters
        ----------
        digest : str
            Digest that ``sign_off`` printed.
        settings : str
            Settings file of any daemon of the deployment.
        expect : int
            Version that you expect to be the newest; 0 before the first.
        operator : str
            Name of the operator; by default the current user.
        """
        loaded = _unwrap_or_exit(load_settings(settings))
        name = operator or getpass.getuser()
        return _run_or_exit(self._roll_out(loaded, str(digest), int(expect), name))

    async def _roll_out(self, settings, digest, expect, operator):
        async with _open_registry(settings) as registry:
            result = await registry.roll_out(
                digest, expect, operator, datetime.now(UTC)
            )
        match result:
            case Success(record):
                return f"rolled out version {record.version} digest {record.digest}"
            case Failure(BundleConflict() as error):
                exit_with_error(error, EXIT_REFUSED)
            case Failure(error):
                raise error

    def show(self, settings):
        """Print the newest bundle that was rolled out.

        Parameters
        ----------
        settings : str
            Settings file of any daemon of the deployment.
        """
        return _run_or_exit(self._show(_unwrap_or_exit(load_settings(settings))))

    async def _show(self, settings):
        async with _open_registry(settings) as registry:
            newest = await registry.latest()
            if newest is None:
                return "no bundle was rolled out"
            body = await registry.fetch(newest.digest)
        text = json.dumps(json.loads(body), indent=2)
        return f"// version {newest.version} by {newest.operator}\n{text}"

    def history(self, settings):
        """Print the newest roll-outs, newest first.

        Parameters
        ----------
        settings : str
            Settings file of any daemon of the deployment.
        """
        return _run_or_exit(self._history(_unwrap_or_exit(load_settings(settings))))

    async def _history(self, settings):
        async with _open_registry(settings) as registry:
            rows = await registry.history(HISTORY_LIMIT)
        return "\n".join(
            f"{row.version} {row.rolled_out_at} {row.operator} {row.digest}"
            for row in rows
        )


class ReportCommands:
    """Reports of running daemons."""

    def burn(self, address, as_json=False):
        """Print how fast each request class spends its error budget.

        Parameters
        ----------
        address : str
            ``ip:port`` of a daemon's peer port, or several, separated by commas.
        as_json : bool
            Print JSON instead of a table.
        """
        rows = merge_burn_reports(
            [
                ask_or_exit(peer_address, BurnQuery())
                for peer_address in _split_addresses(address)
            ]
        )
        return json.dumps(rows, indent=2) if as_json else format_burn(rows)

    def metrics(self, address):
        """Print a daemon's OpenTelemetry metrics as JSON.

        Parameters
        ----------
        address : str
            ``ip:port`` of the daemon's peer port.
        """
        return json.dumps(ask_or_exit(address, MetricsQuery()), indent=2)


def _split_addresses(value):
    """Return the addresses in an argument, which fire may have split at commas."""
    return list(value) if isinstance(value, tuple | list) else str(value).split(",")


def merge_burn_reports(reports):
    """Return the burn reports of several daemons merged into one.

    Parameters
    ----------
    reports : list of list of dict
        Decoded JSON reports, one for each daemon.
    """
    merged = {}
    for row in (row for report in reports for row in report):
        merged_row = merged.get(row["name"])
        merged[row["name"]] = (
            row if merged_row is None else _merge_burn_rows(merged_row, row)
        )
    return list(merged.values())


def _merge_burn_rows(first, second):
    windows = []
    for window, other_window in zip(first["windows"], second["windows"], strict=True):
        total, bad = (
            window["total"] + other_window["total"],
            window["bad"] + other_window["bad"],
        )
        bad_share = bad / total if total else 0.0
        rate = bad_share / (1 - first["objective"])
        windows.append({**window, "total": total, "bad": bad, "rate": rate})
    causes = dict(first["causes"])
    for name, count in second["causes"]:
        causes[name] = causes.get(name, 0) + count
    ordered = sorted(causes.items(), key=lambda pair: -pair[1])
    return {**first, "windows": windows, "causes": ordered}


def _read_logs(files):
    """Return the lines of log files, or of standard input if no file is given."""
    if not files:
        return list(sys.stdin)
    lines = []
    for path in files:
        with open(path, encoding="utf-8", errors="replace") as log_file:
            lines.extend(log_file)
    return lines


class SettingsCommands:
    """Check settings files."""

    def check(self, file):
        """Check a daemon's settings file.

        Parameters
        ----------
        file : str
            Path of the settings file.
        """
        loaded = _unwrap_or_exit(load_settings(file))
        return f"ok {loaded.vm} in {loaded.failure_domain} of {loaded.deployment}"

    def check_platform(self, file):
        """Check a settings file that the platform provides.

        Parameters
        ----------
        file : str
            Path of the settings file.
        """
        loaded = _unwrap_or_exit(load_platform_settings(file))
        return f"ok {loaded.vm} in {loaded.failure_domain}"


class Commands:
    """Commands of the operators' tool."""

    def __init__(self):
        self.bundle = BundleCommands()
        self.report = ReportCommands()
        self.settings = SettingsCommands()

    def status(self, address):
        """Print a daemon's state as JSON.

        Parameters
        ----------
        address : str
            ``ip:port`` of the daemon's peer port.
        """
        return json.dumps(ask_or_exit(address, StatusQuery()), indent=2)

    @SetParseFns(
        database=str, text=str, customer=str, position=str, address=str, file=str
    )
    def where(
        self,
        database,
        text,
        customer="",
        position="",
        address="",
        file="",
        as_json=False,
    ):
        """Print where a daemon would send a statement now, and why; nothing is sent.

        The exit code is 1 if the statement would be refused.

        Parameters
        ----------
        database : str
            Name that callers connect to.
        text : str
            Statement as callers send it: READ or WRITE and its text.
        customer : str
            Name of the customer; keys are not accepted.
        position : str
            ``TERM.NUMBER`` of the session's last write.
        address : str
            ``ip:port`` of the daemon's peer port.
        file : str
            Saved output of ``status``, in place of an address.
        as_json : bool
            Print JSON instead of text.
        """
        if bool(address) == bool(file):
            exit_with_message("give either --address or --file", EXIT_BAD_INPUT)
        question = parse_question(database, text, customer, position)
        if file:
            placement = answer_saved(file, question)
        else:
            placement = ask_placement(address, question)
        show_placement(placement, as_json)

    def explain(self, request_id, *files):
        """Print the log lines of a request and mark the one that decided its outcome.

        Parameters
        ----------
        request_id : str
            ID of the request in the log lines.
        files : str
            Log files of the daemons; standard input if no file is given.
        """
        try:
            explanation = explain(str(request_id), _read_logs(files))
        except OSError as error:
            exit_with_error(error, EXIT_BAD_INPUT)
        print(format_explanation(request_id, explanation))
        if not explanation.lines:
            sys.exit(EXIT_REFUSED)

    def drain(self, address):
        """Tell a daemon to shut down gracefully.

        Parameters
        ----------
        address : str
            ``ip:port`` of the daemon's peer port.
        """
        return json.dumps(ask_or_exit(address, DrainRequest()))


def main():
    """Entry point of ``cardamomdrift``."""
    fire.Fire(Commands(), name="cardamomdrift")


if __name__ == "__main__":
    main()
