"""What several files of tests begin with."""

from collections.abc import Iterator

import pytest
from net_helper import Rig


@pytest.fixture
def rig(monkeypatch: pytest.MonkeyPatch) -> Iterator[Rig]:
    made = Rig(monkeypatch)
    yield made
    made.close()
    assert not made.crashes and not [entry for entry in made.logged if entry[0] == "fault"]
