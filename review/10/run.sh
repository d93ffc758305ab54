#!/usr/bin/env bash
# Case 10. Exits with 1 if the rule was broken, 0 if it held, 2 if the case could not run.
cd "$(dirname "$0")" && exec python3 case.py
