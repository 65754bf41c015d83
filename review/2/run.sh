#!/usr/bin/env bash
# TROUBLE=0 leaves the disruption out.
export TROUBLE="${TROUBLE:-1}"
exec node "$(dirname "$0")/case.mjs"
