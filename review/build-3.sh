#!/bin/sh
# Builds the stand-ins of the cases 11 to 15: plain modules for Node.js, which need no compiler and no package.
set -e
cd "$(dirname "$0")"
for file in standins-3/*.mjs 1[1-5]/*.mjs; do
    [ ! -e "$file" ] || node --check "$file"
done
