#!/usr/bin/env bash
# Builds what the scripts start. The stand-ins are plain JavaScript without a build step; their syntax is checked.
set -euo pipefail
cd "$(dirname "$0")"
for file in lib/*.mjs [0-9]/*.mjs; do node --check "$file"; done
