"""Break each rule in the module's own text, one at a time, and see the property tests fail. Prints a table.

    python benchmarks/rule_mutants.py

Works on a copy of the checkout; the file that is changed and what for what stand in MUTANTS.
"""

from __future__ import annotations

import pathlib
import shutil
import subprocess
import sys
import tempfile

POLICY, RECORDS = "pipitledge/decision/policy.py", "pipitledge/decision/interface.py"
MUTANTS = (
    (
        "an unsafe job again after it may have run",
        POLICY,
        "Repeat.UNSAFE: (False, False)}",
        "Repeat.UNSAFE: (True, False)}",
    ),
    (
        "a keyed job outside its rack",
        POLICY,
        "return cls.scope is Scope.ALL or worker.row.cell == first.worker.row.cell",
        "return True",
    ),
    ("a keyed job outside its zone", POLICY, "return worker.zone == first.worker.zone", "return True"),
    ("a keyed job after its window", POLICY, "return False  # the workers may have dropped its key", "pass"),
    (
        "one attempt too many",
        RECORDS,
        "len(self.attempts) < min(max_attempts, self.attempt_limit, plan.attempts)",
        "len(self.attempts) <= min(max_attempts, self.attempt_limit, plan.attempts)",
    ),
    (
        "a refusal though it may have run",
        POLICY,
        "if harmless or job.possible_run() is None:\n            self._refuse",
        "if True:\n            self._refuse",
    ),
    ("a pending job never expires", POLICY, "if self.now >= job.pending_until]:", "if False]:"),
    ("a job sent to a worker that drains", POLICY, "row.state is State.SERVING", "row.state is not State.GONE"),
    ("no budget for a cold worker", POLICY, "self._cold_tokens(worker, cost) >= cost)", "True)"),
)


def main() -> int:
    """Try all; 0 if each was found."""
    root, missed = pathlib.Path(__file__).parents[1], 0
    for name, file, old, new in MUTANTS:
        with tempfile.TemporaryDirectory() as folder:
            copy = pathlib.Path(folder)
            for part in ("pipitledge", "tests"):
                shutil.copytree(root / part, copy / part)
            shutil.copy(root / "pyproject.toml", copy)
            text = (copy / file).read_text()
            if text.count(old) != 1:
                print(f"{name:45s}  its place was not found once, but {text.count(old)} times")
                missed += 1
                continue
            (copy / file).write_text(text.replace(old, new))
            found = subprocess.run(
                [sys.executable, "-m", "pytest", "-x", "-q", "tests/test_properties.py"],
                cwd=copy,
                capture_output=True,
                text=True,
                check=False,
            )
            ended = found.returncode == 1
            missed += not ended
            why = next((line[1:].strip() for line in found.stdout.splitlines() if line.startswith("E ")), "")
            print(f"{name:45s}  {'found' if ended else 'NOT found'}  {why[:80]}", flush=True)
    return 1 if missed else 0


if __name__ == "__main__":
    sys.exit(main())
