#!/bin/sh
# Plays the case in the folder $1. Exits with 1 if the rule was broken, 0 if it
# held, and 2 if the case could not run.
PYTHONDONTWRITEBYTECODE=1 python3 "$1/case.py"
case $? in
0) exit 0 ;;
3) exit 1 ;;
*) exit 2 ;;
esac
