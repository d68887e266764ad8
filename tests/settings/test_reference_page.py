"""The settings reference is generated and up to date."""

from tools.settings_reference import PAGE, page_text


class TestReferencePage:
    """docs/SETTINGS.md describes the settings classes."""

    def test_page_is_current(self) -> None:
        text = PAGE.read_text(encoding='utf-8')
        assert text == page_text(), 'run python -m tools.settings_reference'

    def test_nested_fields_are_described(self) -> None:
        row = '| `retention_s` | `float` | `600` | from 10 to 86400 | How long'
        assert row in page_text()
