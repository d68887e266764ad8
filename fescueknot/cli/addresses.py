"""Node addresses from flags and settings files."""

import ipaddress

from absl import flags

from fescueknot.cli.errors import BadInputError
from fescueknot.identity import Address
from fescueknot.settings.errors import SettingsError
from fescueknot.settings.loader import load_settings
from fescueknot.settings.model import NodeSettings

_MAX_PORT = 65_535


def parse_address(text: str) -> Address:
    """Parse ``IP:PORT``; raise :class:`BadInputError` if it is invalid."""
    host, _, port = text.rpartition(':')
    try:
        ipaddress.ip_address(host.strip('[]'))
    except ValueError:
        raise BadInputError(
            f'expected IP:PORT, such as 127.0.0.1:7003; found "{text}"'
        ) from None
    if not port.isdecimal() or not 1 <= int(port) <= _MAX_PORT:
        raise BadInputError(f'expected a port after the colon; found "{text}"')
    return Address(host=host.strip('[]'), port=int(port))


def define_ops_flags(flag_values: flags.FlagValues) -> None:
    """Define the flags that select the nodes to query."""
    flags.DEFINE_list(
        'ops',
        default=[],
        help='IP:PORT of the ops port of a node; several with commas.',
        flag_values=flag_values,
    )
    flags.DEFINE_string(
        'settings',
        default='',
        help='Settings file of the node, in place of --ops.',
        flag_values=flag_values,
    )


def read_ops_addresses(flag_values: flags.FlagValues) -> tuple[Address, ...]:
    """Return the ops addresses that the flags name."""
    if flag_values.settings and not flag_values.ops:
        return (read_settings(flag_values.settings).addresses.ops,)
    if not flag_values.ops:
        raise BadInputError('say which node: --ops IP:PORT or --settings FILE')
    return tuple(parse_address(text) for text in flag_values.ops)


def read_settings(path: str) -> NodeSettings:
    """Read a settings file; raise :class:`BadInputError` if it is invalid."""
    try:
        return load_settings(path)
    except SettingsError as error:
        raise BadInputError(f'bad settings\n{error}') from error
