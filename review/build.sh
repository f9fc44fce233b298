#!/usr/bin/env bash
# Builds the stand-ins of the scripted cases. They use Go's standard library alone.
set -euo pipefail
cd "$(dirname "$0")"
go build -buildvcs=false -o bin/lab ./lab
