#!/bin/sh
# Checks that the stand-ins of the cases load. They are Python modules, the project's
# and the one in this folder, and need what the build of the deploy file installs.
set -eu
cd "$(dirname "$0")/.."
PYTHONPATH="target/deps:." PYTHONDONTWRITEBYTECODE=1 python3 -c "import review.harness"
