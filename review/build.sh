#!/usr/bin/env bash
# The stand-ins and runners of the review are plain modules that need no build; this only checks
# that Node.js can parse them. They use the project's installed packages and its built target/.
cd "$(dirname "$0")/.." || exit 2
for file in review/support/*.mjs review/*/play.mjs; do
  node --check "$file" || exit 1
done
