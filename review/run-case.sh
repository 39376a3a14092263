#!/bin/sh
# Runs the stand-in $1 for the case in the folder $2, with a temporary folder.
cd "$(dirname "$0")/.." || exit 2
program=target/review/$1
if [ ! -x "$program" ] || [ ! -x target/release/cyclamengauged ]; then
    echo "build first: the build line of deploy/system.toml, then review/build.sh" >&2
    exit 2
fi
temporary=$(mktemp -d) || exit 2
"$program" "$2" "$temporary"
status=$?
rm -rf "$temporary"
case $status in
    0 | 1) exit $status ;;
    *) exit 2 ;;
esac
