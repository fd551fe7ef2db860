#!/bin/sh
# Builds the stand-ins of this review: checks that they compile, and that
# their libraries, which the build of the deploy file installs, are there.
cd "$(dirname "$0")/.." || exit 1
export PYTHONPATH=target/deps PYTHONDONTWRITEBYTECODE=1
for file in review/*_2.py; do
    python3 -c 'import sys; compile(open(sys.argv[1]).read(), sys.argv[1], "exec")' "$file" || exit 1
done
exec python3 -c 'import tornado.web, tornado.simple_httpclient'
