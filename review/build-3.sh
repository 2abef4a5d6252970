#!/usr/bin/env bash
# Builds the stand-ins and cases of the third review into target/review-3.
set -eu
cd "$(dirname "$(readlink -f "$0")")/.."
home=$(bin/find-jdk)
rm -rf target/review-3
mkdir -p target/review-3
"$home/bin/javac" --release 21 -nowarn -d target/review-3 review/standins-3/*.java
