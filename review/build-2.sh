#!/usr/bin/env bash
# Compiles the stand-ins and the tests of the cases 6 to 10. To be run after the deploy file's build; needs a JDK 17.
set -euo pipefail
cd "$(dirname "$0")/.."
rm -rf target/review-2
mkdir -p target/review-2
javac --release 17 -Xlint:all,-try -Werror -d target/review-2 review/standins-2/*.java
