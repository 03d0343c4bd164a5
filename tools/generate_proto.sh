#!/usr/bin/env bash
# Generates the Python code of the peer protocol; the result is committed.
set -eu
python=${1:-.venv/bin/python}
cd "$(dirname "$0")/.."
"$python" -m grpc_tools.protoc -I . \
  --python_out=. --pyi_out=. --grpc_python_out=. \
  mulberrypaddle/peers/proto/*.proto
# Only a file that declares a service has generated service code worth keeping.
for file in mulberrypaddle/peers/proto/*_pb2_grpc.py; do
  grep -q 'class .*Servicer' "$file" || rm "$file"
done
