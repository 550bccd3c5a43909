#!/bin/sh
# Exit 0: the rule held; 1: it was broken; 2: the case could not run. TROUBLE=0 plays it without the disruption.
here="$(cd "$(dirname "$0")" && pwd)"
root="$(cd "$here/../../.." && pwd)"
if [ ! -f "$root/target/nettlewick.jar" ] || [ ! -d "$root/target/review" ]; then
    echo "build the program and run review/build.sh first" >&2
    exit 2
fi
exec java -Xmx512m -cp "$root/target/review" Burst "$root" "$here"
