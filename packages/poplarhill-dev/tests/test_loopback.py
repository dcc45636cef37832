"""Ports of test processes that run beside each other."""

from itertools import combinations

import pytest

from poplarhill_dev.loopback import ports_of


# Guards against two test processes that bind the same port at the same time.
def test_test_processes_have_different_ports():
    ports = [set(ports_of(f"gw{number}")) for number in range(16)]
    assert all(not one & other for one, other in combinations(ports, 2))
    assert set().union(*ports) == set(ports_of(""))


# Guards against a process that silently shares the ports of another one.
def test_a_process_without_ports_of_its_own_is_refused():
    with pytest.raises(ValueError, match="gw16"):
        ports_of("gw16")
