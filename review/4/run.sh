#!/usr/bin/env bash
# TWICE: runners restart while the platform's list of machines is slow.
# Exits with 1 if the rule was broken, 0 if it held, 2 if the case could not run.
# TROUBLE=0 leaves the disruption out. RIG_LOGS names a folder for the logs.
cd "$(dirname "$0")/../.." || exit 2
exec review/rig/target/release/rig stale-list review/4
