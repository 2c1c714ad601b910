#!/usr/bin/env bash
# Builds what the scripts of review/11 to review/15 start besides the build of the deploy file. The stand-ins are plain
# JavaScript without dependencies, so there is nothing to compile: this checks that each file can be parsed.
set -euo pipefail
cd "$(dirname "$0")/.."
for file in review/standin-3/*.mjs review/1[1-5]/*.mjs; do
    if [ -f "$file" ]; then
        node --check "$file"
    fi
done
