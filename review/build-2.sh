#!/usr/bin/env bash
# The stand-ins of review/6 and later are Python programs (standard library only; tools/setup installs python3): there
# is nothing to compile. Checks that they can be read and that the program of the deploy file has been built.
set -eu
cd "$(dirname "$0")/.."
for one in review/support-2/*.py review/[6-9]/*.py review/10/*.py; do
    [ -e "$one" ] || continue
    python3 -c 'import sys; compile(open(sys.argv[1], encoding="utf-8").read(), sys.argv[1], "exec")' "$one"
done
test -x target/bin/endivejunction
