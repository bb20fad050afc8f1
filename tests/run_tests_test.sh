#!/bin/bash
# tools/run-tests on a made folder with a test that passes and two that fail: run_tests_test.sh TOOL FOLDER.
set -uo pipefail
tool=$1 folder=$2
rm -rf "$folder" && mkdir -p "$folder"
printf 'add_test(good "/bin/true")\nadd_test(bad.one "/bin/false")\nadd_test(bad_two "/bin/false")\n' > "$folder/CTestTestfile.cmake"
list=$folder/red.txt
check() {  # what is expected, the exit status's sign, a text in the output
  local out status=0
  out=$("$tool" "$folder" "$list" 2 2>&1) || status=1
  [ "$status" = "$2" ] && grep -qF -- "$3" <<< "$out" && return
  printf 'failed: %s (status %s)\n%s\n' "$1" "$status" "$out"
  exit 1
}
rm -f "$list"; check "no list: a red test fails" 1 'bad.one (Failed)'
printf 'bad.one | cause | 1\n' > "$list"; check "one listed: the other fails" 1 'bad_two (Failed)'
printf 'bad.one | cause | 1\nbad_two | cause | 1\n' > "$list"; check "both listed: passed over" 0 '100% tests passed'
check "and printed" 0 'known to be red, passed over:'
check "and run" 0 'bad.one (Failed)'
printf 'bad.one | cause | 1\nbad_two | cause | 1\nnone | cause | 1\n' > "$list"; check "an unknown name" 1 'no test is called none'
printf 'good | c | 1\nbad.one | c | 1\nbad_two | c | 1\ngood | c | 1\n' > "$list"; check "a fourth line" 1 'three at most'
printf 'bad.one\nbad_two | cause | 1\n' > "$list"; check "no cause" 1 'a name, a cause and an issue'
echo "all as expected"
