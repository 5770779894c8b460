#!/bin/bash
# Builds what the scripts of the second review start: all of it is Python, so this only
# checks that the programs and stand-ins load with what the deploy file's build installed.
set -e
cd "$(dirname "$0")/.."
export PYTHONPATH="target/deps:." PYTHONDONTWRITEBYTECODE=1
python3 -c "import greengageflow.daemon.gateway, greengageflow.lab.platform_store"
for part in review/harness2.py review/[4-8]/case.py; do
    [ ! -e "$part" ] || python3 -c "import ast, sys; ast.parse(open(sys.argv[1]).read())" "$part"
done
