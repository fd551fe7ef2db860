#!/usr/bin/env bash
# Exits with 1 if the rule was broken, 0 if it held, 2 if the case couldn't run.
# With TROUBLE=0 it leaves the disruption out.
cd "$(dirname "$0")/../.." || exit 2
trouble=1
if [ "${TROUBLE:-1}" = 0 ]; then
    trouble=0
fi
export PYTHONPATH=review PYTHONDONTWRITEBYTECODE=1
exec python3 review/4/case.py "$trouble"
