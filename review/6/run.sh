#!/usr/bin/env bash
# Case 6. Exits with 1 if the rule was broken, 0 if it held, 2 if the case could not run. TROUBLE=0
# leaves the disruption out. Needs target/daemon/wigeonlaned and python3.
cd "$(dirname "$0")" || exit 2
rm -f record.txt
PYTHONDONTWRITEBYTECODE=1 python3 case.py
code=$?
# Only a record that says so stands for a broken rule or one that held.
case $code in
  0) grep -q ' verdict: held$' record.txt || code=2 ;;
  1) grep -q ' verdict: BROKEN: ' record.txt || code=2 ;;
  *) code=2 ;;
esac
exit $code
