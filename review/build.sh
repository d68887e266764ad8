#!/bin/sh
# Builds the stand-ins that the cases start. They are Python and use what the
# build of the deploy file has put into target/deps, so that compiling them and
# loading the project's own ones shows that all is there.
set -eu
cd "$(dirname "$0")/.."
python3 -m compileall -q review tools/standin
PYTHONPATH="target/deps:.:review" python3 -c '
import stage
import tools.standin.platform_store
'
