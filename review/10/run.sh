#!/bin/bash
# Plays the trial "crash". Exits with 1 if the rule was broken, 0 if it held, 2 if the trial could
# not run. TROUBLE=0 leaves the disruption out.
folder="$(cd "$(dirname "$0")" && pwd)"
root="$(cd "$folder/../.." && pwd)"
if [ ! -x "$root/target/review-2/standin" ] || [ ! -x "$root/target/flamingotack-platform" ]; then
	echo "the build of deploy/system.toml or review/build-2.sh is missing" >&2
	exit 2
fi
exec "$root/target/review-2/standin" crash "$root" "$folder"
