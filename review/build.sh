#!/bin/sh
# The stand-ins of the scripts are plain modules: they are only checked here.
set -e
cd "$(dirname "$0")"
for file in lib/*.mjs */run.mjs; do
  node --check "$file"
done
