"""Remembers which sources clang-tidy found clean.

A verdict is kept under a digest of everything that it rests on: the source, every header that it includes, the
compile command, the configuration and the version of the tool. A new machine checks all; a changed header brings
every source back that includes it.
"""

import hashlib
from pathlib import Path


class LintCache:
    """Digests of sources, and the folder that keeps those found clean."""

    def __init__(self, folder: Path, common: str):
        """`common` is what all verdicts rest on: configuration, extra flags, tool version."""
        self._folder = folder
        self._common = common
        self._contents: dict[str, str] = {}

    def digest(self, source: str, command: str, headers: list[str]) -> str:
        """The digest under which the verdict on `source` is kept."""
        parts = [self._common, command]
        parts += [f"{path}\0{self._content(path)}" for path in [source, *sorted(headers)]]
        return hashlib.sha256("\0\0".join(parts).encode()).hexdigest()

    def is_clean(self, digest: str) -> bool:
        return (self._folder / digest).exists()

    def keep_clean(self, digest: str) -> None:
        self._folder.mkdir(parents=True, exist_ok=True)
        (self._folder / digest).touch()

    def _content(self, path: str) -> str:
        if path not in self._contents:
            try:
                self._contents[path] = hashlib.sha256(Path(path).read_bytes()).hexdigest()
            except OSError:
                self._contents[path] = "missing"
        return self._contents[path]


def parse_deps(text: str) -> dict[str, list[str]]:
    """Headers by object file, from the output of `ninja -t deps`."""
    deps: dict[str, list[str]] = {}
    current: list[str] = []
    for line in text.splitlines():
        if line.startswith("    "):
            current.append(line.strip())
        elif ": #deps " in line:
            current = []
            # A stale entry is of an object that is built anew; without headers it is always checked.
            if "(VALID)" in line:
                deps[line.split(":", 1)[0]] = current
    return deps
