#!/bin/sh
# 1: the rule was broken, 0: it held, 2: the case could not run. With TROUBLE=0 there is no disruption.
here=$(cd "$(dirname "$0")" && pwd) || exit 2
root=$(cd "$here/../.." && pwd) || exit 2
folder=$(mktemp -d) || exit 2
trap 'rm -rf "$folder"' EXIT
"$root/review/standin-2/target/release/review-case" taken_back "$root" "$folder" "$here/record.txt"
status=$?
[ "$status" -le 1 ] || exit 2
exit "$status"
