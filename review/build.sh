#!/bin/sh
# Builds the stand-ins of the cases into target/review. Needs the JDK alone.
set -e
cd "$(dirname "$0")/.."
mkdir -p target/review
javac -d target/review review/src/*.java
