#!/bin/sh
# Builds the stand-ins of cases 6 to 10, offline: they use the standard library only.
set -eu
cd "$(dirname "$0")/standin-2"
exec cargo build --release --locked --offline
