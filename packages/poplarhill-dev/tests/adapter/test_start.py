"""What may meet an entry host while it starts."""

import subprocess
import sys

START = """
import runpy, signal, sys, types

def main():
    state = signal.getsignal(signal.SIGHUP) is signal.SIG_IGN
    print("ignored" if state else "deadly", "curio" in sys.modules)

cli = types.ModuleType("poplarhill_platform.cli")
cli.main = main
sys.modules["poplarhill_platform.cli"] = cli
runpy.run_module("poplarhill_platform", run_name="__main__")
"""


# SIGHUP that came while the modules were imported ended the process.
def test_sighup_is_no_danger_before_the_imports() -> None:
    command = [sys.executable, "-c", START]
    done = subprocess.run(command, capture_output=True, text=True, timeout=60)
    assert done.stdout == "ignored False\n", done.stderr
