#!/usr/bin/env bash
# Ends with 1 if the rule was broken, 0 if it held, 2 if it could not run. TROUBLE=0: the same without the disruption.
# With the argument "learner" the same end is reached in another way.
TROUBLE=${TROUBLE:-1}
case "$TROUBLE" in
0 | 1) ;;
*)
  echo "TROUBLE is neither 0 nor 1"
  exit 2
  ;;
esac
export TROUBLE
exec python3 "$(dirname "$0")/case.py" "$@"
