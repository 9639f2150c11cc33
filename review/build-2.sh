#!/bin/sh
# Builds the stand-ins (review/standin-2) and the plays of the cases 4 to 8 that their scripts start. Needs nothing but the JDK.
cd "$(dirname "$0")/.." || exit 2
mkdir -p target/review-2
exec javac -encoding UTF-8 -d target/review-2 review/standin-2/*.java review/[4-8]/*.java
