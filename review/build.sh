#!/usr/bin/env bash
# The stand-ins are plain modules for Node.js without dependencies: nothing is compiled, each is only parsed.
set -euo pipefail
cd "$(dirname "$0")"
for file in standin/*.mjs [0-9]*/*.mjs; do
    node --check "$file"
done
test -f ../target/tanagerdeck.cjs || echo "target/tanagerdeck.cjs is missing: run the build of the deploy file first" >&2
