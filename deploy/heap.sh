#!/bin/sh
# Prints the JVM's heap flags that fit the memory limit in the configuration that LB_CONFIG names: at most 64 MB, and what the limit
# leaves beside the 66 MB that the process takes outside of its heap. Without a readable limit, 64 MB.
max_heap_mb=64
min_heap_mb=24
non_heap_mb=66
limit_mb=$(sed -n 's/.*"memory_mb"[[:space:]]*:[[:space:]]*\([0-9][0-9]*\).*/\1/p' "$LB_CONFIG" 2>/dev/null | sed -n 1p)
heap_mb=$((${limit_mb:-$((max_heap_mb + non_heap_mb))} - non_heap_mb))
[ "$heap_mb" -le "$max_heap_mb" ] || heap_mb=$max_heap_mb
[ "$heap_mb" -ge "$min_heap_mb" ] || heap_mb=$min_heap_mb
initial_mb=32
[ "$initial_mb" -le "$heap_mb" ] || initial_mb=$heap_mb
echo "-Xms${initial_mb}m -Xmx${heap_mb}m"
