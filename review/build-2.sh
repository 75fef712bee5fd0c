#!/bin/sh
# Builds the stand-ins of the cases 4 to 6. They are plain modules of Node.js,
# which need no build step: this checks that they can be read, and that the
# programs of the deploy file have been built.
set -e
cd "$(dirname "$0")/.."
test -f target/start.cjs || { echo "run the build of deploy/system.toml first"; exit 2; }
for file in review/standins-2.mjs review/[456]/case.mjs; do
  test -f "$file" || continue
  node --check "$file"
done
