#!/usr/bin/env bash
# Builds the programs that play the cases 11 to 15, with the stand-ins that they hold. It needs no
# network. The nodes are built by the build line of deploy/system.toml.
set -euo pipefail
cd "$(dirname "$0")/third"
mkdir -p ../../target/review-3
GOWORK=off GOFLAGS= GOPROXY=off go build -o ../../target/review-3/ ./cases/...
