#!/bin/sh
# Builds what the cases 11 to 15 start beside the daemons: all of it is Python, and runs
# on the libraries that the build of the deploy file has put into target/deps.
cd "$(dirname "$0")/.." || exit 2
PYTHONPATH="$PWD:$PWD/target/deps" exec python3 -c "
import azurelanding.standins.platform_store, review.lab_3
for number in range(11, 16):
    path = f'review/{number}/case.py'
    compile(open(path).read(), path, 'exec')
"
