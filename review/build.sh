#!/bin/sh
# Builds the stand-ins that the cases start. Needs no network: they use the standard library only.
set -eu
cd "$(dirname "$0")/standin"
exec cargo build --release --offline --target-dir target
