#!/bin/bash
# Builds the stand-ins that the scripts of the cases start, into review/bin.
set -eu
cd "$(dirname "$0")/.."
go build -o review/bin/ ./review/standins/...
