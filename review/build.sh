#!/usr/bin/env bash
# Builds the stand-ins that the scripts of the cases start. Needs no network.
set -euo pipefail
cd "$(dirname "$0")/.."
mkdir -p target/review
go build -o target/review/standins ./review/standins
