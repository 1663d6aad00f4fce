"""Caches which sources clang-tidy found clean.

The key of an entry is a digest of all inputs of the check: the source, every header that it includes, the compile
command, the configuration and the version of the tool. Paths within the tree count relative to its root, so that a
result holds for every checkout with the same contents. With an empty cache every source is checked; after a change of
a header, every source that includes it.
"""

import hashlib
from pathlib import Path


class LintCache:
    """Computes digests of sources and stores those of clean sources as files in a folder."""

    def __init__(self, folder: Path, common: str, root: str):
        """`common` holds the inputs shared by all checks: configuration, extra flags, tool version. `root` is the
        absolute path of the tree."""
        self._folder = folder
        self._common = common
        self._root = root
        self._contents: dict[str, str] = {}

    def digest(self, source: str, command: str, headers: list[str]) -> str:
        """Returns the cache key for `source`."""
        parts = [self._common, self._relative(command)]
        parts += [f"{self._relative(path)}\0{self._content(path)}" for path in [source, *sorted(headers)]]
        return hashlib.sha256("\0\0".join(parts).encode()).hexdigest()

    def is_clean(self, digest: str) -> bool:
        return (self._folder / digest).exists()

    def keep_clean(self, digest: str) -> None:
        self._folder.mkdir(parents=True, exist_ok=True)
        (self._folder / digest).touch()

    def _relative(self, text: str) -> str:
        """Returns `text` with each path of the tree relative to its root."""
        return text.replace(f"{self._root}/", "")

    def _content(self, path: str) -> str:
        if path not in self._contents:
            try:
                self._contents[path] = hashlib.sha256(Path(path).read_bytes()).hexdigest()
            except OSError:
                self._contents[path] = "missing"
        return self._contents[path]


def parse_deps(text: str) -> dict[str, list[str]]:
    """Returns the headers of each object file from the output of `ninja -t deps`."""
    deps: dict[str, list[str]] = {}
    current: list[str] = []
    for line in text.splitlines():
        if line.startswith("    "):
            current.append(line.strip())
        elif ": #deps " in line:
            current = []
            # A stale entry belongs to an object that must be rebuilt; it is left out, so its source is always checked.
            if "(VALID)" in line:
                deps[line.split(":", 1)[0]] = current
    return deps
