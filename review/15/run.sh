#!/usr/bin/env bash
# Plays the case renamed: exits with 1 if the rule was broken, 0 if it held, 2 if it could
# not run. TROUBLE=0 leaves the disruption out.
cd "$(dirname "$0")/../.." || exit 2
for program in target/release/dotterelsill-node target/rig-3/release/rig-3; do
    [ -x "$program" ] || { echo "$program is not built" >&2; exit 2; }
done
timeout --kill-after=5 115 target/rig-3/release/rig-3 renamed "review/15"
status=$?
[ "$status" -le 1 ] && exit "$status"
exit 2
