#!/usr/bin/env bash
# Builds every stand-in that a script of the cases 4 to 8 starts. They are plain JavaScript
# and use what the build of the deploy file installs, so there is nothing to compile: this
# checks that each can be read.
set -euo pipefail
cd "$(dirname "$0")"
for file in support-2/*.js [4-8]/*.js; do
  node --check "$file"
done
node -e "require('cbor-x')"
