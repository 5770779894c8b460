"""``greengage-ctl``: the command-line tool for operators."""

import json as json_module
import os
import sys
from collections.abc import Callable, Iterator
from dataclasses import dataclass
from hashlib import sha256
from typing import Any

import fire
from fire.decorators import SetParseFn
from fire.parser import DefaultParseValue

from greengageflow.ops import _ctl_config, _ctl_fleet, _ctl_where
from greengageflow.ops._ctl_config import IN_FORCE_TIMEOUT_S, BadInputError
from greengageflow.ops._ctl_files import read_config_file, read_text
from greengageflow.ops._ctl_text import Report
from greengageflow.ops._platform_http import CallError
from greengageflow.ops.ctl_orders import OrderError, make_order
from greengageflow.ops.ctl_publish import PublishError
from greengageflow.ops.explain import (
    build_timeline,
    read_files,
    timeline_data,
    timeline_text,
)
from greengageflow.settings import example_settings, load_settings

EXIT_FAILED = 1
EXIT_BAD_INPUT = 2


@dataclass(frozen=True, slots=True)
class _ParsedCommand:
    """A parsed command that has not run yet.

    Fire calls a command before it rejects leftover arguments, so
    ``publish FILE --typo`` would publish and then fail. Command methods therefore
    only return this object, and ``main`` runs it after the whole line was parsed.
    """

    _run: Callable[[], Report]
    _json: bool = False


class SettingsCommands:
    """Work with router settings files."""

    def example(self) -> _ParsedCommand:
        """Print an example settings file.

        Example:
            greengage-ctl settings example > r1.json
        """
        return _ParsedCommand(lambda: Report(example_settings()))

    @SetParseFn(str, "file")
    def check(self, file: str, *, json: bool = False) -> _ParsedCommand:
        """Validate a settings file and list all errors.

        Example:
            greengage-ctl settings check r1.json
        """

        def run() -> Report:
            host = load_settings(file).host
            return Report(f"{file}: valid, host {host}", {"host": host})

        return _ParsedCommand(run, json)


class OrderCommands:
    """Send orders to engines and list their results."""

    @SetParseFn(str, "endpoint", "model", "adapter", "version", "log")
    def load(
        self,
        endpoint: str,
        model: str = "",
        *,
        adapter: str = "",
        version: str = "",
        log: str | None = None,
        json: bool = False,
    ) -> _ParsedCommand:
        """Order an engine to load a model, an adapter or a version.

        Example:
            greengage-ctl order load scribe-3 scribe --version=2 --log=10.0.0.9:9000
        """

        def run() -> Report:
            order = make_order(
                endpoint, "load", model=model, adapter=adapter, version=version
            )
            return _ctl_fleet.order(order, log)

        return _ParsedCommand(run, json)

    @SetParseFn(str, "endpoint", "role", "log")
    def role(
        self, endpoint: str, role: str, *, log: str | None = None, json: bool = False
    ) -> _ParsedCommand:
        """Order an engine to change its role.

        Example:
            greengage-ctl order role scribe-3 prefill --log=10.0.0.9:9000
        """

        def run() -> Report:
            return _ctl_fleet.order(make_order(endpoint, "role", role=role), log)

        return _ParsedCommand(run, json)

    @SetParseFn(str, "routers")
    def list(self, *, routers: str | None = None, json: bool = False) -> _ParsedCommand:
        """List the orders that routers report, with their results.

        Example:
            greengage-ctl order list --routers=10.0.0.1:8080,10.0.0.2:8080
        """
        return _ParsedCommand(lambda: _ctl_fleet.orders(routers), json)


