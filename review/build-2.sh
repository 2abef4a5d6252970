#!/usr/bin/env bash
# Builds the stand-ins and cases of the second review, under target/; run it after the build of the deploy file.
set -eu
cd "$(dirname "$(readlink -f "$0")")/.."
JAVA_HOME=$(bin/find-jdk)
rm -rf target/review-2
mkdir -p target/review-2
"$JAVA_HOME/bin/javac" --release 21 -d target/review-2 review/standins-2/*.java
