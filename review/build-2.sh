#!/bin/sh
# Builds what the scripts of review/6 to review/10 start: the program that the deploy file builds (the project's own
# stand-ins are its sub-commands), and the program of each case, by the compiler alone.
set -e
cd "$(dirname "$0")/.."
cargo build --release --locked --offline --package stagehoist --package stagehoist-cli
mkdir -p review/target
for n in 6 7 8 9 10; do
    if [ -f "review/$n/case.rs" ]; then
        rustc --edition 2021 -O -o "review/target/case-$n" "review/$n/case.rs"
    fi
done
