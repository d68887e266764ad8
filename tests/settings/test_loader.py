"""Settings files are loaded as a whole, or refused with all problems."""

import json
import pathlib

import pytest

from fescueknot.identity import Address
from fescueknot.settings.errors import SettingsError
from fescueknot.settings.loader import load_settings, parse_settings
from fescueknot.settings.schema import schema_text


def _address(port: int) -> dict[str, object]:
    return {'host': '127.0.0.1', 'port': port}


def _valid() -> dict[str, object]:
    return {
        'instance': 'ledger-1',
        'service': 'ledger',
        'place': {'region': 'uusimaa', 'failure_domain': 'uusimaa-a'},
        'addresses': {
            'entry': _address(7001),
            'peer': _address(7002),
            'ops': _address(7003),
            'gossip': _address(7004),
        },
        'target': _address(7005),
        'platform': [_address(7006)],
        'shared_key': 'sixteen or more characters',
    }


def _with_setting(path: str, setting: object) -> str:
    document = _valid()
    *parents, last = path.split('.')
    parent_object = document
    for parent in parents:
        parent_object = parent_object.setdefault(parent, {})
    parent_object[last] = setting
    return json.dumps(document)


def _refusal(text: str) -> SettingsError:
    return pytest.raises(
        SettingsError, parse_settings, text, source='n.json'
    ).value


class TestLoadSettings:
    """Valid files, and a file that doesn't exist."""

    def test_absent_fields_get_their_defaults(
        self, tmp_path: pathlib.Path
    ) -> None:
        file = tmp_path / 'node.json'
        file.write_text(json.dumps(_valid()), encoding='utf-8')
        settings = load_settings(str(file))
        assert settings.addresses.peer == Address(host='127.0.0.1', port=7002)
        assert settings.seeds == ()
        assert settings.timing.lease_s > 0

    def test_missing_file_is_named(self) -> None:
        with pytest.raises(SettingsError, match=r'no-such\.json.*No such file'):
            load_settings('no-such.json')


class TestProblems:
    """Each problem is reported by one message."""

    @pytest.mark.parametrize(
        ('path', 'setting', 'message'),
        [
            ('colour', 1, 'colour: unknown field; known fields here: addr'),
            ('servise', 'a', 'servise: unknown field; did you mean service?'),
            (
                'timing.lease_ms',
                5,
                'timing.lease_ms: unknown field; wrong unit suffix _ms, '
                'write lease_s, in seconds',
            ),
            (
                'timing.connect_timeout',
                5,
                'timing.connect_timeout: unknown field; the unit suffix is '
                'missing, write connect_timeout_ms, in milliseconds',
            ),
            (
                'addresses.entry.port',
                '80',
                'addresses.entry.port: expected int, got str; found "80"',
            ),
            ('target_slots', 0, 'target_slots: expected int >= 1; found 0'),
            ('place', 'here', 'place: expected an object, found "here"'),
            ('platform', [], 'platform: expected array of length >= 1'),
            ('seeds', [{'host': '::1'}], 'seeds[0].port: missing'),
            ('target.host', 'localhost', 'target.host: expected an IP address'),
            ('target.port', 70000, 'target.port: expected 1 to 65535'),
            (
                'addresses.ops',
                _address(7001),
                'addresses.ops: 127.0.0.1:7001 is taken by addresses.entry',
            ),
            ('timing.retention_s', 12, 'timing.retention_s: must be longer'),
            ('log.format', 'xml', 'log.format: Invalid enum value'),
        ],
    )
    def test_message(self, path: str, setting: object, message: str) -> None:
        error = _refusal(_with_setting(path, setting))
        assert len(error.problems) == 1
        assert f'n.json: {message}' in str(error)

    def test_all_problems_are_reported_at_once(self) -> None:
        document = _valid()
        document.pop('service')
        document.pop('target')
        document['instance'] = 3
        problems = _refusal(json.dumps(document)).problems
        fields = [problem.field for problem in problems]
        assert fields == ['instance', 'service', 'target']

    @pytest.mark.parametrize(
        ('text', 'message'),
        [
            ('{"a": }', 'is not JSON: Expecting value at line 1, column 7'),
            ('{"a": 1, "a": 2}', 'a: is given twice'),
            ('[1]', 'the file: expected an object, found [1]'),
            ('[' * 100_000, 'is nested too deeply'),
        ],
    )
    def test_invalid_document(self, text: str, message: str) -> None:
        assert message in str(_refusal(text))


class TestSchema:
    """The JSON Schema is as strict as the loader."""

    def test_objects_allow_no_additional_properties(self) -> None:
        definitions = json.loads(schema_text())['$defs']
        object_schemas = [
            definition
            for definition in definitions.values()
            if 'properties' in definition
        ]
        assert len(object_schemas) >= 7
        assert all(
            definition['additionalProperties'] is False
            for definition in object_schemas
        )
