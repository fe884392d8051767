"""The system packages that the deploy files list, beside what their builds call."""

from __future__ import annotations

import re
import tomllib
import unittest
from pathlib import Path

ROOT = Path(__file__).resolve().parents[1]
DEPLOY_FILES = ("deploy/system.toml", "deploy/balancer.toml")

SHELL_WORDS = frozenset({"[", "exec"})
"""What the shell itself brings; it is there wherever a build is handed to one."""
PACKAGE_OF_PROGRAM = {"python3": "python3", "touch": "coreutils", "rm": "coreutils"}
PACKAGE_OF_MODULE = {"pip": "python3-pip", "venv": "python3-venv", "compileall": "python3"}
LINKED_WITH_CPLUSPLUS = {"picologging": "requirements-system.txt", "greenlet": "requirements.txt"}
"""Libraries whose wheels load libstdc++, and the file of requirements that brings each."""


def called_programs(command: str) -> set[str]:
    """The first word of each simple command; what a build makes for itself (`.venv/...`) is no package's."""
    simple = re.split(r"&&|\|\||;|[{}()]", re.sub(r"'[^']*'", "''", command))
    words = {part.split()[0] for part in simple if part.strip()}
    return {word for word in words if not word.startswith(".venv/")}


def needed_packages(command: str, requirements: str) -> set[str]:
    programs = called_programs(command) - SHELL_WORDS
    modules = set(re.findall(r"python3 -m (\w+)", command))
    needed = {PACKAGE_OF_PROGRAM[name] for name in programs} | {PACKAGE_OF_MODULE[name] for name in modules}
    libraries = set(re.findall(r"^([\w-]+)==", requirements, re.MULTILINE))
    return needed | ({"libstdc++6"} if libraries & LINKED_WITH_CPLUSPLUS.keys() else set())


class PackagesTest(unittest.TestCase):
    def test_each_build_has_the_packages_that_it_calls_and_no_others(self) -> None:
        for name in DEPLOY_FILES:
            with self.subTest(name):
                deploy = tomllib.loads((ROOT / name).read_text())
                [requirements] = set(re.findall(r"-r (\S+\.txt)", deploy["build"]))
                needed = needed_packages(deploy["build"], (ROOT / requirements).read_text())
                self.assertEqual(sorted(needed), deploy["packages"])

    def test_builds_take_wheels_alone(self) -> None:
        for name in DEPLOY_FILES:
            build = tomllib.loads((ROOT / name).read_text())["build"]
            installs = re.findall(r"pip[^&;|]* install [^&;|]*", build)
            self.assertTrue(installs, name)
            self.assertTrue(all("--only-binary :all:" in install for install in installs), name)

    def test_a_package_that_is_left_out_is_noticed(self) -> None:
        self.assertEqual(
            needed_packages("python3 -m venv .venv && .venv/bin/pip install x && rm -rf y", "greenlet==1"),
            {"python3", "python3-venv", "coreutils", "libstdc++6"},
        )


if __name__ == "__main__":
    unittest.main()
