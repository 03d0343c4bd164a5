#!/usr/bin/env bash
# Builds the one file that ships: dist/mulberrypaddle, run by Python 3.11.
set -eu
bin=$(cd "${1:-.venv/bin}" && pwd)
cd "$(dirname "$0")/.."
rm -rf build/sources
mkdir -p build/sources dist
git ls-files -z --cached --others --exclude-standard mulberrypaddle | xargs -0 cp --parents -t build/sources
"$bin/pex" \
  --requirement requirements/main.lock \
  --sources-directory build/sources \
  --entry-point mulberrypaddle.cli.main:main \
  --venv prepend \
  --python "$bin/python" \
  --python-shebang '/usr/bin/env python3.11' \
  --output-file dist/mulberrypaddle
ls -l dist/mulberrypaddle | awk '{print "size_bytes=" $5}'
