#!/bin/sh
# Builds the stand-ins of review/6 to review/10. They are plain JavaScript without dependencies, so that a check of each file
# is all there is to build. The daemon comes from the build of the deploy file.
set -e
cd "$(dirname "$0")"
for file in lib-2/*.mjs [6-9]/*.mjs 10/*.mjs; do
    [ ! -f "$file" ] || node --check "$file"
done
