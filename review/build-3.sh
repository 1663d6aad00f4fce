#!/usr/bin/env bash
# The stand-ins of review/11 and later are Python programs that use the standard library only (tools/setup installs
# python3): there is nothing to compile. Checks that they can be read and that the program of the deploy file has been
# built. The scripts also run after review/build-2.sh alone.
set -eu
cd "$(dirname "$0")/.."
for one in review/support-3/*.py review/1[1-9]/*.py; do
    [ -e "$one" ] || continue
    python3 -c 'import sys; compile(open(sys.argv[1], encoding="utf-8").read(), sys.argv[1], "exec")' "$one"
done
test -x target/bin/endivejunction
