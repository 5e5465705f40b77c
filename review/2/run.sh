#!/usr/bin/env bash
# Plays the case: exits with 1 if the rule was broken, 0 if it held, 2 if it couldn't run. TROUBLE=0: without the disruption.
# Needs the build of deploy/system.toml and review/build.sh.
cd "$(dirname "$0")/../.." || exit 2
stand_ins=target/review/release/review-stand-ins
for program in "$stand_ins" target/system/magpiegap; do
    [ -x "$program" ] || { echo "not built: $program"; exit 2; }
done
ulimit -n 4096 2> /dev/null
exec "$stand_ins" no-estimate review/2/record.txt
