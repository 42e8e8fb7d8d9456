#!/bin/sh
# Compiles the scripts of the cases, and the project's store stand-in that they use.
set -eu
cd "$(dirname "$0")/.."
npx tsc -p review
