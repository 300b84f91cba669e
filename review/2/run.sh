#!/usr/bin/env bash
# LOST: the idle runners of a rack are back within a second.
# Exits with 1 if the rule was broken, 0 if it held, 2 if the case could not run.
# TROUBLE=0 leaves the disruption out. RIG_LOGS names a folder for the logs.
cd "$(dirname "$0")/../.." || exit 2
exec review/rig/target/release/rig restarted-rack review/2
