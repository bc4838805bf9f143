#!/usr/bin/env bash
# Builds the stand-ins of the third review, which need the standard library only.
set -euo pipefail
cd "$(dirname "$0")/third"
go build -o ../../target/review-3/ ./cases/...
