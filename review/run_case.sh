#!/usr/bin/env bash
# run_case.sh N: runs the script of case N. Exits with 1 if the rule was broken, 0 if it
# held, 2 if the case could not run. TROUBLE=0 leaves the disruption out.
cd "$(dirname "$0")/.." || exit 2
export PYTHONPATH="$PWD/target/deps:$PWD" PYTHONDONTWRITEBYTECODE=1
python=python3
if ! "$python" -c "import circuits, httptools, msgpack" 2>/dev/null; then
    python=.venv/bin/python
fi
exec "$python" "review/$1/case.py"
