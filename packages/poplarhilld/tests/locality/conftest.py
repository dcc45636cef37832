"""Workers of 16 cores in two racks."""

import pytest

from poplarhill_dev.leased import worker_entry
from poplarhilld.catalogue import WorkerEntry


@pytest.fixture
def entries() -> list[WorkerEntry]:
    return [worker_entry(f"w{n}", rack="r1" if n < 2 else "r2") for n in range(4)]
