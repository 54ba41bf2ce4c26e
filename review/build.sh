#!/bin/sh
# Build the stand-ins of the scripts: they are Python and need only a syntax check.
cd "$(dirname "$0")" || exit 1
for file in rig.py */case.py; do
    python3 -c "import ast, sys; ast.parse(open(sys.argv[1]).read(), sys.argv[1])" "$file" || exit 1
done
