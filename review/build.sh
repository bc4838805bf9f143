#!/usr/bin/env bash
# Builds the program that starts the stand-ins of all scripts. It needs no network.
set -euo pipefail
cd "$(dirname "$0")"
GOWORK=off GOFLAGS= GOPROXY=off go build -o target/reviewer ./cmd/reviewer