class Commands:
    """Operates a fleet of greengageflow routers.

    The log and the routers are set with --log=IP:PORT and --routers=IP:PORT,IP:PORT
    or with GREENGAGE_LOG and GREENGAGE_ROUTERS. With --json the output is JSON.
    Exit status: 0 success; 1 refused, lost, or not in force everywhere; 2 bad input.

    Example:
        greengage-ctl validate fleet.json
        greengage-ctl diff fleet.json --log=10.0.0.9:9000
        greengage-ctl publish fleet.json --log=10.0.0.9:9000 --routers=10.0.0.1:8080
        greengage-ctl status --routers=10.0.0.1:8080,10.0.0.2:8080
        greengage-ctl drain scribe-3 --log=10.0.0.9:9000
    """

    def __init__(self) -> None:
        self.settings = SettingsCommands()
        self.order = OrderCommands()

    @SetParseFn(str, "file")
    def validate(self, file: str, *, json: bool = False) -> _ParsedCommand:
        """Validate a configuration file and list all errors.

        The file contains {"schema": 1 or 2, "config": {...}}. With "replaces", it is
        accepted only if that revision is in force.

        Example:
            greengage-ctl validate fleet.json
        """

        def run() -> Report:
            schema = read_config_file(file)["schema"]
            return Report(f"{file}: valid, schema {schema}", {"schema": schema})

        return _ParsedCommand(run, json)

    @SetParseFn(str, "file", "log")
    def diff(
        self, file: str, *, log: str | None = None, json: bool = False
    ) -> _ParsedCommand:
        """Compare a configuration file with the configuration in force.

        Example:
            greengage-ctl diff fleet.json --log=10.0.0.9:9000
        """
        return _ParsedCommand(lambda: _ctl_config.diff(file, log), json)

    @SetParseFn(str, "log")
    def show(self, *, log: str | None = None) -> _ParsedCommand:
        """Print the configuration in force in the format that publish reads.

        Example:
            greengage-ctl show --log=10.0.0.9:9000 > fleet.json
        """
        return _ParsedCommand(lambda: _ctl_config.show(log), True)

    @SetParseFn(str, "file", "log", "routers")
    def publish(
        self,
        file: str,
        *,
        log: str | None = None,
        routers: str | None = None,
        within_s: float = IN_FORCE_TIMEOUT_S,
        json: bool = False,
    ) -> _ParsedCommand:
        """Publish a configuration file and wait until it is in force.

        Shows whether it was accepted or lost to a concurrent change, and which
        routers have it in force after at most within_s seconds.

        Example:
            greengage-ctl publish fleet.json --log=10.0.0.9:9000 --routers=10.0.0.1:8080
        """
        return _ParsedCommand(
            lambda: _ctl_config.publish(file, log, routers, within_s), json
        )

    @SetParseFn(str, "endpoint", "log", "routers")
    def drain(
        self,
        endpoint: str,
        *,
        log: str | None = None,
        routers: str | None = None,
        json: bool = False,
    ) -> _ParsedCommand:
        """Stop sending new requests to an endpoint; running ones finish.

        Example:
            greengage-ctl drain scribe-3 --log=10.0.0.9:9000 --routers=10.0.0.1:8080
        """
        return _ParsedCommand(
            lambda: _ctl_config.drain(endpoint, True, log, routers), json
        )

    @SetParseFn(str, "endpoint", "log", "routers")
    def undrain(
        self,
        endpoint: str,
        *,
        log: str | None = None,
        routers: str | None = None,
        json: bool = False,
    ) -> _ParsedCommand:
        """Send requests to a drained endpoint again, as a new generation.

        Example:
            greengage-ctl undrain scribe-3 --log=10.0.0.9:9000
        """
        return _ParsedCommand(
            lambda: _ctl_config.drain(endpoint, False, log, routers), json
        )

    @SetParseFn(str, "log", "routers")
    def allow_schema(
        self,
        highest: int,
        *,
        log: str | None = None,
        routers: str | None = None,
        json: bool = False,
    ) -> _ParsedCommand:
        """Allow records of a higher schema if all routers support it.

        Example:
            greengage-ctl allow-schema 2 --log=10.0.0.9:9000 --routers=10.0.0.1:8080
        """
        return _ParsedCommand(
            lambda: _ctl_config.allow_schema(highest, log, routers), json
        )

    @SetParseFn(str, "file", "log", "routers")
    def restore(
        self,
        file: str,
        *,
        log: str | None = None,
        routers: str | None = None,
        json: bool = False,
    ) -> _ParsedCommand:
        """Restore the configuration from a file when it is lost everywhere.

        Refused while the log or a router still has the configuration in force.

        Example:
            greengage-ctl restore fleet.json --log=10.0.0.9:9000 --routers=10.0.0.1:8080
        """
        return _ParsedCommand(lambda: _ctl_config.restore(file, log, routers), json)

    @SetParseFn(str, "log")
    def history(
        self, *, log: str | None = None, last: int = 20, json: bool = False
    ) -> _ParsedCommand:
        """List the outcomes of the last records, including refused ones.

        Example:
            greengage-ctl history --last=50 --log=10.0.0.9:9000
        """
        return _ParsedCommand(lambda: _ctl_config.history(log, last), json)

    @SetParseFn(str, "routers")
    def status(
        self, *, routers: str | None = None, json: bool = False
    ) -> _ParsedCommand:
        """Show each router; exit status 1 unless all report the same revision.

        Example:
            greengage-ctl status --routers=10.0.0.1:8080,10.0.0.2:8080
        """
        return _ParsedCommand(lambda: _ctl_fleet.status(routers), json)

    @SetParseFn(DefaultParseValue, "json")
    @SetParseFn(str)
    def explain(
        self, request: str, *files: str, routers: str | None = None, json: bool = False
    ) -> _ParsedCommand:
        """Show the timeline of one request, by its id.

        Files contain collected router logs; - is standard input. Without files, the
        routers are queried for the state of the request.

        Example:
            greengage-ctl explain 7f3c r1.log r2.log
            greengage-ctl explain 7f3c --routers=10.0.0.1:8080,10.0.0.2:8080
        """

        def run() -> Report:
            if not files:
                return _ctl_fleet.explain(request, routers)
            timeline = build_timeline(request, read_files(files))
            text = timeline_text(request, timeline)
            return Report(text, timeline_data(timeline), ok=bool(timeline.attempts))

        return _ParsedCommand(run, json)

    @SetParseFn(DefaultParseValue, "json")
    @SetParseFn(str)
    def where(
        self,
        gateway: str,
        *,
        host: str = "",
        path: str = "",
        service: str = "",
        account: str = "",
        key_file: str = "",
        tokens_in: str = "",
        tokens_out: str = "",
        parts: str = "",
        zone: str = "",
        version: str = "",
        json: bool = False,
    ) -> _ParsedCommand:
        """Show where a request would go now, and why, without sending it.

        The first argument is the address of a gateway's metrics listener. A key is read
        from a file, or from standard input with --key_file=-. Parts are ID:TOKENS,...;
        the version is that of a stream which the request takes up.

        Example:
            greengage-ctl where 10.0.0.1:9180 --host=app.example --path=/chat/x \\
                --account=olive --tokens_in=900 --tokens_out=300 --parts=sys:600,own:300
        """
        query = {
            "host": host,
            "path": path,
            "service": service,
            "account": account,
            "tokens_in": tokens_in,
            "tokens_out": tokens_out,
            "parts": parts,
            "zone": zone,
            "version": version,
        }
        return _ParsedCommand(lambda: _ctl_where.where(gateway, query, key_file), json)

    @SetParseFn(str, "id", "file")
    def trace(self, id: str, *, file: str, json: bool = False) -> _ParsedCommand:
        """Show the spans of a trace or a request as a tree.

        Example:
            greengage-ctl trace 4bf92f3577b34da6a3ce929d0e0e4736 --file=spans.jsonl
        """
        return _ParsedCommand(lambda: _ctl_fleet.trace(id, file), json)

    @SetParseFn(str, "key")
    def hash_key(self, key: str) -> _ParsedCommand:
        """Print the hash of a bearer key for "key_hashes"; - reads standard input.

        Example:
            greengage-ctl hash-key - < key.txt
        """

        def run() -> Report:
            key_text = read_text(key).strip() if key == "-" else key
            return Report(sha256(key_text.encode()).hexdigest())

        return _ParsedCommand(run)


