#!/usr/bin/env bash
# The stand-ins of the cases need no build: checks that Node.js reads them and that the program was built.
set -eu
cd "$(dirname "$0")"
for file in *.js [1-5]/case.js; do node --check "$file"; done
test -f ../target/currantgap.cjs
