#!/bin/sh
# The stand-ins of review 3 are Python 3 of the standard library alone: nothing is built, only checked.
cd "$(dirname "$0")" || exit 1
for file in stand-in-3/*.py [0-9]*/run.py; do
  python3 -c 'import ast, sys; ast.parse(open(sys.argv[1]).read())' "$file" || exit 1
done
