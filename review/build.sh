#!/bin/sh
# Checks that the stand-ins, which need only Python's standard library, can be loaded.
set -e
cd "$(dirname "$0")"
for file in standins/*.py [0-9]*/*.py; do
  python3 -c 'import ast, sys; ast.parse(open(sys.argv[1], encoding="utf-8").read())' "$file"
done
