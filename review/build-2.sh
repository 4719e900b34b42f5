#!/usr/bin/env bash
# Builds the stand-ins of the scripts of the second review into target/review-2/. The build of deploy/system.toml comes before it.
set -euo pipefail
cd "$(dirname "$0")/.."
go build -o target/review-2/ ./review/stand2
