"""Whether the listed system packages are all that a clean build needs (Debian alone; root is not needed).

    python3 benchmarks/clean_build.py

Clones the last commit, and runs the `build` command of each deploy file there by the shell, with a `PATH` of the
programs alone that its `packages` and their dependencies bring. Then the program that the build made is imported, under
the same `PATH`. A `PATH` hides neither modules nor libraries, so their files are looked up, too: the modules that the
build names, and all that the wheels' libraries are linked with, have to belong to one of these packages. Prints each
deploy file with the number of packages and programs, the exit status, and files of other packages.
"""

from __future__ import annotations

import os
import re
import subprocess
import sys
import tempfile
import tomllib
from collections.abc import Iterable
from pathlib import Path

ROOT = Path(__file__).resolve().parents[1]
PROGRAM_FOLDERS = ("/bin", "/usr/bin", "/sbin", "/usr/sbin")
SHELL = "/bin/sh"
BUILD_SECONDS = 900.0
IMPORTS = {
    "deploy/system.toml": (
        "python3",
        {"PYTHONPATH": "target/deps"},
        "import pipitledge.programs.node, pipitledge.programs.agent",
    ),
    "deploy/balancer.toml": (".venv/bin/python", {}, "import greenlet, lark, msgspec, pipitledge.__main__"),
}
"""Of each deploy file: the interpreter it runs, variables that the platform sets, and what has to be importable."""


def closure(packages: Iterable[str]) -> set[str]:
    """The packages and all that they depend on, as installed here."""
    known: set[str] = set()
    waiting = list(packages)
    while waiting:
        name = waiting.pop()
        if name in known:
            continue
        known.add(name)
        query = ["dpkg-query", "-W", "-f", "${Depends},${Pre-Depends}", name]
        listed = subprocess.run(query, capture_output=True, text=True, check=False).stdout
        for clause in listed.split(","):
            alternatives = [word.split()[0].partition(":")[0] for word in clause.split("|") if word.strip()]
            waiting += [name for name in alternatives if _is_installed(name)][:1]
    return known


def _is_installed(name: str) -> bool:
    query = ["dpkg-query", "-W", "-f", "${db:Status-Status}", name]
    return subprocess.run(query, capture_output=True, text=True, check=False).stdout == "installed"


def link_programs(packages: Iterable[str], folder: Path) -> int:
    """Put links to all programs of the packages into `folder`; how many."""
    for package in packages:
        listed = subprocess.run(["dpkg-query", "-L", package], capture_output=True, text=True, check=False).stdout
        for line in listed.splitlines():
            path = Path(line)
            link = folder / path.name
            if str(path.parent) in PROGRAM_FOLDERS and path.is_file() and not link.exists():
                link.symlink_to(path)
    return len(list(folder.iterdir()))


def foreign_files(settings: dict[str, str], clone: Path, packages: set[str]) -> list[str]:
    """Modules that the build names, and libraries that its wheels need, of packages that are not listed."""
    files = [_module_file(name) for name in sorted(set(re.findall(r"python3 -m (\w+)", settings["build"])))]
    for wheel_library in clone.rglob("*.so"):
        linked = subprocess.run(["ldd", str(wheel_library)], capture_output=True, text=True, check=False).stdout
        files += re.findall(r"=> (/\S+)", linked)
    return sorted({file for file in files if not packages & _owners(file)})


def _module_file(name: str) -> str:
    command = ["/usr/bin/python3", "-c", f"import {name}; print({name}.__file__)"]
    return subprocess.run(command, capture_output=True, text=True, check=True).stdout.strip()


def _owners(file: str) -> set[str]:
    """Packages that hold the file; Debian's libraries may be listed under /usr or without it."""
    names = {file, os.path.realpath(file), file.removeprefix("/usr"), os.path.realpath(file).removeprefix("/usr")}
    found = subprocess.run(["dpkg", "-S", *sorted(names)], capture_output=True, text=True, check=False).stdout
    return {line.partition(":")[0] for line in found.splitlines()}


def build(deploy_file: str, scratch: Path) -> bool:
    """Build by that deploy file from a clean clone; whether it succeeded and its program can be imported."""
    settings = tomllib.loads((ROOT / deploy_file).read_text())
    clone, programs, home = scratch / "clone", scratch / "programs", scratch / "home"
    programs.mkdir(parents=True)
    home.mkdir()
    subprocess.run(["git", "clone", "-q", str(ROOT), str(clone)], check=True)
    packages = closure(settings["packages"])
    count = link_programs(packages, programs)
    environment = {"PATH": str(programs), "HOME": str(home), "LANG": os.environ.get("LANG", "C.UTF-8")}
    built = subprocess.run([SHELL, "-c", settings["build"]], cwd=clone, env=environment, timeout=BUILD_SECONDS)
    interpreter, variables, imports = IMPORTS[deploy_file]
    command = [SHELL, "-c", f'exec {interpreter} -c "{imports}"']
    imported = subprocess.run(command, cwd=clone, env=environment | variables, timeout=BUILD_SECONDS)
    foreign = foreign_files(settings, clone, packages)
    print(
        f"{deploy_file}: {len(packages)} packages, {count} programs, build exit status {built.returncode}, "
        f"import exit status {imported.returncode}, files of other packages: {', '.join(foreign) or 'none'}"
    )
    return built.returncode == imported.returncode == 0 and not foreign


def main() -> int:
    """Build by both deploy files; 0 if both succeed."""
    sound = True
    for deploy_file in IMPORTS:
        with tempfile.TemporaryDirectory() as folder:
            sound = build(deploy_file, Path(folder)) and sound
    return 0 if sound else 1


if __name__ == "__main__":
    sys.exit(main())
