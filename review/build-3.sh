#!/bin/sh
# Prepares the stand-ins of the cases 11 to 15. They are Python programs of the standard library alone, so that
# there is nothing to build; this checks that they can be run, and leaves no file behind.
cd "$(dirname "$0")" || exit 1
command -v python3 >/dev/null 2>&1 || { echo "python3 is missing"; exit 1; }
for file in stand_ins_3/*.py 1[1-5]/*.py; do
    [ -e "$file" ] || continue
    python3 -c 'import ast, sys; ast.parse(open(sys.argv[1], encoding="utf-8").read(), sys.argv[1])' "$file" || exit 1
done
echo "stand-ins are ready"
