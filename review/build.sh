#!/usr/bin/env bash
# Checks the stand-ins and cases, which Node.js runs as they are; the system itself is built by the command of the deploy file.
set -euo pipefail
cd "$(dirname "$0")"
for file in standins/*.mjs */case.mjs; do node --check "$file"; done
