#!/usr/bin/env bash
# The quick set of the acceptance over four sites, one heavy run after another: acceptance.sh KIT WHY
# KIT is the operators' kit. Ends with 1 if a run did not pass its gate.
set -uo pipefail
cd "$(dirname "$0")/.."
kit=$1
why=$2
bench=$kit/more/mass/bin/lbreal
failed=0

play() {
    local line
    line=$("$bench" score "$@" --why "$why" | tee /dev/stderr | grep -E '^GATE ')
    printf '%s: %s\n' "$1" "${line:-no verdict}"
    [ "$line" = "GATE passed" ] || failed=1
}

play "$kit/sites/moka-sim.toml" --quick
play "$kit/sites/moka-sim.toml" --panel brink --no-build
for site in "$kit/more/mass/other/recife-main.toml" deploy/sites/*/*.toml; do
    play "$site" --quick --no-build
    play "$site" --panel brink --no-build
done
exit $failed
