#!/usr/bin/env bash
# Plays the case: exit code 1 if the rule was broken, 0 if it held, 2 if the case could not run.
exec node "$(dirname "$0")/case.js"