def _serialize(component: Any) -> Any:
    return None if isinstance(component, _ParsedCommand) else component


def _error_lines(group: ExceptionGroup) -> Iterator[str]:
    for exc in group.exceptions:
        yield f"{group.message}: {exc}"


def _print(report: Report, as_json: bool) -> None:
    if as_json:
        print(json_module.dumps(report.data, indent=2))
    elif report.text:
        print(report.text)


def _run(command: _ParsedCommand) -> int:
    try:
        report = command._run()
    except ExceptionGroup as group:
        print("\n".join(_error_lines(group)), file=sys.stderr)
        return EXIT_BAD_INPUT
    except (BadInputError, OrderError) as exc:
        print(exc, file=sys.stderr)
        return EXIT_BAD_INPUT
    except (CallError, PublishError) as exc:
        print(exc, file=sys.stderr)
        return EXIT_FAILED
    except KeyboardInterrupt:
        print("interrupted; see `greengage-ctl history`", file=sys.stderr)
        return EXIT_FAILED
    _print(report, command._json)
    return 0 if report.ok else EXIT_FAILED


def _fire_args(args: list[str]) -> list[str]:
    # Fire treats "-" as its argument separator, but here "-" is standard input. A NUL
    # byte replaces it, which no process argument can contain.
    return [*args, *(() if "--" in args else ("--",)), "--separator=\0"]


def main() -> None:
    """Run the program."""
    # On a terminal, fire would show help in a pager, a separate process.
    os.environ["PAGER"] = "-"
    args = _fire_args(sys.argv[1:])
    command = fire.Fire(Commands(), args, name="greengage-ctl", serialize=_serialize)
    if isinstance(command, _ParsedCommand):
        sys.exit(_run(command))


if __name__ == "__main__":
    main()
