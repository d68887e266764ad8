"""Access to rules files and the rules log, for the actions of ``rules``."""

import contextlib
import pathlib
from collections.abc import Iterator

from absl import flags

from fescueknot.cli import addresses
from fescueknot.cli.errors import BadInputError, CommandFailedError
from fescueknot.clock import SystemClock
from fescueknot.identity import Address
from fescueknot.objectapi.http_store import HttpStore
from fescueknot.rules.errors import LogUnavailable, RulesError, TextTooLarge
from fescueknot.rules.problems import InvalidRules
from fescueknot.rules.publisher import RulesPublisher


def read_rules_file(path: str) -> str:
    """Return the text of a rules file, without a byte-order mark.

    Raise :class:`BadInputError` if the file can't be read or is not UTF-8.
    """
    try:
        return pathlib.Path(path).read_text(encoding='utf-8-sig')
    except OSError as error:
        raise BadInputError(f"{path}: can't be read: {error.strerror}") from (
            error
        )
    except UnicodeDecodeError as error:
        raise BadInputError(f'{path}: is not UTF-8 text') from error


@contextlib.contextmanager
def convert_rules_errors() -> Iterator[None]:
    """Convert errors of the rules into command-line errors."""
    try:
        yield
    except InvalidRules as invalid:
        count = len(invalid.problems)
        raise BadInputError(
            f'{count} problem(s), the rules in force are unchanged\n{invalid}'
        ) from invalid
    except TextTooLarge as large:
        raise BadInputError(str(large)) from large
    except RulesError as error:
        raise CommandFailedError(str(error)) from error


def define_platform_flags(flag_values: flags.FlagValues) -> None:
    """Define the flags for the address of the object API."""
    flags.DEFINE_list(
        'platform',
        default=[],
        help="IP:PORT of the platform's object API; several with commas.",
        flag_values=flag_values,
    )
    flags.DEFINE_string(
        'settings',
        default='',
        help='Settings file of a node, in place of --platform and --ops.',
        flag_values=flag_values,
    )


def open_rules_log(flag_values: flags.FlagValues) -> RulesPublisher:
    """Return the rules log at the first address that responds."""
    platform_addresses = _platform_addresses(flag_values)
    unreachable: list[str] = []
    for address in platform_addresses:
        log = RulesPublisher(
            store=HttpStore(address=address), clock=SystemClock()
        )
        try:
            log.read()
        except LogUnavailable as error:
            unreachable.append(f'{address}: {error}')
        else:
            return log
    reasons = '; '.join(unreachable)
    raise CommandFailedError(f"the platform's object API is down: {reasons}")


def _platform_addresses(flag_values: flags.FlagValues) -> tuple[Address, ...]:
    if flag_values.platform:
        return tuple(map(addresses.parse_address, flag_values.platform))
    if flag_values.settings:
        return addresses.read_settings(flag_values.settings).platform
    raise BadInputError(
        'say where the object API is: --platform IP:PORT or --settings FILE'
    )
