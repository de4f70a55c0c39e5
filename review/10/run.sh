#!/usr/bin/env bash
# Runs the case; see claim.txt. TROUBLE=0 leaves the disruption out.
PYTHONDONTWRITEBYTECODE=1 exec python3 "$(dirname "$0")/case.py"
