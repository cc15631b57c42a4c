#!/usr/bin/env bash
# Needs the build of the deploy file and review/build.sh. TROUBLE=0 leaves out the disruption.
set -euo pipefail
cd "$(dirname "$0")/../.."
exec java -cp target/review DeadlyPart review/4/record.txt
