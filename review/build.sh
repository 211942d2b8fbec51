#!/bin/bash
# Builds the stand-ins that the scripts of the cases start, into review/bin. They are a module of their own, in a folder that the
# project's tests pass over: they speak the platform's names, and only platform/ may.
set -eu
cd "$(dirname "$0")/.standins"
GOWORK=off go build -o ../bin/ ./...
