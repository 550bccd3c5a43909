#!/bin/sh
# Builds the stand-ins of the review's cases with the JDK alone, into target/review.
set -e
cd "$(dirname "$0")/.."
rm -rf target/review
mkdir -p target/review
javac --release 17 -Xlint:all -d target/review review/standins/*.java
