"""Tests of the cache of clean lint results."""

import shutil
import sys
import tempfile
import unittest
from pathlib import Path

sys.path.insert(0, str(Path(__file__).resolve().parents[2] / "tools"))

from lint_cache import LintCache, parse_deps  # noqa: E402


class LintCacheTest(unittest.TestCase):
    def setUp(self):
        self._folder = tempfile.TemporaryDirectory()
        self.addCleanup(self._folder.cleanup)
        self.root = Path(self._folder.name)
        self.source = self.write("a.cpp", '#include "a.h"')
        self.header = self.write("a.h", "int a();")
        self.other = self.write("b.h", "int b();")

    def write(self, name: str, text: str) -> str:
        path = self.root / name
        path.write_text(text)
        return str(path)

    def digest(self, common: str = "v1", command: str = "c++ a.cpp") -> str:
        return LintCache(self.root / "cache", common, str(self.root)).digest(self.source, command, [self.header])

    def test_clean_result_is_kept_while_inputs_are_unchanged(self):
        cache = LintCache(self.root / "cache", "v1", str(self.root))
        self.assertFalse(cache.is_clean(self.digest()))
        cache.keep_clean(self.digest())
        self.write("b.h", "int another();")
        self.assertTrue(cache.is_clean(self.digest()))

    def test_changed_header_changes_digest(self):
        before = self.digest()
        self.write("a.h", "int a(int);")
        self.assertNotEqual(before, self.digest())

    def test_digest_depends_on_source_command_and_tool(self):
        before = self.digest()
        self.assertNotEqual(before, self.digest(common="v2"))
        self.assertNotEqual(before, self.digest(command="c++ -O2 a.cpp"))
        self.write("a.cpp", "int main() {}")
        self.assertNotEqual(before, self.digest())

    def test_result_holds_for_another_checkout_with_the_same_contents(self):
        digests = set()
        for name in ["one", "another"]:
            root = self.root / name
            root.mkdir()
            files = [shutil.copy(path, root) for path in [self.source, self.header]]
            cache = LintCache(self.root / "cache", "v1", str(root))
            digests.add(cache.digest(files[0], f"c++ -I{root}/include {files[0]}", [files[1]]))
        self.assertEqual(len(digests), 1)

    def test_parse_deps_reads_valid_entries_only(self):
        text = "x/a.o: #deps 2, deps mtime 1 (VALID)\n    ../a.cpp\n    ../a.h\n\ny.o: #deps 1, deps mtime 1 (STALE)\n    ../b.h\n"
        self.assertEqual(parse_deps(text), {"x/a.o": ["../a.cpp", "../a.h"]})


if __name__ == "__main__":
    unittest.main()
