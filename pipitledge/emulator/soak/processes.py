"""Machines whose single process is real: started, signalled, killed after its time to end, and started again."""

from __future__ import annotations

import math
import os
import signal
import subprocess
import sys
import threading
import time
from collections.abc import Callable
from pathlib import Path

from msgspec import Struct

from pipitledge.emulator.soak.plan import MachinePlan
from pipitledge.runtime.settings import CONFIG_VARIABLE

RESTART_SECONDS = 0.3  # between the end of a process and its successor's start
LOOK_SECONDS = 0.02  # between looks whether a process has ended
STACKS_SECONDS = 0.3  # for a stuck process to write the stacks of its threads
END_SECONDS = 10.0  # for processes that are ended with the run
BEGAN, FINISHED = b" started node=", b" ended node="  # in the log of a process
ROLE_BEGAN, ROLE_ENDED = b" primary_active ", b" primary_ended "  # in the log of a counted node
CHILD_MODULE = "pipitledge.emulator.soak.child"
ROOT = Path(__file__).resolve().parents[3]


class ProcessEnd(Struct, frozen=True):
    """How one process ended."""

    machine: str
    asked_at: float | None  # steady time of SIGTERM; None: it ended by itself
    ended_at: float
    exit_code: int
    killed: bool  # it was still there when its time to end was over
    began: bool  # its log says that it took calls
    finished: bool  # its log says that it was done, and left it to the kernel to end it
    by_outage: bool = False  # the run killed it without asking


class MachineProcess:
    """The process of one machine; a thread of its own follows each life."""

    def __init__(
        self,
        plan: MachinePlan,
        folder: Path,
        write_settings: Callable[[bool], str],
        on_end: Callable[[ProcessEnd], None],
    ) -> None:
        """Keep settings, data and log in `folder`; `write_settings` gets whether it is the first start of all."""
        self.plan = plan
        self.folder = folder
        self._write_settings = write_settings
        self._on_end = on_end
        self._process: subprocess.Popen[bytes] | None = None
        self._lock = threading.RLock()
        self._asked_at: float | None = None
        self._log_start = 0  # where the log of the present process begins, in bytes
        self._stacks_asked = False
        self._closing = False
        self._back_after_s: float | None = None  # from a kill until the next start; None: it was not killed
        self.killed_at = -math.inf
        self.started_at = 0.0
        folder.mkdir(parents=True, exist_ok=True)

    @property
    def _log_path(self) -> Path:
        return self.folder / "log.txt"

    @property
    def settings_path(self) -> Path:
        """Where the settings file is."""
        return self.folder / "local.toml"

    def start(self, bootstrap: bool) -> None:
        """Start the process; it is started again whenever it ends."""
        self.rewrite_settings(bootstrap)
        (self.folder / "data").mkdir(exist_ok=True)
        with self._lock:
            self._spawn()
        threading.Thread(target=self._follow, name=f"follow {self.plan.name}", daemon=True).start()

    def rewrite_settings(self, bootstrap: bool = False) -> None:
        """Put a new settings file in the place of the old one, whole."""
        with self._lock:
            fresh = self.folder / "local.new"
            fresh.write_text(self._write_settings(bootstrap))
            fresh.replace(self.settings_path)

    def reload(self) -> bool:
        """Change the settings file and send SIGHUP, whatever the process is doing; False if there is none."""
        with self._lock:
            self.rewrite_settings()
            return self._signal(signal.SIGHUP)

    def terminate_again(self) -> bool:
        """Send one more SIGTERM to a process that has got one; False if there is none."""
        with self._lock:
            return self._asked_at is not None and self._signal(signal.SIGTERM)

    def _signal(self, number: signal.Signals) -> bool:
        if self._process is None or self._process.poll() is not None:
            return False
        self._process.send_signal(number)
        return True

    def kill(self, back_after_s: float) -> bool:
        """Send SIGKILL, and start the next process after that time; False if there is none."""
        with self._lock:
            if not self.is_up:
                return False
            self._back_after_s = back_after_s
            self.killed_at = time.monotonic()
            return self._signal(signal.SIGKILL)

    @property
    def is_up(self) -> bool:
        """Whether the process is there and was not killed."""
        with self._lock:
            return self._process is not None and self._back_after_s is None and self._process.poll() is None

    def terminate(self, grace_s: float) -> bool:
        """Send SIGTERM, and SIGKILL after `grace_s`; False if it is gone or its end is under way already."""
        with self._lock:
            if self._process is None or self._asked_at is not None or self._back_after_s is not None:
                return False
            self._asked_at = time.monotonic()
            self._grace_s = grace_s
            self._process.send_signal(signal.SIGTERM)
            return True

    def ask_for_stacks(self) -> None:
        """Have the process write the stacks of its threads into its log, once in its life."""
        with self._lock:
            if self._process is not None and not self._stacks_asked:
                self._stacks_asked = True
                self._process.send_signal(signal.SIGUSR2)

    @property
    def terminated_at(self) -> float | None:
        """Steady time of the SIGTERM that the present process has got, if it has."""
        return self._asked_at

    def close(self) -> None:
        """End the process for good."""
        with self._lock:
            self._closing = True
            if self._process is not None:
                self._process.kill()
                self._process.wait(END_SECONDS)

    def _spawn(self) -> None:
        environment = {
            "PATH": os.environ.get("PATH", ""),
            "PYTHONPATH": str(ROOT),
            CONFIG_VARIABLE: str(self.settings_path),
        }
        with self._log_path.open("ab") as log:
            self._log_start = log.tell()
            self._process = subprocess.Popen(
                [sys.executable, "-m", CHILD_MODULE, str(os.getpid()), self.plan.module],
                stdout=log,
                stderr=log,
                env=environment,
                cwd=ROOT,
            )
        self.started_at = time.monotonic()
        self._stacks_asked = False

    def leads(self) -> bool:
        """Whether the log of the present process says that it acts as the primary."""
        told = self._log_of_present()
        return told.rfind(ROLE_BEGAN) > told.rfind(ROLE_ENDED)

    def _log_of_present(self) -> bytes:
        with self._log_path.open("rb") as log:
            log.seek(self._log_start)
            return log.read()

    def _end_of_life(self, exit_code: int, killed: bool) -> ProcessEnd:
        told = self._log_of_present()
        began, finished = BEGAN in told, FINISHED in told
        by_outage = self._back_after_s is not None
        return ProcessEnd(
            self.plan.name, self._asked_at, time.monotonic(), exit_code, killed, began, finished, by_outage
        )

    def _follow(self) -> None:
        """Wait for the end of each life, and begin the next."""
        while not self._closing:
            process = self._process
            assert process is not None
            killed = False
            while process.poll() is None:
                asked = self._asked_at
                if asked is not None and not killed and time.monotonic() - asked >= self._grace_s:
                    killed = True
                    self.ask_for_stacks()
                    time.sleep(STACKS_SECONDS)
                    process.kill()
                time.sleep(LOOK_SECONDS)
            if self._closing:
                return
            self._on_end(self._end_of_life(process.returncode, killed))
            time.sleep(RESTART_SECONDS if self._back_after_s is None else self._back_after_s)
            with self._lock:
                if self._closing:
                    return
                self.rewrite_settings()
                self._asked_at = None
                self._back_after_s = None
                self._spawn()
