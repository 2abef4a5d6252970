#!/usr/bin/env bash
# Builds the stand-ins and the scripts of the cases, after the build of the deploy file, into review/target.
set -eu
cd "$(dirname "$(readlink -f "$0")")/.."
JAVA_HOME=$(bin/find-jdk)
libraries="target/boragebarrow-platform/lib/*"
rm -rf review/target
mkdir -p review/target
"$JAVA_HOME/bin/javac" -d review/target -cp "$libraries" review/standins/*.java
