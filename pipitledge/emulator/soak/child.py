"""Runs one of the shipped programs in a process that does not outlive the soak run that started it.

A run that is killed can't end its processes itself. So the kernel is asked to: it kills a process when the thread that
started it is gone.
"""

from __future__ import annotations

import ctypes
import os
import runpy
import signal
import sys

PR_SET_PDEATHSIG = 1  # of prctl(2)
ORPHANED = 4  # exit status of a process whose parent had gone before it could ask


def end_with(parent: int) -> None:
    """Have the kernel kill this process once `parent`, which started it, is gone."""
    ctypes.CDLL(None, use_errno=True).prctl(PR_SET_PDEATHSIG, int(signal.SIGKILL), 0, 0, 0)
    if os.getppid() != parent:
        sys.exit(ORPHANED)


def main() -> None:
    """Run the module that the second argument names; the first is the process of the run."""
    parent, module = int(sys.argv[1]), sys.argv[2]
    end_with(parent)
    sys.argv = [module]
    runpy.run_module(module, run_name="__main__", alter_sys=True)


if __name__ == "__main__":
    main()
