#!/usr/bin/env bash
# Builds the stand-ins that the scripts of the cases start. The daemon is built by the deploy
# file's own build.
set -euo pipefail
cd "$(dirname "$0")/.."
mkdir -p review/bin
go build -o review/bin/lab ./review/_lab
