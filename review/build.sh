#!/bin/sh
# Builds the stand-ins of the scripts: one program that needs only the standard library.
set -e
cd "$(dirname "$0")/.."
mkdir -p target/review
rustc --edition 2021 -O -o target/review/standin review/standin/main.rs
