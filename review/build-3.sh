#!/usr/bin/env bash
# Checks the stand-ins and cases of the third review. They are plain JavaScript and run as they are.
set -euo pipefail
cd "$(dirname "$0")"
for file in standins-3/*.js 1[1-5]/case.js; do
  [ ! -f "$file" ] || node --check "$file"
done
