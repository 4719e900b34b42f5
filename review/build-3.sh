#!/usr/bin/env bash
# Builds the stand-ins of the scripted cases 11 to 15.
set -euo pipefail
cd "$(dirname "$0")/.."
go build -o target/review-rig3 ./review/rig3
