#!/usr/bin/env bash
# Compiles the stand-ins and the drivers of the cases.
set -euo pipefail
cd "$(dirname "$0")/.."
rm -rf target/review
mkdir -p target/review
javac -Xlint:all -d target/review review/support/*.java
cp review/support/wire.properties target/review/
