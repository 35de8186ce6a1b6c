#!/usr/bin/env bash
# Builds the stand-ins of the review's scripts. They use the standard library only.
set -euo pipefail
cd "$(dirname "$0")/.."
mkdir -p target/review
for program in disks_in_turn; do
    rustc --edition 2024 -O -o "target/review/$program" "review/standins/$program.rs"
done
