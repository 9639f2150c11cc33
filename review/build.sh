#!/usr/bin/env bash
# Builds the stand-ins of the review's scripts into target/review; needs only the JDK.
set -e
cd "$(dirname "$0")/.."
mkdir -p target/review
javac -encoding UTF-8 -d target/review review/standin/*.java
