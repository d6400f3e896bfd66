#!/bin/sh
# The stand-ins of cases 4 to 8 are plain modules that run as they are; this checks that what they need is there.
set -e
cd "$(dirname "$0")/.."
test -f target/main.cjs || { echo 'target/main.cjs is missing: run the build of the deploy file first' >&2; exit 1; }
for file in review/lib-2/*.mjs review/[4-8]/case.mjs; do
	node --check "$file"
done
node --input-type=module -e "await import('./review/lib-2/net.mjs')"
