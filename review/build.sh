#!/usr/bin/env bash
# Prepares the scripts of the cases. Their stand-ins (lib/deployment.mjs) are plain modules of Node.js without
# dependencies, so that nothing has to be compiled; this checks them, and that the deploy file's build has run.
set -euo pipefail
cd "$(dirname "$0")"
for module in lib/*.mjs */play.mjs; do
    node --check "$module"
done
test -f ../target/kumquathalld.cjs || { echo "run the build of the deploy file first" >&2; exit 1; }
