#!/usr/bin/env bash
# Builds what the scripts under review/ start beside the build of the deploy file: the stand-ins, which are
# Python with its standard library alone.
set -eu
cd "$(dirname "$0")"
python3 -m py_compile standin/*.py [1-5]/*.py
