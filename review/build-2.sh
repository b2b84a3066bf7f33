#!/bin/sh
# Builds the stand-ins of the scripts in review/6 to review/10 into target/review-2/.
set -eu
cd "$(dirname "$0")/second"
go build -trimpath -o ../../target/review-2/rig .
