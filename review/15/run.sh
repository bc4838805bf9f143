#!/usr/bin/env bash
# Plays the case against the built programs: exit status 1 if the rule was broken, 0 if it held,
# 2 if the case could not run. TROUBLE=0 leaves the disruption out.
set -uo pipefail
here=$(cd "$(dirname "$0")" && pwd)
cd "$here/../.." || exit 2
play=target/review-3/restarted
program=target/flamingotack-platform
[[ -x $play && -x $program ]] || exit 2
trouble=true
[[ ${TROUBLE:-1} == 0 ]] && trouble=false
timeout 110 "$play" -program "$program" -record "$here/record.txt" -trouble="$trouble"
status=$?
[[ $status -le 2 ]] || status=2
exit "$status"
