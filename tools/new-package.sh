#!/usr/bin/env bash
# Creates an empty package: tools/new-package.sh NAME "One sentence that describes it."
set -eu
cd "$(dirname "$0")/.."
mkdir -p "packages/$1/src"
cat > "packages/$1/package.json" <<J
{
    "name": "@kumquathall/$1",
    "version": "0.1.0",
    "description": "$2",
    "type": "module",
    "exports": { ".": { "types": "./dist/index.d.ts", "default": "./dist/index.js" } },
    "files": ["dist"],
    "dependencies": {}
}
J
printf '# @kumquathall/%s\n\n%s\n' "$1" "$2" > "packages/$1/README.md"
printf '# @kumquathall/%s\n\n## 0.1.0\n\n- First version.\n' "$1" > "packages/$1/CHANGELOG.md"
