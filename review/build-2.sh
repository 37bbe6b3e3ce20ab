#!/usr/bin/env bash
# Prepares what the scripts of the second review start. All their stand-ins are in
# harness_2.py and use the standard library only, so it is only checked and compiled.
set -euo pipefail
cd "$(dirname "$0")/.."
python3 -c 'import sys; sys.exit(sys.version_info < (3, 11))'
for file in review/harness_2.py review/{6,7,8,9,10}/case.py; do
  if [ -f "$file" ]; then
    python3 -c 'import sys; compile(open(sys.argv[1]).read(), sys.argv[1], "exec")' "$file"
  fi
done
