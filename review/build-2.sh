#!/bin/bash
# Builds the stand-ins of the cases 6 to 10. The nodes are built by the build line of
# deploy/system.toml.
set -e
root="$(cd "$(dirname "$0")/.." && pwd)"
mkdir -p "$root/target/review-2"
cd "$root/review/standin"
GOFLAGS=-mod=mod GOWORK=off go build -o "$root/target/review-2/standin" .
