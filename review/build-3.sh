#!/bin/bash
# The stand-ins of the cases 11 to 15 are plain modules that need nothing but Node.js: this checks them.
set -e
cd "$(dirname "$0")"
for file in lib-3/*.mjs 1[1-5]/*.mjs; do
  if [ -f "$file" ]; then
    node --check "$file"
  fi
done
