#!/bin/sh
# Builds all that a script starts: the project's own stand-ins, which are sub-commands of the deploy file's binary, and the
# cases with the stand-ins beside them, with the tool chain alone, into review/target.
set -eu
cd "$(dirname "$0")/.."
cargo build --release --locked --package stagehoist --package stagehoist-cli
cd review
mkdir -p target
for case in [0-9]; do
    rustc --edition 2021 -O "$case/case.rs" -o "target/case-$case"
done
