#!/usr/bin/env bash
# The stand-ins of the cases 4 to 8 are plain modules for Node, so there is nothing to compile: this checks that they can be read.
set -euo pipefail
cd "$(dirname "$0")"
for file in lib-2/*.mjs 4/*.mjs 5/*.mjs 6/*.mjs 7/*.mjs 8/*.mjs; do
  [ ! -e "$file" ] || node --check "$file"
done
