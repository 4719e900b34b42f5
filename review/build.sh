#!/bin/bash
# Builds the stand-ins that the scripts start.
set -eu
cd "$(dirname "$0")/.."
go build -o review/bin/stand ./review/stand
