"""The JSON Schema of the settings file, for editors and validators."""

import json

import msgspec

from fescueknot.settings.model import NodeSettings


def schema_text() -> str:
    """Return the JSON Schema as indented JSON text."""
    schema = msgspec.json.schema(NodeSettings)
    for definition in schema['$defs'].values():
        if definition.get('type') == 'object':
            definition['additionalProperties'] = False
    return json.dumps(schema, indent=2)
