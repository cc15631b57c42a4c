#!/usr/bin/env bash
# Compiles the stand-ins and the scripts' programs of the second review, with the JDK only.
set -euo pipefail
cd "$(dirname "$0")/.."
mkdir -p target/review-2
javac -Xlint:all -Werror -d target/review-2 review/support-2/*.java
