#!/usr/bin/env bash
# Builds what the scripts of the cases 6 to 10 start beside the deploy file's program. Their stand-ins are plain
# JavaScript for Node.js 20 without dependencies, so there is nothing to compile; this checks that each can be read.
set -eu
cd "$(dirname "$0")"
for file in standin-2/*.mjs [6-9]/*.mjs 10/*.mjs; do
    [ -e "$file" ] || continue
    node --check "$file"
done
test -f ../target/tanagerdeck.cjs || { echo "target/tanagerdeck.cjs is missing: build the deploy file first" >&2; exit 1; }
