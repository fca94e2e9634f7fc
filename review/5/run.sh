#!/bin/sh
# Plays the case "owners". Exits with 1 if the rule was broken, 0 if it held, 2 if the case
# could not run. TROUBLE=0 leaves the disruption out.
cd "$(dirname "$0")/../.." || exit 2
if [ ! -x target/coltsfootflow ] || [ ! -x review/bin/standin ]; then
	echo "run the build of deploy/system.toml and review/build.sh first" >&2
	exit 2
fi
exec review/bin/standin owners review/5
