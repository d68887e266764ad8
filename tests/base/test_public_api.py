"""The package root exports every name in ``_EXPORTS``."""

import pytest

import fescueknot


class TestPublicApi:
    """Names exported by the package root."""

    @pytest.mark.parametrize('name', fescueknot.__all__)
    def test_each_export_loads(self, name: str) -> None:
        assert getattr(fescueknot, name) is not None

    def test_unknown_name_raises_attribute_error(self) -> None:
        with pytest.raises(AttributeError, match='no_such_part'):
            fescueknot.no_such_part  # noqa: B018
