#!/usr/bin/env bash
# Builds the stand-ins that the scripts of the cases 6 to 10 start. It needs no network. The nodes
# are built by the build line of deploy/system.toml.
set -euo pipefail
cd "$(dirname "$0")/standin"
mkdir -p ../../target/review-2
GOWORK=off GOFLAGS= GOPROXY=off go build -o ../../target/review-2/standin .
