"""Signals that arrive while an entry host starts."""

import subprocess
import sys

SCRIPT = """
import runpy, signal, sys, types

def main():
    ignored = signal.getsignal(signal.SIGHUP) is signal.SIG_IGN
    print("ignored" if ignored else "not ignored", "curio" in sys.modules)

cli = types.ModuleType("poplarhill_platform.cli")
cli.main = main
sys.modules["poplarhill_platform.cli"] = cli
runpy.run_module("poplarhill_platform", run_name="__main__")
"""


# Guards against a SIGHUP that ends the process while its modules are imported.
def test_sighup_is_ignored_during_the_imports() -> None:
    command = [sys.executable, "-c", SCRIPT]
    done = subprocess.run(command, capture_output=True, text=True, timeout=60)
    assert done.stdout == "ignored False\n", done.stderr
