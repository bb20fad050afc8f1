#!/bin/bash
# Exits with 1 if the rule was broken, 0 if it held, 2 if the case couldn't run. TROUBLE=0: the same without the loss.
cd "$(dirname "$0")/../.." || exit 2
export BEECHPOINT=$PWD/target/beechpoint PYTHONDONTWRITEBYTECODE=1
exec timeout -k 3 117 python3 review/4/case.py 2>/dev/null
